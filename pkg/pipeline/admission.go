package pipeline

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// unknownStageTime is the forecast of a stage without available endpoints.
const unknownStageTime = 4 * time.Second

// admit forecasts the duration of a plan and admits the plan if it would finish by its due time.
func (p *Planner) admit(part Part, plan *Plan) (expected time.Duration, admitted bool) {
	now := p.clock.Now()
	left := plan.Due.Sub(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.forecast(part, plan)
	if plan.started() {
		p.addPlanLocked(part, plan)
		return f.total, true
	}
	lateness := p.latenessLocked(plan.Priority)
	if f.total+lateness.allowed > left {
		if f.total <= left {
			lateness.recordRefusal()
		}
		if f.unhindered+lateness.allowed <= left {
			// Only the wait at the queue made the plan late.
			p.backlog(f.bottleneck).reservation.recordRefusal(now, plan.Priority)
		}
		return f.total, false
	}
	if p.reserved(now, part, plan) {
		return f.total, false
	}
	p.addPlanLocked(part, plan)
	return f.total, true
}

// reserved reports whether a queue of the plan is reserved for more urgent plans.
func (p *Planner) reserved(now time.Time, part Part, plan *Plan) bool {
	for _, stage := range plan.Stages {
		if stage.Pieces > 0 && p.backlog(queueOf(part, stage.Service)).reservation.excludes(now, plan) {
			return true
		}
	}
	return false
}

// retryAfter returns when a refused plan may be retried, based on its forecast.
func (p *Planner) retryAfter(plan *Plan, forecast time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	late := forecast + p.latenessLocked(plan.Priority).allowed - plan.Due.Sub(now)
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
	// bottleneck is the queue of the slowest stage; the zero value if no stage is missing.
	bottleneck batch.Queue
}

// forecast returns the forecast of a plan. Each stage waits for the pieces queued ahead of it that
// remain when it starts, and then takes one call.
func (p *Planner) forecast(part Part, plan *Plan) forecast {
	var f forecast
	var slowest time.Duration
	f.total = plan.criticalPath(func(stage, pieces int, start time.Duration) time.Duration {
		queue := queueOf(part, plan.Stages[stage].Service)
		duration := p.stageTime(queue, plan, pieces, start)
		if duration > slowest {
			slowest, f.bottleneck = duration, queue
		}
		return duration
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
	ahead := capacity.ExternalBacklog + float64(p.backlog(queue).piecesBefore(plan)+pieces) - float64(capacity.AtOnce) - capacity.PerSecond*start.Seconds()
	wait := time.Duration(max(0, ahead) / capacity.PerSecond * float64(time.Second))
	return wait + capacity.CallTime
}
