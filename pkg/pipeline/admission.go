package pipeline

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// unknownStageTime is the forecast of a stage without available endpoints.
const unknownStageTime = 4 * time.Second

// idleCheckPeriod is the time between checks for idle queues.
const idleCheckPeriod = time.Second

// refusal is why a plan was refused.
type refusal string

const (
	// refusedByForecast means that the plan would miss its due time.
	refusedByForecast refusal = "forecast"
	// refusedByShare means that the plan exceeds the share of its priority at a contended queue.
	refusedByShare refusal = "share"
)

// conditions are what the admission of a plan depends on.
type conditions struct {
	// left is the time until the plan is due. allowedLateness is by how much plans of its priority
	// exceed their forecast.
	left, allowedLateness time.Duration
	// untilEnd is the time until the plan is of no use any more.
	untilEnd time.Duration
	forecast forecast
	// contended is set if a queue of the plan is contended or has no available endpoint.
	contended bool
	// share is the smallest share of the plan's priority at its queues. drawn is the plan's number in
	// [0, 1).
	share, drawn float64
}

// decision is the outcome of admission control for a plan.
type decision struct {
	conditions
	// refused is why the plan is refused; empty if it is admitted.
	refused refusal
	// late is set if the plan is admitted to be served late.
	late bool
}

// fits reports whether a plan of the given duration would finish by its due time.
func (c *conditions) fits(duration time.Duration) bool {
	return duration+c.allowedLateness <= c.left
}

// endsInTime reports whether the plan would finish while it is of use.
func (c *conditions) endsInTime() bool {
	return c.forecast.total+c.allowedLateness <= c.untilEnd
}

// insufficientTime reports whether the plan would be late without any wait.
func (c *conditions) insufficientTime() bool { return !c.fits(c.forecast.unhindered) }

// decide admits a plan that would finish by its due time, subject to its share. One that would be
// late without any wait is served late, but not at the expense of others.
func decide(c conditions) decision {
	switch {
	case c.insufficientTime() && !c.contended && c.endsInTime():
		return decision{conditions: c, late: true}
	case !c.fits(c.forecast.total):
		return decision{conditions: c, refused: refusedByForecast}
	case c.drawn >= c.share:
		return decision{conditions: c, refused: refusedByShare}
	}
	return decision{conditions: c}
}

// admit decides on a plan and adds it to the backlogs if it is admitted. A plan with completed
// pieces is always admitted.
func (p *Planner) admit(part Part, plan *Plan) decision {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(now)
	c := p.conditions(now, part, plan)
	if plan.started() {
		p.addPlanLocked(part, plan)
		return decision{conditions: c}
	}
	d := decide(c)
	if d.refused == "" {
		p.addPlanLocked(part, plan)
	}
	if !d.fits(d.forecast.total) && d.forecast.total <= d.left {
		p.latenessLocked(plan.Priority).recordRefusal()
	}
	return d
}

// conditions returns what the admission of a plan depends on. It records the demand of a plan that
// has not started, unless the plan lacks time of its own: such a plan takes no throughput from those
// that can be in time.
func (p *Planner) conditions(now time.Time, part Part, plan *Plan) conditions {
	c := conditions{
		left:            plan.Due.Sub(now),
		allowedLateness: p.latenessLocked(plan.Priority).allowed,
		untilEnd:        plan.Deadline.Sub(now),
		forecast:        p.forecast(part, plan),
		share:           1,
		drawn:           drawn(plan.Request),
	}
	switch {
	case plan.started():
	case c.insufficientTime():
		plan.late = true
		c.forecast = p.forecast(part, plan)
	default:
		p.recordDemand(now, part, plan)
	}
	for _, queue := range plan.queues(part) {
		c.contended = c.contended || p.contended(now, queue)
	}
	for _, queue := range c.forecast.waits {
		c.share = min(c.share, p.share(now, queue, plan.Priority))
	}
	return c
}

// contended reports whether a queue is contended or has no available endpoint.
func (p *Planner) contended(now time.Time, queue batch.Queue) bool {
	throughput := usableThroughput(p.batcher.Capacity(queue))
	return throughput <= 0 || contended(throughput, p.backlog(queue).demand.rates(now))
}

// share returns the share of a priority at a queue.
func (p *Planner) share(now time.Time, queue batch.Queue, priority int) float64 {
	requested := &p.backlog(queue).demand
	admitted := shares(usableThroughput(p.batcher.Capacity(queue)), requested.rates(now))
	if share, ok := admitted[requested.metered(priority)]; ok {
		return share
	}
	return 1
}

// recordDemand records the pieces that a plan requests.
func (p *Planner) recordDemand(now time.Time, part Part, plan *Plan) {
	for i, pieces := range plan.missing() {
		if len(pieces) > 0 {
			p.backlog(queueOf(part, plan.Stages[i].Service)).demand.record(now, plan.Priority, len(pieces))
		}
	}
}

// dropIdle removes the queues that are neither used nor requested, once per idleCheckPeriod.
func (p *Planner) dropIdle(now time.Time) {
	if now.Sub(p.idleCheckedAt) < idleCheckPeriod {
		return
	}
	p.idleCheckedAt = now
	for queue, b := range p.backlogs {
		if len(b.demand.rates(now)) == 0 && len(b.plans) == 0 {
			delete(p.backlogs, queue)
		}
	}
}

