package pipeline

import (
	"math/rand/v2"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

const (
	// firstComeBack and lastComeBack bound the time after which a refused request may
	// come back.
	firstComeBack = 700 * time.Millisecond
	lastComeBack  = 4 * time.Second
	// caution is by how much longer than forecast the stages are taken to last.
	caution = 1.2
)

// admit forecasts how long the stages of a plan take, and counts the plan in if it would
// be done by the time it is due.
func (p *Planner) admit(part Part, plan *Plan) (forecast time.Duration, admitted bool) {
	left := plan.Due.Sub(p.clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	forecast = p.forecast(part, plan)
	if time.Duration(caution*float64(forecast)) > left {
		return forecast, false
	}
	p.countLocked(part, plan)
	return forecast, true
}

// count counts the pieces of a plan in.
func (p *Planner) count(part Part, plan *Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countLocked(part, plan)
}

func (p *Planner) countLocked(part Part, plan *Plan) {
	for _, stage := range plan.Stages {
		p.ahead[part.queue(stage.Service)] += stage.Pieces
	}
}

// finished counts pieces out.
func (p *Planner) finished(queue batch.Queue, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ahead[queue] -= pieces
	if p.ahead[queue] <= 0 {
		delete(p.ahead, queue)
	}
}

// forecast is how long the longest way through the stages takes from now: at each stage,
// the wait for what is ahead there beyond what has been done by then, and a call.
func (p *Planner) forecast(part Part, plan *Plan) time.Duration {
	ends := make([]time.Duration, len(plan.Stages))
	var longest time.Duration
	for i, stage := range plan.Stages {
		for _, before := range stage.After {
			ends[i] = max(ends[i], ends[before])
		}
		if stage.Pieces == 0 {
			continue
		}
		ends[i] += p.stageTime(part.queue(stage.Service), stage.Pieces, ends[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// stageTime is how long a stage takes that begins after a time.
func (p *Planner) stageTime(queue batch.Queue, pieces int, begins time.Duration) time.Duration {
	capacity := p.pieces.Capacity(queue)
	if capacity.PerSecond <= 0 {
		return lastComeBack
	}
	ahead := float64(p.ahead[queue]+pieces) - float64(capacity.AtOnce) - capacity.PerSecond*begins.Seconds()
	wait := time.Duration(max(0, ahead) / capacity.PerSecond * float64(time.Second))
	return wait + capacity.Call
}

// comeBack is when a request may come back that would be late by so much: spread out, so
// that those refused together do not come back together.
func comeBack(late time.Duration) time.Duration {
	late = min(max(late, firstComeBack), lastComeBack/2)
	return late + rand.N(late)
}
