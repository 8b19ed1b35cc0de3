package scheduling

import (
	"math"
	"sync"
	"time"
)

// Step is one stage of a request's pipeline.
type Step struct {
	Pool *Pool
	// Inputs are the indices of the steps whose results this step depends on.
	Inputs []int
}

// Plan is the dependency graph of the stages of a pipeline. The steps may be listed in any order.
type Plan struct {
	steps []Step
	order []int // topological order
}

// NewPlan returns the plan for steps, which must not form a cycle.
func NewPlan(steps []Step) *Plan {
	p := &Plan{steps: steps}
	placed := make([]bool, len(steps))
	for len(p.order) < len(steps) {
		before := len(p.order)
		for i, step := range steps {
			if !placed[i] && allPlaced(step.Inputs, placed) {
				placed[i] = true
				p.order = append(p.order, i)
			}
		}
		if len(p.order) == before {
			break
		}
	}
	return p
}

func allPlaced(inputs []int, placed []bool) bool {
	for _, i := range inputs {
		if !placed[i] {
			return false
		}
	}
	return true
}

// SafetyFactor is the number of standard deviations that admission adds to the estimated latency
// of a request. A larger value rejects more of the requests that may miss their deadline.
type SafetyFactor float64

// Safety factors for the two objectives.
const (
	AttainmentSafetyFactor SafetyFactor = 0.75
	CostSafetyFactor       SafetyFactor = 1
)

// Admission tracks the pending stages of an admitted request in the backlogs of their pools.
type Admission struct {
	mu      sync.Mutex
	plan    *Plan
	work    Work
	pending []bool // indexed by step; true while the step counts in its pool's backlog
}

// Admit rejects a request that is unlikely to meet work.Deadline before any stage runs, so that it
// uses no endpoint time. Pools with a baseline policy admit every request.
func (p *Plan) Admit(now time.Time, work Work, safetyFactor SafetyFactor) (*Admission, *Refusal) {
	latency, idle, refusal := p.estimateLatency(now, &work, safetyFactor)
	if refusal != nil {
		return nil, refusal
	}
	if excess := latency - work.Deadline.Sub(now); excess > 0 && !idle {
		for _, step := range p.steps {
			step.Pool.noteShortage(now)
		}
		return nil, &Refusal{Reason: TooLate, RetryAfter: excess}
	}
	if !work.Deadline.After(now) {
		return nil, &Refusal{Reason: TooLate}
	}
	a := &Admission{plan: p, work: work, pending: make([]bool, len(p.steps))}
	for i, step := range p.steps {
		step.Pool.addToBacklog(&work)
		a.pending[i] = true
	}
	return a, nil
}

// estimateLatency estimates the latency of the critical path through the steps. It reports idle if
// no pool on the path has a backlog; such a request is always admitted, because an estimate that
// is too high would otherwise never be corrected.
func (p *Plan) estimateLatency(now time.Time, work *Work, safetyFactor SafetyFactor) (latency time.Duration, idle bool, refusal *Refusal) {
	ends := make([]float64, len(p.steps))
	variances := make([]float64, len(p.steps))
	worst, idle := 0.0, true
	for _, i := range p.order {
		f := p.steps[i].Pool.forecast(now, work)
		if f.noEndpoint {
			return 0, false, &Refusal{Reason: NoEndpoint}
		}
		idle = idle && f.idle
		begin, variance := 0.0, 0.0
		for _, j := range p.steps[i].Inputs {
			if ends[j] >= begin {
				begin, variance = ends[j], variances[j]
			}
		}
		ends[i] = begin + f.wait + f.mean
		variances[i] = variance + f.deviation*f.deviation
		worst = max(worst, ends[i]+float64(safetyFactor)*math.Sqrt(variances[i]))
	}
	return seconds(worst), idle, nil
}

// forecast is the expected wait and service time for new work in a pool, in seconds.
type forecast struct {
	wait, mean, deviation float64
	noEndpoint, idle      bool
}

func (p *Pool) forecast(now time.Time, work *Work) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	if p.live == 0 {
		return forecast{noEndpoint: true}
	}
	if p.config.Policy != Adaptive {
		return forecast{idle: true}
	}
	f := forecast{}
	f.mean, f.deviation = p.service.at(now)
	ahead := p.backlog.ahead(work)
	f.idle = ahead == 0
	slots := max(p.capacity*p.share, 1)
	if rate := p.rate(now, slots); rate > 0 {
		f.wait = max(0, ahead+1-slots) / rate
	}
	return f
}

// rate estimates how many calls per second complete for this instance: the larger of the rate that
// its share of the endpoints can sustain and the rate implied by the calls in flight. By Little's
// law, the latter is the number in flight divided by the mean latency.
func (p *Pool) rate(now time.Time, slots float64) float64 {
	service, _ := p.service.at(now)
	latency, _ := p.latency.at(now)
	if service <= 0 || latency <= 0 {
		return 0
	}
	return max(slots/service, float64(p.inFlight)/latency)
}

func (p *Pool) addToBacklog(work *Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.add(work)
}

func (p *Pool) removeFromBacklog(work *Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.remove(work)
}

// StageDone removes the step at index i from its pool's backlog.
func (a *Admission) StageDone(i int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pending[i] {
		return
	}
	a.pending[i] = false
	a.plan.steps[i].Pool.removeFromBacklog(&a.work)
}

// Close removes all remaining steps of the request from the backlogs.
func (a *Admission) Close() {
	for i := range a.plan.steps {
		a.StageDone(i)
	}
}

// StageDeadline returns the time by which the step at index i must finish: the request's deadline
// minus the expected latency of the steps that depend on it.
func (p *Plan) StageDeadline(now time.Time, i int, deadline time.Time) time.Time {
	return deadline.Add(-seconds(p.remainingLatency(now, i)))
}

// remainingLatency is the expected latency of the longest path after step i, in seconds.
func (p *Plan) remainingLatency(now time.Time, i int) float64 {
	remaining := make([]float64, len(p.steps))
	for k := len(p.order) - 1; k >= 0; k-- {
		j := p.order[k]
		mean, _ := p.steps[j].Pool.Latency(now)
		for _, input := range p.steps[j].Inputs {
			remaining[input] = max(remaining[input], remaining[j]+mean.Seconds())
		}
	}
	return remaining[i]
}
