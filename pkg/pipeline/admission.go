package pipeline

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// unknownTime is forecast for a stage without endpoints.
const unknownTime = 4 * time.Second

// admit forecasts how long the stages of a plan take, and counts the plan in if it would
// be done by the time it is due.
func (p *Planner) admit(part Part, plan *Plan) (forecast time.Duration, admitted bool) {
	now := p.clock.Now()
	left := plan.Due.Sub(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	forecast, bottleneck := p.forecast(part, plan)
	if plan.begun() {
		p.countLocked(part, plan)
		return forecast, true
	}
	lateness := p.latenessLocked(plan.Priority)
	if forecast+lateness.allowed > left {
		if forecast <= left {
			lateness.refused()
		}
		bottleneck.precedence.refused(now, plan.Priority)
		return forecast, false
	}
	if p.keptForOthers(now, part, plan) {
		return forecast, false
	}
	p.countLocked(part, plan)
	return forecast, true
}

// keptForOthers tells whether a queue that a plan needs is kept for more urgent ones.
func (p *Planner) keptForOthers(now time.Time, part Part, plan *Plan) bool {
	for _, stage := range plan.Stages {
		if stage.Pieces > 0 && p.backlog(queueOf(part, stage.Service)).precedence.keeps(now, plan) {
			return true
		}
	}
	return false
}

// comeBack returns when a refused plan may come back, by its forecast.
func (p *Planner) comeBack(plan *Plan, forecast time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	late := forecast + p.latenessLocked(plan.Priority).allowed - plan.Due.Sub(now)
	return comeBack(late, p.overload.refused(now), plan.Deadline.Sub(now))
}

// learn takes in how long an admitted plan lasted.
func (p *Planner) learn(priority int, forecast, lasted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latenessLocked(priority).learn(forecast, lasted)
}

// latenessLocked returns that of the requests of a priority.
func (p *Planner) latenessLocked(priority int) *lateness {
	l := p.lateness[priority]
	if l == nil {
		l = newLateness()
		p.lateness[priority] = l
	}
	return l
}

// count counts the pieces of a plan in.
func (p *Planner) count(part Part, plan *Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countLocked(part, plan)
}

func (p *Planner) countLocked(part Part, plan *Plan) {
	for i, pieces := range plan.missing() {
		p.backlog(queueOf(part, plan.Stages[i].Service)).add(plan, len(pieces))
	}
}

// finished counts pieces out.
func (p *Planner) finished(queue batch.Queue, plan *Plan, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog(queue).add(plan, -pieces)
}

// backlog returns that of a queue.
func (p *Planner) backlog(queue batch.Queue) *backlog {
	b := p.backlogs[queue]
	if b == nil {
		b = &backlog{}
		p.backlogs[queue] = b
	}
	return b
}

// forecast is how long the longest way through the stages takes from now: at each stage, the
// wait for what goes before it there beyond what has been done by then, and a call. The bottleneck is
// the queue of the stage that takes longest.
func (p *Planner) forecast(part Part, plan *Plan) (longest time.Duration, bottleneck *backlog) {
	ends := make([]time.Duration, len(plan.Stages))
	missing := plan.missing()
	var slowest time.Duration
	bottleneck = &backlog{}
	for i, stage := range plan.Stages {
		for _, before := range stage.After {
			ends[i] = max(ends[i], ends[before])
		}
		if len(missing[i]) == 0 {
			continue
		}
		queue := queueOf(part, stage.Service)
		takes := p.stageTime(queue, plan, len(missing[i]), ends[i])
		if takes > slowest {
			slowest, bottleneck = takes, p.backlog(queue)
		}
		ends[i] += takes
		longest = max(longest, ends[i])
	}
	return longest, bottleneck
}

// stageTime is how long a stage takes that begins after a time.
func (p *Planner) stageTime(queue batch.Queue, plan *Plan, pieces int, begins time.Duration) time.Duration {
	capacity := p.pieces.Capacity(queue)
	if capacity.PerSecond <= 0 && capacity.Rest > 0 {
		return max(0, capacity.Rest-begins) + capacity.Call
	}
	if capacity.PerSecond <= 0 {
		return unknownTime
	}
	ahead := capacity.Others + float64(p.backlog(queue).before(plan)+pieces) - float64(capacity.AtOnce) - capacity.PerSecond*begins.Seconds()
	wait := time.Duration(max(0, ahead) / capacity.PerSecond * float64(time.Second))
	return wait + capacity.Call
}
