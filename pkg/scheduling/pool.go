package scheduling

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxSkipped bounds how many queued items dispatch skips when no available endpoint is eligible
// for them.
const maxSkipped = 16

// Pool selects among the endpoints of one service and queues work while none is available. It is
// safe for concurrent use.
type Pool struct {
	mu                sync.Mutex
	config            Config
	random            *rand.Rand
	targets           map[string]*target
	order             []*target // in the order given to Update
	roundRobinCounter int       // counter of the round-robin policy
	// Available targets, split by failure domain.
	local, remote   []*target
	capacity        float64
	live            int // number of targets that are not leaving
	inFlight        int // calls in flight from this instance
	ejected         []*target
	nextReadmission time.Time
	// missing records, per model, the targets that do not hold it and when that entry expires.
	missing map[string]map[*target]time.Time
	queue   queue
	backlog backlog
	latency estimate // call latency, including queueing at the endpoint
	service estimate // call latency without queueing at the endpoint
	// instances is the number of instances that share the endpoints; share is the fraction of
	// their capacity that this instance plans with.
	instances int
	share     float64
	// lastShortage is when a request was last rejected for lack of capacity.
	lastShortage time.Time
	retryTokens  float64
}

// NewPool returns a pool without endpoints. The random source is only used while the pool's lock
// is held.
func NewPool(config Config, random *rand.Rand) *Pool {
	return &Pool{
		config:      config,
		random:      random,
		targets:     map[string]*target{},
		missing:     map[string]map[*target]time.Time{},
		retryTokens: maxRetryTokens,
		instances:   1,
		share:       1,
	}
}

// Update replaces the set of endpoints. Statistics are kept for endpoints with the same address
// and incarnation; calls in flight stay counted.
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
			p.updateAvailability(t)
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
			p.updateAvailability(t)
		}
		t = &target{Endpoint: e, local: e.FailureDomain == p.config.FailureDomain, availableIndex: notAvailable, limit: float64(p.config.Concurrency)}
		p.targets[e.Name] = t
	}
	t.Endpoint = e
	t.concurrency = p.config.Concurrency
	t.limit = min(t.limit, float64(t.concurrency))
	p.updateAvailability(t)
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

// MarkLeaving stops new work to an endpoint ahead of the next Update. It reports whether the
// endpoint was not marked before.
func (p *Pool) MarkLeaving(name string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	if t == nil || t.Incarnation > incarnation || t.Leaving {
		return false
	}
	t.Leaving = true
	p.live--
	p.updateAvailability(t)
	return true
}

// Acquire requests an endpoint. The result is a grant, a refusal, or a waiter whose Done channel
// delivers one of the two later.
func (p *Pool) Acquire(now time.Time, work Work) AcquireResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	if p.config.Policy != Adaptive {
		return p.acquireBaseline(now, work)
	}
	if refusal := p.infeasible(now, &work); refusal != nil {
		return AcquireResult{Refusal: refusal}
	}
	if p.queue.length == 0 {
		if t := p.choose(now, &work); t != nil {
			return AcquireResult{Grant: p.grant(now, t, work)}
		}
	}
	return p.enqueue(now, work)
}

// infeasible returns a refusal if no endpoint can finish the work in time.
func (p *Pool) infeasible(now time.Time, work *Work) *Refusal {
	if !p.untried(work) || p.allMissing(now, work.Model) {
		return &Refusal{Reason: NoEndpoint}
	}
	// An idle pool accepts work regardless of the estimate, because an estimate that is too high
	// would otherwise never be corrected.
	mean, _ := p.service.at(now)
	remaining := work.Deadline.Sub(now)
	if remaining < 0 || p.inFlight > 0 && remaining < seconds(mean) {
		return &Refusal{Reason: TooLate}
	}
	return nil
}

// untried reports whether a live endpoint exists that the work does not exclude.
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

func (p *Pool) enqueue(now time.Time, work Work) AcquireResult {
	if p.queue.length >= p.config.MaxQueue {
		victim := p.queue.victim(&work)
		if victim == nil {
			return AcquireResult{Refusal: &Refusal{Reason: QueueFull, RetryAfter: p.drainTime(now)}}
		}
		p.queue.remove(victim)
		victim.Done <- AcquireResult{Refusal: &Refusal{Reason: OverShare, RetryAfter: p.drainTime(now)}}
	}
	w := &Waiter{Done: make(chan AcquireResult, 1), work: work}
	p.queue.push(w)
	p.dispatch(now)
	return AcquireResult{Waiter: w}
}

