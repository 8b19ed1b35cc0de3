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
	left := plan.Due.Sub(p.clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	forecast = p.forecast(part, plan)
	if plan.begun() {
		p.countLocked(part, plan)
		return forecast, true
	}
	lateness := p.latenessLocked(plan.Priority)
	if forecast+lateness.allowed > left {
		if forecast <= left {
			lateness.refused()
		}
		return forecast, false
	}
	p.countLocked(part, plan)
	return forecast, true
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
// wait for what goes before it there beyond what has been done by then, and a call.
func (p *Planner) forecast(part Part, plan *Plan) time.Duration {
	ends := make([]time.Duration, len(plan.Stages))
	missing := plan.missing()
	var longest time.Duration
	for i, stage := range plan.Stages {
		for _, before := range stage.After {
			ends[i] = max(ends[i], ends[before])
		}
		if len(missing[i]) == 0 {
			continue
		}
		ends[i] += p.stageTime(queueOf(part, stage.Service), plan, len(missing[i]), ends[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// stageTime is how long a stage takes that begins after a time.
func (p *Planner) stageTime(queue batch.Queue, plan *Plan, pieces int, begins time.Duration) time.Duration {
	capacity := p.pieces.Capacity(queue)
	if capacity.PerSecond <= 0 {
		return unknownTime
	}
	ahead := capacity.Others + float64(p.backlog(queue).before(plan)+pieces) - float64(capacity.AtOnce) - capacity.PerSecond*begins.Seconds()
	wait := time.Duration(max(0, ahead) / capacity.PerSecond * float64(time.Second))
	return wait + capacity.Call
}
