package decision

import (
	"math"
	"sync"
	"time"
)

// Step is one stage of a request's way.
type Step struct {
	Pool *Pool
	// Inputs are the indices of the steps whose results this one needs.
	Inputs []int
}

// Plan is the way of a request through its stages. Steps come after their inputs
// in the graph, though not always in the list.
type Plan struct {
	steps []Step
	order []int // each after its inputs
}

// NewPlan returns the plan of the steps, which must not form a cycle.
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

// Caution says how many deviations above the usual time a request must be able to
// take. Cost first wants to be surer that what it starts will end in time.
type Caution float64

// The cautions of the two objectives.
const (
	AttainmentCaution Caution = 0.75
	CostCaution       Caution = 1
)

// Admission is an admitted request's place in the backlog of each step's pool.
type Admission struct {
	mu    sync.Mutex
	plan  *Plan
	work  Work
	stood []bool // which steps still stand in the backlog
}

// Admit decides whether a request should run at all: refused early, it costs
// nothing; refused after three stages, it has cost three. The work's Deadline is
// the request's. Only a pool's baseline policies admit everything.
func (p *Plan) Admit(now time.Time, work Work, caution Caution) (*Admission, *Refusal) {
	needed, idle, refusal := p.needed(now, &work, caution)
	if refusal != nil {
		return nil, refusal
	}
	if late := needed - work.Deadline.Sub(now); late > 0 && !idle {
		for _, step := range p.steps {
			step.Pool.press(now)
		}
		return nil, &Refusal{Reason: TooLate, RetryAfter: late}
	}
	if !work.Deadline.After(now) {
		return nil, &Refusal{Reason: TooLate}
	}
	a := &Admission{plan: p, work: work, stood: make([]bool, len(p.steps))}
	for i, step := range p.steps {
		step.Pool.enter(&work)
		a.stood[i] = true
	}
	return a, nil
}

// needed is the time that the longest way through the steps will likely take. It
// is idle if nothing is on its way to any of the pools: such a request always
// runs, since without it an estimate that is too high would never be corrected.
func (p *Plan) needed(now time.Time, work *Work, caution Caution) (needed time.Duration, idle bool, refusal *Refusal) {
	ends := make([]float64, len(p.steps))
	variances := make([]float64, len(p.steps))
	worst, idle := 0.0, true
	for _, i := range p.order {
		f := p.steps[i].Pool.forecast(now, work)
		if f.none {
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
		worst = max(worst, ends[i]+float64(caution)*math.Sqrt(variances[i]))
	}
	return seconds(worst), idle, nil
}

// forecast is what a pool holds for new work, in seconds.
type forecast struct {
	wait, mean, deviation float64
	none, idle            bool
}

func (p *Pool) forecast(now time.Time, work *Work) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	if p.live == 0 {
		return forecast{none: true}
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

// rate is how many calls a second end for this instance: as many as its share of the
// endpoints can do, or as what is in flight shows, whichever is more. In flight are
// rate times usual time, however many others use the endpoints (Little's law).
func (p *Pool) rate(now time.Time, slots float64) float64 {
	service, _ := p.service.at(now)
	latency, _ := p.latency.at(now)
	if service <= 0 || latency <= 0 {
		return 0
	}
	return max(slots/service, float64(p.inFlight)/latency)
}

func (p *Pool) enter(work *Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.add(work)
}

func (p *Pool) leave(work *Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.remove(work)
}

// StageDone says that the step at index i has ended.
func (a *Admission) StageDone(i int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stood[i] {
		return
	}
	a.stood[i] = false
	a.plan.steps[i].Pool.leave(&a.work)
}

// Close says that the request has ended, however it did.
func (a *Admission) Close() {
	for i := range a.plan.steps {
		a.StageDone(i)
	}
}

// StageDeadline is when the step at index i must have ended: the request's
// deadline less what the steps after it usually take.
func (p *Plan) StageDeadline(now time.Time, i int, deadline time.Time) time.Time {
	return deadline.Add(-seconds(p.after(now, i)))
}

// after is the usual time of the longest way behind a step, in seconds.
func (p *Plan) after(now time.Time, i int) float64 {
	behind := make([]float64, len(p.steps))
	for k := len(p.order) - 1; k >= 0; k-- {
		j := p.order[k]
		mean, _ := p.steps[j].Pool.Latency(now)
		for _, input := range p.steps[j].Inputs {
			behind[input] = max(behind[input], behind[j]+mean.Seconds())
		}
	}
	return behind[i]
}