// retryAfter returns when a refused plan may be retried, based on its forecast.
func (p *Planner) retryAfter(plan *Plan, d decision) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	late := d.forecast.total + d.allowedLateness - d.left
	return retryDelay(late, p.overload.recordRefusal(now), plan.Deadline.Sub(now))
}

// recordDuration records the duration of a completed plan.
func (p *Planner) recordDuration(priority int, forecast, lasted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latenessLocked(priority).recordDuration(forecast, lasted)
}

// latenessLocked returns the lateness of a priority, creating it if necessary.
func (p *Planner) latenessLocked(priority int) *lateness {
	l := p.lateness[priority]
	if l == nil {
		l = newLateness()
		p.lateness[priority] = l
	}
	return l
}

// addPlan adds the pieces of a plan to the backlogs.
func (p *Planner) addPlan(part Part, plan *Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addPlanLocked(part, plan)
}

func (p *Planner) addPlanLocked(part Part, plan *Plan) {
	for i, pieces := range plan.missing() {
		p.backlog(queueOf(part, plan.Stages[i].Service)).add(plan, len(pieces))
	}
}

// removePieces removes pieces of a plan from a backlog.
func (p *Planner) removePieces(queue batch.Queue, plan *Plan, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog(queue).add(plan, -pieces)
}

// backlog returns the backlog of a queue, creating it if necessary.
func (p *Planner) backlog(queue batch.Queue) *backlog {
	b := p.backlogs[queue]
	if b == nil {
		b = &backlog{}
		p.backlogs[queue] = b
	}
	return b
}

// forecast is the forecast of a plan's missing stages.
type forecast struct {
	// total is the duration of the critical path. unhindered is the same without any wait for other
	// pieces.
	total, unhindered time.Duration
	// waits lists the queues where the plan would wait if it ran after all other pieces.
	waits []batch.Queue
}

// forecast returns the forecast of a plan. Each stage waits for the pieces queued ahead of it that
// remain when it starts, and then takes one call.
func (p *Planner) forecast(part Part, plan *Plan) forecast {
	var f forecast
	f.total = plan.criticalPath(func(stage, pieces int, start time.Duration) time.Duration {
		queue := queueOf(part, plan.Stages[stage].Service)
		if p.waitsBehindAll(queue, pieces, start) {
			f.waits = append(f.waits, queue)
		}
		return p.stageTime(queue, plan, pieces, start)
	})
	f.unhindered = plan.criticalPath(func(stage, _ int, _ time.Duration) time.Duration {
		return p.callTime(queueOf(part, plan.Stages[stage].Service))
	})
	return f
}

// criticalPath returns the duration of the critical path through the missing stages. stageTime
// returns the duration of a stage that has the given number of missing pieces and starts after the
// given delay.
func (p *Plan) criticalPath(stageTime func(stage, pieces int, start time.Duration) time.Duration) time.Duration {
	var longest time.Duration
	finish := make([]time.Duration, len(p.Stages))
	missing := p.missing()
	for i, stage := range p.Stages {
		for _, before := range stage.After {
			finish[i] = max(finish[i], finish[before])
		}
		if len(missing[i]) == 0 {
			continue
		}
		finish[i] += stageTime(i, len(missing[i]), finish[i])
		longest = max(longest, finish[i])
	}
	return longest
}

// callTime returns the forecast duration of a stage without a wait.
func (p *Planner) callTime(queue batch.Queue) time.Duration {
	capacity := p.batcher.Capacity(queue)
	if capacity.PerSecond <= 0 && capacity.Backoff <= 0 {
		return unknownStageTime
	}
	return capacity.CallTime
}

// stageTime returns the forecast duration of a stage that starts after the given delay.
func (p *Planner) stageTime(queue batch.Queue, plan *Plan, pieces int, start time.Duration) time.Duration {
	capacity := p.batcher.Capacity(queue)
	if capacity.PerSecond <= 0 && capacity.Backoff > 0 {
		return max(0, capacity.Backoff-start) + capacity.CallTime
	}
	if capacity.PerSecond <= 0 {
		return unknownStageTime
	}
	return waitBehind(p.backlog(queue).piecesBefore(plan)+pieces, capacity, start) + capacity.CallTime
}

// waitBehind returns the time until the last of some pieces is in a call, from the given delay on.
func waitBehind(pieces int, capacity batch.Capacity, start time.Duration) time.Duration {
	ahead := capacity.ExternalBacklog + float64(pieces) - float64(capacity.AtOnce) - capacity.PerSecond*start.Seconds()
	return time.Duration(max(0, ahead) / capacity.PerSecond * float64(time.Second))
}

// waitsBehindAll reports whether a stage would wait if it ran after all admitted pieces.
func (p *Planner) waitsBehindAll(queue batch.Queue, pieces int, start time.Duration) bool {
	capacity := p.batcher.Capacity(queue)
	return capacity.PerSecond > 0 && waitBehind(p.backlog(queue).pieces()+pieces, capacity, start) > 0
}