// drainTime estimates how long it takes to serve the queue.
func (p *Pool) drainTime(now time.Time) time.Duration {
	mean, _ := p.latency.at(now)
	return seconds(mean * float64(p.queue.length) / max(p.capacity, 1))
}

// Withdraw removes waiting work from the queue. If a result was delivered in the meantime,
// Withdraw returns it, and the caller must finish its grant.
func (p *Pool) Withdraw(w *Waiter) (AcquireResult, bool) {
	p.mu.Lock()
	p.queue.remove(w)
	p.mu.Unlock()
	select {
	case v := <-w.Done:
		return v, true
	default:
		return AcquireResult{}, false
	}
}

// Tick handles state changes caused by elapsed time: expired ejections, and queued work that can
// no longer meet its deadline.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readmit(now)
	p.dispatch(now)
}

// dispatch assigns available endpoints to queued work in queue order.
func (p *Pool) dispatch(now time.Time) {
	var skipped []*Waiter
	for p.queue.length > 0 {
		w := p.queue.pop()
		if refusal := p.infeasible(now, &w.work); refusal != nil {
			w.Done <- AcquireResult{Refusal: refusal}
			continue
		}
		t := p.choose(now, &w.work)
		if t != nil {
			w.Done <- AcquireResult{Grant: p.grant(now, t, w.work)}
			continue
		}
		skipped = append(skipped, w)
		if p.full() || len(skipped) == maxSkipped {
			break
		}
	}
	for _, w := range skipped {
		p.queue.unpop(w)
	}
}

// full reports whether no target is available.
func (p *Pool) full() bool { return len(p.local)+len(p.remote) == 0 }

func (p *Pool) grant(now time.Time, t *target, work Work) *Grant {
	t.inFlight++
	p.inFlight++
	p.updateAvailability(t)
	return &Grant{Endpoint: t.Endpoint, Local: t.local, target: t, start: now, work: work}
}

// Finish releases a grant, records the result of the call, and reports whether it caused the
// endpoint to be ejected. The report may be nil.
func (p *Pool) Finish(now time.Time, g *Grant, result Result, report *Report) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := g.target
	before := t.ejected()
	if report != nil {
		t.applyReport(now, *report)
		p.adaptShare(now, *report)
	}
	t.inFlight--
	p.inFlight--
	p.recordResult(now, t, g, result)
	p.updateAvailability(t)
	p.dispatch(now)
	return t.ejected() && !before
}

// updateAvailability adds the target to the list of available targets or removes it, and updates
// the pool's capacity. It must be called after each change to the target.
func (p *Pool) updateAvailability(t *target) {
	capacity := t.capacity()
	p.capacity += capacity - t.countedCapacity
	t.countedCapacity = capacity
	list := &p.remote
	if t.local {
		list = &p.local
	}
	switch available := t.available(); {
	case available && t.availableIndex == notAvailable:
		t.availableIndex = len(*list)
		*list = append(*list, t)
	case !available && t.availableIndex != notAvailable:
		last := (*list)[len(*list)-1]
		(*list)[t.availableIndex] = last
		last.availableIndex = t.availableIndex
		*list = (*list)[:len(*list)-1]
		t.availableIndex = notAvailable
	}
}

// HasUntried reports whether a live endpoint exists outside names.
func (p *Pool) HasUntried(names []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.untried(&Work{Exclude: names})
}

// HasFreeCapacity reports whether an endpoint is available and the queue is empty.
func (p *Pool) HasFreeCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.length == 0 && len(p.local)+len(p.remote) > 0
}

// Latency returns the mean latency of a call and its mean deviation, or zero before the first
// successful call.
func (p *Pool) Latency(now time.Time) (mean, deviation time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, d := p.latency.at(now)
	return seconds(m), seconds(d)
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Endpoint
	InFlight int
	Limit    float64
	Ejected  bool
	Mean     time.Duration
}

// Statuses returns the state of all endpoints in the order given to Update.
func (p *Pool) Statuses() []EndpointStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := make([]EndpointStatus, 0, len(p.order))
	for _, t := range p.order {
		statuses = append(statuses, EndpointStatus{Endpoint: t.Endpoint, InFlight: t.inFlight, Limit: t.limit, Ejected: t.ejected(), Mean: seconds(t.latency.mean)})
	}
	return statuses
}
