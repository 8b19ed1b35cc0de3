package decision

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxPassedOver bounds the waiting work that is looked at because what comes before
// it fits no free endpoint.
const maxPassedOver = 16

// Pool holds the endpoints of one service and the work that wants them. Safe for
// concurrent use; each call is short.
type Pool struct {
	mu      sync.Mutex
	config  Config
	random  *rand.Rand
	targets map[string]*target
	order   []*target // all targets, for the baselines and the scans
	turn    int       // of round robin
	// available targets, the local ones and the others.
	local, remote []*target
	capacity      float64
	live          int // targets that are not leaving
	inFlight      int // calls of this instance
	ejected       []*target
	nextReturn    time.Time
	// lacking are the targets that have refused a model since they do not hold it,
	// and until when that counts.
	lacking map[string]map[*target]time.Time
	queue   queue
	backlog backlog
	latency estimate // of calls as they are, waiting at the endpoint included
	service estimate // of calls without that waiting
	// sharers is the number of instances that use the same endpoints, share the part
	// of their capacity that this one may count on.
	sharers int
	share   float64
	// pressed is when work last waited for, or was refused by, the pool's capacity.
	pressed time.Time
	retries float64
}

// NewPool returns a pool without endpoints. The random source is used under the
// pool's lock alone.
func NewPool(config Config, random *rand.Rand) *Pool {
	return &Pool{
		config:  config,
		random:  random,
		targets: map[string]*target{},
		lacking: map[string]map[*target]time.Time{},
		retries: maxRetries,
		sharers: 1,
		share:   1,
	}
}

// Update sets the pool's endpoints. What is known of an endpoint stays, unless its
// incarnation grew; calls in flight stay counted.
func (p *Pool) Update(now time.Time, concurrency int, endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Concurrency = concurrency
	present := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.Name] = true
		p.update(e)
	}
	for name, t := range p.targets {
		if !present[name] {
			t.Leaving = true
			p.settle(t)
			delete(p.targets, name)
		}
	}
	p.reorder(endpoints)
	p.dispatch(now)
}

func (p *Pool) update(e Endpoint) {
	t := p.targets[e.Name]
	if t == nil || t.Incarnation < e.Incarnation || t.Address != e.Address {
		if t != nil {
			t.Leaving = true
			p.settle(t)
		}
		t = &target{Endpoint: e, local: e.FailureDomain == p.config.FailureDomain, place: nowhere, limit: float64(p.config.Concurrency)}
		p.targets[e.Name] = t
	}
	t.Endpoint = e
	t.concurrency = p.config.Concurrency
	t.limit = min(t.limit, float64(t.concurrency))
	p.settle(t)
}

func (p *Pool) reorder(endpoints []Endpoint) {
	p.order = p.order[:0]
	p.live = 0
	for _, e := range endpoints {
		t := p.targets[e.Name]
		p.order = append(p.order, t)
		if !t.Leaving {
			p.live++
		}
	}
}

// MarkLeaving stops new work to an endpoint of an incarnation at once, before the
// next Update says the same. It tells whether that was news.
func (p *Pool) MarkLeaving(name string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	if t == nil || t.Incarnation > incarnation || t.Leaving {
		return false
	}
	t.Leaving = true
	p.live--
	p.settle(t)
	return true
}

// Acquire asks for an endpoint. The verdict is a grant, a refusal, or a waiter
// whose Done channel gets one of the two later.
func (p *Pool) Acquire(now time.Time, work Work) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	if p.config.Policy != Adaptive {
		return p.acquireBaseline(now, work)
	}
	if refusal := p.hopeless(now, &work); refusal != nil {
		return Verdict{Refusal: refusal}
	}
	if p.queue.length == 0 {
		if t := p.choose(now, &work); t != nil {
			return Verdict{Grant: p.grant(now, t, work)}
		}
	}
	return p.enqueue(now, work)
}

// hopeless returns a refusal for work that no endpoint can do in time.
func (p *Pool) hopeless(now time.Time, work *Work) *Refusal {
	if !p.untried(work) || p.allLack(now, work.Model) {
		return &Refusal{Reason: NoEndpoint}
	}
	// While nothing is in flight, work runs however little time is left, since an
	// estimate that is too high would otherwise never be corrected.
	usual, _ := p.service.at(now)
	left := work.Deadline.Sub(now)
	if left < 0 || p.inFlight > 0 && left < seconds(usual) {
		return &Refusal{Reason: TooLate}
	}
	return nil
}

// untried tells whether there is a live endpoint that the work does not exclude.
func (p *Pool) untried(work *Work) bool {
	if p.live > len(work.Exclude) {
		return true
	}
	for _, t := range p.order {
		if !t.Leaving && !work.excludes(t.Name) {
			return true
		}
	}
	return false
}

