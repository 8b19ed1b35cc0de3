// Package balance selects the endpoint for a call from what this instance has observed of the
// endpoints of a service: calls in flight, latency, failures and, for model engines, the prompt
// parts they are expected to have cached.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

const (
	// sampleWeight is the weight of a new sample in the exponential moving averages.
	sampleWeight = 0.2
	// minEjection and maxEjection bound the ejection time of a failing endpoint.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 2
	// crossDomainCost is added for endpoints in another failure domain.
	crossDomainCost = 30 * time.Millisecond
	// A call is overdue when it exceeds overdueFactor times its expected latency by overdueSlack.
	overdueFactor = 4
	overdueSlack  = 150 * time.Millisecond
	// suspectCost is added for endpoints with an overdue call and for those in a failure domain
	// suspected to be unreachable.
	suspectCost = 2 * time.Second
	// initialLatency is the assumed latency of an endpoint without samples.
	initialLatency = 20 * time.Millisecond
	// batchCost is added for each call in flight at an engine.
	batchCost = 2 * time.Millisecond
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// CallSpec describes a call for endpoint selection.
type CallSpec struct {
	// Domain is the preferred failure domain; empty for any.
	Domain string
	// DomainCost is an additional cost of calls to other failure domains, such as the transfer of
	// inputs.
	DomainCost time.Duration
	// Exclude is the set of endpoint IDs that must not be selected.
	Exclude map[string]bool
	// Engine reports whether the endpoints are model engines. Parts is the prompt in order.
	Engine bool
	Parts  []Part
	// Request is the ID of the request; empty if its end is not to be reported to planners.
	Request string
	// Slots is the number of calls that an endpoint runs concurrently.
	Slots int
	// Cold limits the requests to endpoints that are warming up.
	Cold ColdLimit
	// Prefer is the ID of an endpoint to use while it is healthy; empty for none.
	Prefer string
	// IsolationKey, if not empty, selects an endpoint with few calls in flight by a hash of the
	// key. It is set for requests that may crash their endpoint.
	IsolationKey string
	// Fetch describes how engines fetch shared parts from each other. The zero value disables it.
	Fetch Fetch
	// source is the affinity target if engines can fetch the shared parts from it, otherwise nil.
	source *fleet.Endpoint
	// holders are the endpoints that are known to have shared parts that engines can fetch.
	holders []holder
}

func (s CallSpec) tokens() int {
	total := 0
	for _, p := range s.Parts {
		total += p.Tokens
	}
	return total
}

// Balancer tracks the state of the endpoints as observed by this instance. It is safe for
// concurrent use.
type Balancer struct {
	clock clockwork.Clock
	// backoffs excludes endpoints that asked this instance to back off, even if no other endpoint
	// remains.
	backoffs *notice.Backoffs
	// room limits the calls in flight at some endpoints; nil if there is no limit.
	room Room

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// models holds the prefill models of services with engines; metrics, if set, their parameters.
	models  map[string]*prefillModel
	metrics *metrics.Set
	// observed is what is reported to the planners of stages.
	observed observationLog
	// silentUntil is when a failure domain that is suspected to be unreachable may be used
	// normally again.
	silentUntil map[string]time.Time
	// returns contains the last known return of each failure domain from an evacuation.
	returns map[string]domainReturn
}

const (
	// minSilence is the connect time after which an unreachable endpoint counts as silent. An
	// endpoint whose process has exited refuses the connection immediately.
	minSilence = 200 * time.Millisecond
	// silenceDuration is how long the failure domain of a silent endpoint is suspected to be
	// unreachable.
	silenceDuration = time.Second
)

// endpointState is what this instance has observed of one endpoint.
type endpointState struct {
	calls        map[*Call]struct{}
	latency      time.Duration
	failures     int
	ejection     time.Duration
	ejectedUntil time.Time
	// pendingPrefill is the prefill time of calls that have not returned a first event, for a
	// slowness of 1.
	pendingPrefill time.Duration
	speed          EngineSpeed
	// sample is the last sample of the speed that is free of interference.
	sample   float64
	sampleAt time.Time
	// sampledAt is when the latency was last updated; zero if never.
	sampledAt time.Time
	cache     *promptCache
	load      Load
	loadAt    time.Time
	// beganAt is when the last call began, duration the moving average of how long calls last.
	beganAt  time.Time
	duration time.Duration
	// view is the last view of a planner of stages.
	view   EngineView
	viewAt time.Time
	cold   coldState
}

// New returns a balancer without observations.
func New(clock clockwork.Clock, backoffs *notice.Backoffs) *Balancer {
	return &Balancer{clock: clock, backoffs: backoffs, endpoints: map[string]*endpointState{}, models: map[string]*prefillModel{}, silentUntil: map[string]time.Time{}, returns: map[string]domainReturn{}}
}

// Call is a call in flight at an endpoint.
type Call struct {
	Endpoint fleet.Endpoint
	// Ejected reports whether the endpoint was ejected when selected, because no other was
	// available.
	Ejected bool
	// Source is the endpoint from which the engine should fetch shared parts of the prompt before
	// prefill; nil if none.
	Source    *fleet.Endpoint
	balancer  *Balancer
	startedAt time.Time
	engine    bool
	uncached  int
	parts     []Part
	// prefill is the time to prefill the uncached tokens, ahead that of the calls which had not
	// returned a first event when this one began, and nominal the expected time to the first event,
	// each for a slowness of 1.
	prefill time.Duration
	ahead   time.Duration
	nominal time.Duration
	// expected is the expected time to the first event.
	expected time.Duration
	pace     pace
	// key identifies the request in observations; 0 if its end is not reported.
	key uint32
	// slowness is the one that the response reports, if reported is set, or 1. waited reports whether
	// the endpoint had waiting requests then.
	slowness float64
	reported bool
	waited   bool
	started  bool
	ended    bool
}

// Pick selects an endpoint and registers the call with it. It returns nil if all candidates are
// excluded, backing off or without room. Ejected endpoints are used only as a last resort.
func (b *Balancer) Pick(candidates []fleet.Endpoint, spec CallSpec) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates, spec = b.prepare(now, candidates, spec)
	candidates = b.withRoom(now, candidates, spec)
	if e := b.isolated(now, candidates, spec); e != nil {
		return b.begin(now, *e, spec)
	}
	if call := b.pickPreferred(now, candidates, spec); call != nil {
		return call
	}
	best := b.best(now, candidates, spec, b.averages(now, candidates))
	if best == nil {
		return nil
	}
	return b.begin(now, *best, spec)
}