func (p *Pool) enqueue(now time.Time, work Work) Verdict {
	if p.queue.length >= p.config.MaxQueue {
		victim := p.queue.victim(&work)
		if victim == nil {
			return Verdict{Refusal: &Refusal{Reason: QueueFull, RetryAfter: p.drainTime(now)}}
		}
		p.queue.remove(victim)
		victim.Done <- Verdict{Refusal: &Refusal{Reason: OverShare, RetryAfter: p.drainTime(now)}}
	}
	w := &Waiter{Done: make(chan Verdict, 1), work: work}
	p.queue.push(w)
	p.dispatch(now)
	return Verdict{Waiter: w}
}

// drainTime is how long the waiting work will take.
func (p *Pool) drainTime(now time.Time) time.Duration {
	mean, _ := p.latency.at(now)
	return seconds(mean * float64(p.queue.length) / max(p.capacity, 1))
}

// Withdraw takes waiting work back. If a verdict has come meanwhile, it is
// returned, and a grant in it must be finished.
func (p *Pool) Withdraw(w *Waiter) (Verdict, bool) {
	p.mu.Lock()
	p.queue.remove(w)
	p.mu.Unlock()
	select {
	case v := <-w.Done:
		return v, true
	default:
		return Verdict{}, false
	}
}

// Tick gives verdicts that only the passing of time brings: readmitted endpoints
// and waiting work that has become too late.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	p.dispatch(now)
}

// dispatch gives free endpoints to waiting work, in the queue's order.
func (p *Pool) dispatch(now time.Time) {
	var passedOver []*Waiter
	for p.queue.length > 0 {
		w := p.queue.pop()
		if refusal := p.hopeless(now, &w.work); refusal != nil {
			w.Done <- Verdict{Refusal: refusal}
			continue
		}
		t := p.choose(now, &w.work)
		if t != nil {
			w.Done <- Verdict{Grant: p.grant(now, t, w.work)}
			continue
		}
		passedOver = append(passedOver, w)
		if p.full() || len(passedOver) == maxPassedOver {
			break
		}
	}
	for _, w := range passedOver {
		p.queue.unpop(w)
	}
}

// full tells whether no call may begin now, whatever the work.
func (p *Pool) full() bool { return len(p.local)+len(p.remote) == 0 }

func (p *Pool) grant(now time.Time, t *target, work Work) *Grant {
	t.inFlight++
	p.inFlight++
	p.settle(t)
	return &Grant{Endpoint: t.Endpoint, Local: t.local, target: t, start: now, work: work}
}

// Finish gives a grant back with what the call told, and tells whether the endpoint
// was ejected for it. The report may be nil.
func (p *Pool) Finish(now time.Time, g *Grant, result Result, report *Report) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := g.target
	before := t.ejected()
	if report != nil {
		t.observe(now, *report)
		p.adaptShare(now, *report)
	}
	t.inFlight--
	p.inFlight--
	p.learn(now, t, g, result)
	p.settle(t)
	p.dispatch(now)
	return t.ejected() && !before
}

// settle puts a target in or out of the available ones and counts its capacity,
// after anything about it changed.
func (p *Pool) settle(t *target) {
	capacity := t.capacity()
	p.capacity += capacity - t.counted
	t.counted = capacity
	list := &p.remote
	if t.local {
		list = &p.local
	}
	switch available := t.available(); {
	case available && t.place == nowhere:
		t.place = len(*list)
		*list = append(*list, t)
	case !available && t.place != nowhere:
		last := (*list)[len(*list)-1]
		(*list)[t.place] = last
		last.place = t.place
		*list = (*list)[:len(*list)-1]
		t.place = nowhere
	}
}

// Untried tells whether there is a live endpoint beside those named.
func (p *Pool) Untried(names []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.untried(&Work{Exclude: names})
}

// Spare tells whether an endpoint is free while nothing waits.
func (p *Pool) Spare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.length == 0 && len(p.local)+len(p.remote) > 0
}

// Latency returns the usual time of a call and its mean deviation; zero if no
// call has succeeded yet.
func (p *Pool) Latency(now time.Time) (mean, deviation time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, d := p.latency.at(now)
	return seconds(m), seconds(d)
}

// Standing is the state of one endpoint, for operators.
type Standing struct {
	Endpoint
	InFlight int
	Limit    float64
	Ejected  bool
	Mean     time.Duration
}

// Standings returns the state of all endpoints, in the order they were given.
func (p *Pool) Standings() []Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	standings := make([]Standing, 0, len(p.order))
	for _, t := range p.order {
		standings = append(standings, Standing{Endpoint: t.Endpoint, InFlight: t.inFlight, Limit: t.limit, Ejected: t.ejected(), Mean: seconds(t.latency.mean)})
	}
	return standings
}