// best returns the candidate with the lowest cost, or nil.
func (b *Balancer) best(now time.Time, candidates []fleet.Endpoint, spec CallSpec, averages averages) *fleet.Endpoint {
	var best *fleet.Endpoint
	bestCost := math.MaxFloat64
	affinity := b.affinityTarget(now, candidates, spec)
	for i := range candidates {
		e := &candidates[i]
		if spec.Exclude[e.ID] {
			continue
		}
		if cost := b.cost(now, e, spec, averages, e.ID == affinity); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (b *Balancer) begin(now time.Time, e fleet.Endpoint, spec CallSpec) *Call {
	s := b.state(e.ID)
	c := &Call{Endpoint: e, Ejected: now.Before(s.ejectedUntil), balancer: b, startedAt: now, engine: spec.Engine, parts: spec.Parts, slowness: 1}
	if spec.Engine {
		m := b.modelOf(e.Service)
		work := s.promptWork(spec, &e)
		c.key = StreamKey(spec.Request)
		c.uncached, c.Source = work.prefill, work.source
		c.prefill, c.ahead = m.prefill(work.prefill)+work.transfer, s.pendingPrefill
		c.nominal = m.base() + c.ahead + c.prefill
		c.expected = scale(c.nominal, s.knownSlowness(now, s.speed.slowness))
		s.pendingPrefill += c.prefill
	}
	s.calls[c] = struct{}{}
	s.beganAt = now
	if s.cold.cold(now) {
		s.cold.sentAt = now
	}
	return c
}

func (b *Balancer) state(id string) *endpointState {
	s := b.endpoints[id]
	if s == nil {
		s = newEndpointState()
		b.endpoints[id] = s
	}
	return s
}

func newEndpointState() *endpointState {
	return &endpointState{calls: map[*Call]struct{}{}, latency: initialLatency, speed: EngineSpeed{slowness: 1}, cache: newPromptCache()}
}

// defaultState is the state of endpoints that were never called. It must not be modified.
var defaultState = newEndpointState()

// peek returns the state of an endpoint for reading. It allocates nothing for endpoints that were
// never called.
func (b *Balancer) peek(id string) *endpointState {
	if s := b.endpoints[id]; s != nil {
		return s
	}
	return defaultState
}

// ejectedCost outweighs all other costs, so that ejected endpoints are used only as a last resort.
const ejectedCost = 1e9

const (
	// minJitter distributes calls over endpoints of equal cost.
	minJitter = time.Millisecond
	// engineJitter is the jitter relative to the cost of an engine. Smaller differences are within
	// the error of the estimates, but would make all instances prefer the same engines.
	engineJitter = 0.1
)

// cost is the expected latency of the call at an endpoint in milliseconds, including penalties.
func (b *Balancer) cost(now time.Time, e *fleet.Endpoint, spec CallSpec, averages averages, affinity bool) float64 {
	s := b.peek(e.ID)
	var d time.Duration
	if spec.Engine {
		slowness := s.costSlowness(now, averages)
		d = s.engineCost(now, averages.model, spec, slowness, affinity)
	} else {
		d = s.simpleCost(now, s.latencyAt(now, averages), max(spec.Slots, e.Slots, 1))
	}
	jitter := minJitter
	if spec.Engine {
		jitter = max(jitter, scale(d, engineJitter))
	}
	if spec.Domain != "" && e.FailureDomain != spec.Domain {
		d += crossDomainCost + spec.DomainCost
	}
	if s.overdue(now) || now.Before(b.silentUntil[e.FailureDomain]) {
		d += suspectCost
	}
	cost := float64(d+scale(jitter, rand.Float64())) / float64(time.Millisecond)
	if now.Before(s.ejectedUntil) {
		cost += ejectedCost
	}
	return cost
}

func (s *endpointState) simpleCost(now time.Time, latency time.Duration, slots int) time.Duration {
	ahead := len(s.calls)
	if now.Sub(s.loadAt) < loadTTL {
		ahead = max(ahead, s.load.Running+s.load.Waiting)
	}
	turns := 1 + float64(ahead)/float64(slots)
	return time.Duration(float64(latency) * turns * s.reportedSlowness(now))
}

// engineCost is the expected time to the first event at an engine. Uncached shared parts are
// weighted by sharedPrefillFactor unless the engine is their affinity target, because other
// engines already hold them. This also applies to parts that can be fetched: if requests stayed away
// from the affinity target because a transfer is cheap, the target would have nothing to fetch. The
// weight does not depend on the model, so that faster engines do not spread the parts more.
func (s *endpointState) engineCost(now time.Time, m *prefillModel, spec CallSpec, slowness float64, affinity bool) time.Duration {
	cached := s.cache.cachedTokens(spec.Parts)
	uncached := spec.tokens() - cached
	shared := 0
	if !affinity && len(spec.Parts) > 1 {
		shared = max(0, spec.tokens()-spec.Parts[len(spec.Parts)-1].Tokens-cached)
	}
	prefill := s.pendingPrefill + m.prefill(uncached) + sharedPrefillFactor*prefillPrior.prefill(shared)
	return scale(m.base()+prefill, slowness) + time.Duration(s.streamsAt(now))*batchCost
}

// sharedPrefillFactor is the weight of repeated prefill of shared parts relative to a request's
// own part.
const sharedPrefillFactor = 6

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

func (s *endpointState) overdue(now time.Time) bool {
	for c := range s.calls {
		if !c.started && now.Sub(c.startedAt) > overdueAfter(max(s.latency, c.expected)) {
			return true
		}
	}
	return false
}

// overdueAfter returns after how long a call is overdue.
func overdueAfter(expected time.Duration) time.Duration { return overdueFactor*expected + overdueSlack }

// affinityTarget returns the endpoint that rendezvous hashing assigns to the shared parts of the
// prompt, so that all instances send requests with a common prefix to the same engine. It returns
// an empty string if there is none. The last part is never shared.
func (b *Balancer) affinityTarget(now time.Time, candidates []fleet.Endpoint, spec CallSpec) string {
	if !spec.Engine || len(spec.Parts) < 2 {
		return ""
	}
	if spec.source != nil {
		return spec.source.ID
	}
	target := b.highestRanked(candidates, spec, now)
	if target == nil {
		return ""
	}
	return target.ID
}

// hashBufferSize is the capacity of the buffer for hash inputs, which avoids an allocation per
// endpoint.
const hashBufferSize = 128

// Estimate returns the expected time to the first event of a later call, and the failure domain of
// the endpoint that would serve it.
func (b *Balancer) Estimate(candidates []fleet.Endpoint, spec CallSpec) (time.Duration, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates, spec = b.prepare(now, candidates, spec)
	averages := b.averages(now, candidates)
	best := b.best(now, candidates, spec, averages)
	if best == nil {
		return 0, spec.Domain
	}
	s := b.peek(best.ID)
	if !spec.Engine {
		return s.latency, best.FailureDomain
	}
	m := b.modelOf(best.Service)
	work := s.promptWork(spec, best)
	return scale(m.base()+m.prefill(work.prefill), s.knownSlowness(now, averages.slowness)) + work.transfer, best.FailureDomain
}

// EventsReceived records a number of events of a stream.
func (c *Call) EventsReceived(events int) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return
	}
	now := b.clock.Now()
	if !c.started {
		c.firstEvent(now)
	}
	c.pace.add(now, events)
}

// firstEvent records the first event of a stream. The caller holds the lock of the balancer.
func (c *Call) firstEvent(now time.Time) {
	if c.engine {
		took := now.Sub(c.startedAt)
		c.balancer.learnPrefill(c, took)
		c.balancer.state(c.Endpoint.ID).recordPrefill(now, c, took)
		c.balancer.observed.add(now, c.Endpoint.ID, 0)
	}
	c.responseStarted()
}

// ResponseStarted records the response of a call that is not a stream.
func (c *Call) ResponseStarted() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.started && !c.ended {
		c.responseStarted()
	}
}

// responseStarted updates the state of the endpoint. The caller holds the lock of the balancer.
func (c *Call) responseStarted() {
	b := c.balancer
	c.started = true
	delete(b.silentUntil, c.Endpoint.FailureDomain)
	s := b.state(c.Endpoint.ID)
	now := b.clock.Now()
	took := now.Sub(c.startedAt)
	if s.sampledAt.IsZero() {
		s.latency = took
	}
	// The new sample takes at least the weight that older samples have lost.
	weight := max(sampleWeight, 1-s.freshness(now))
	s.latency += time.Duration(weight * float64(took-s.latency))
	s.sampledAt = now
	s.pendingPrefill -= c.prefill
	s.cache.add(c.parts)
}

// Backoff is the time until the first of the endpoints accepts calls again, or 0 if one does now.
func (b *Balancer) Backoff(endpoints []fleet.Endpoint) time.Duration {
	return b.backoffs.MinRemaining(endpoints)
}

// RetryAfter suggests when a caller should retry if all endpoints are backing off.
func (b *Balancer) RetryAfter(endpoints []fleet.Endpoint, window time.Duration) time.Duration {
	return b.backoffs.RetryAfter(endpoints, window)
}

// Limited reports whether a shared rate limit currently blocks calls to any of the endpoints.
func (b *Balancer) Limited(endpoints []fleet.Endpoint) bool { return b.backoffs.Limited(endpoints) }

// InFlight returns the number of calls of this instance at an endpoint.
func (b *Balancer) InFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		return len(s.calls)
	}
	return 0
}

// Forget drops the state of endpoints that no longer exist.
func (b *Balancer) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.endpoints {
		if len(s.calls) == 0 && !known(id) {
			delete(b.endpoints, id)
		}
	}
}
