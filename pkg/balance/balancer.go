// Package balance chooses the endpoint of a call among those of a service, by what this
// instance has seen of them: calls in flight, times, failures, and for model engines the
// prompt parts that they keep.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

const (
	// sampleWeight is the weight of a new sample in a smoothed time.
	sampleWeight = 0.2
	// firstOut and lastOut bound how long an endpoint that failed is left out.
	firstOut = 400 * time.Millisecond
	lastOut  = 5 * time.Second
	// failuresOut is how many failures in a row leave an endpoint out.
	failuresOut = 2
	// otherDomain is the cost of a call to another failure domain.
	otherDomain = 30 * time.Millisecond
	// overdueFactor and overdueSlack say when a call in flight speaks against its
	// endpoint: it has taken overdueFactor smoothed times and overdueSlack.
	overdueFactor = 4
	overdueSlack  = 150 * time.Millisecond
	// suspectCost is the cost of an endpoint with an overdue call.
	suspectCost = 2 * time.Second
	// firstTime is taken as the time of calls to an endpoint never called before.
	firstTime = 20 * time.Millisecond
	// tokensPerSecond is how fast an engine is taken to read a prompt at first.
	tokensPerSecond = 50_000
	// batchCost is the cost of each request that runs at an engine already.
	batchCost = 2 * time.Millisecond
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Need says what a call needs of its endpoint.
type Need struct {
	// Domain is the failure domain that is best; empty: any.
	Domain string
	// DomainCost is what a call to another domain costs beyond the usual, such as
	// the moving of its inputs.
	DomainCost time.Duration
	// Exclude has the IDs of endpoints that must not be chosen.
	Exclude map[string]bool
	// Engine says that the endpoints are model engines; Parts is the prompt, in order.
	Engine bool
	Parts  []Part
	// Slots is how many calls an endpoint works on at once.
	Slots int
	// Cold is what the endpoints bear that are cold.
	Cold Cold
	// Prefer is the ID of the endpoint that is taken unless something speaks against it;
	// empty: none.
	Prefer string
	// Apart has the call go where few others run, by a choice of its own that this text stands for;
	// empty: no. It is for requests that may end their endpoint.
	Apart string
}

func (n Need) tokens() int {
	total := 0
	for _, p := range n.Parts {
		total += p.Tokens
	}
	return total
}

// Balancer holds what this instance has seen of the endpoints. Safe for concurrent use.
type Balancer struct {
	clock clockwork.Clock
	// rests are those that endpoints want from this machine. It is no choice of the balancer to
	// pass them by, not even where no other endpoint is left.
	rests *notice.Rests

	mu        sync.Mutex
	endpoints map[string]*seen
	// silent is until when failure domains are suspected to be cut off.
	silent map[string]time.Time
}

const (
	// silentAfter is how long it takes at least to find an endpoint silent. One whose
	// process has ended refuses at once.
	silentAfter = 200 * time.Millisecond
	// silentFor is how long a failure domain is suspected of which an endpoint was silent.
	silentFor = time.Second
)

// seen is what this instance has seen of one endpoint.
type seen struct {
	calls    map[*Call]struct{}
	smoothed time.Duration
	failures int
	out      time.Duration
	outUntil time.Time
	// reading is the prompt tokens of calls whose first event has not come.
	reading int
	// slowness multiplies the expected time of reading, smoothed.
	slowness float64
	// sampled is when the smoothed values last learnt something; zero if never.
	sampled time.Time
	kept    *keptParts
	load    Load
	loadAt  time.Time
	cold    coldness
}

// New returns a balancer that has seen nothing.
func New(clock clockwork.Clock, rests *notice.Rests) *Balancer {
	return &Balancer{clock: clock, rests: rests, endpoints: map[string]*seen{}, silent: map[string]time.Time{}}
}

// Call is a call counted in at its endpoint.
type Call struct {
	Endpoint fleet.Endpoint
	// LeftOut says that the endpoint was chosen though it was left out, since no other was there.
	LeftOut  bool
	balancer *Balancer
	begin    time.Time
	unread   int
	parts    []Part
	expected time.Duration
	begun    bool
	ended    bool
}

// Pick chooses an endpoint and counts the call in. It returns nil if all are excluded, or want rest.
// Endpoints that are left out for failures are chosen only when no other is there.
func (b *Balancer) Pick(candidates []fleet.Endpoint, need Need) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates = b.usable(now, candidates, need)
	if e := b.apart(now, candidates, need); e != nil {
		return b.begin(now, *e, need)
	}
	if call := b.preferred(now, candidates, need); call != nil {
		return call
	}
	best, _ := b.best(now, candidates, need)
	if best == nil {
		return nil
	}
	return b.begin(now, *best, need)
}

// best returns the endpoint with the least cost, or nil.
func (b *Balancer) best(now time.Time, candidates []fleet.Endpoint, need Need) (*fleet.Endpoint, float64) {
	var best *fleet.Endpoint
	bestCost := math.MaxFloat64
	home := b.homeOf(now, candidates, need)
	usual := b.usual(now, candidates)
	for i := range candidates {
		e := &candidates[i]
		if need.Exclude[e.ID] {
			continue
		}
		if cost := b.cost(now, e, need, usual, e.ID == home); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, bestCost
}

func (b *Balancer) begin(now time.Time, e fleet.Endpoint, need Need) *Call {
	s := b.seen(e.ID)
	c := &Call{Endpoint: e, LeftOut: now.Before(s.outUntil), balancer: b, begin: now, parts: need.Parts}
	if need.Engine {
		c.unread = need.tokens() - s.kept.match(need.Parts)
		c.expected = readTime(c.unread+s.reading, s.slowness)
		s.reading += c.unread
	}
	s.calls[c] = struct{}{}
	if s.cold.cold(now) {
		s.cold.sentAt = now
	}
	return c
}

func (b *Balancer) seen(id string) *seen {
	s := b.endpoints[id]
	if s == nil {
		s = newSeen()
		b.endpoints[id] = s
	}
	return s
}

func newSeen() *seen {
	return &seen{calls: map[*Call]struct{}{}, smoothed: firstTime, slowness: 1, kept: newKeptParts()}
}

// unseen is what is seen of an endpoint that was never called. It must not be changed.
var unseen = newSeen()

// look returns what is seen of an endpoint, for reading alone: of thousands of candidates an instance calls few, and
// keeps nothing of the others.
func (b *Balancer) look(id string) *seen {
	if s := b.endpoints[id]; s != nil {
		return s
	}
	return unseen
}

// outCost is added for an endpoint that is left out: it is chosen only if all are.
const outCost = 1e9

// cost is the expected time of the call at an endpoint, in milliseconds, with what
// speaks against it added.
func (b *Balancer) cost(now time.Time, e *fleet.Endpoint, need Need, u usual, home bool) float64 {
	s := b.look(e.ID)
	var d time.Duration
	smoothed, slowness := s.at(now, u)
	if need.Engine {
		d = s.engineCost(need, slowness*s.toldSlowness(now), home)
	} else {
		d = s.simpleCost(now, smoothed, max(need.Slots, e.Slots, 1))
	}
	if need.Domain != "" && e.FailureDomain != need.Domain {
		d += otherDomain + need.DomainCost
	}
	if s.overdue(now) || now.Before(b.silent[e.FailureDomain]) {
		d += suspectCost
	}
	cost := float64(d)/float64(time.Millisecond) + rand.Float64()
	if now.Before(s.outUntil) {
		cost += outCost
	}
	return cost
}

func (s *seen) simpleCost(now time.Time, smoothed time.Duration, slots int) time.Duration {
	ahead := len(s.calls)
	if now.Sub(s.loadAt) < loadLife {
		ahead = max(ahead, s.load.Running+s.load.Waiting)
	}
	turns := 1 + float64(ahead)/float64(slots)
	return time.Duration(float64(smoothed) * turns * s.toldSlowness(now))
}

// engineCost is the time to the first event at an engine. Shared parts that have to be read
// count readAgainCost times: they are read at the cost of all others there.
func (s *seen) engineCost(need Need, slowness float64, home bool) time.Duration {
	kept := s.kept.match(need.Parts)
	unread := need.tokens() - kept
	shared := 0
	if !home && len(need.Parts) > 1 {
		shared = max(0, need.tokens()-need.Parts[len(need.Parts)-1].Tokens-kept)
	}
	return readTime(s.reading+unread+readAgainCost*shared, slowness) + time.Duration(len(s.calls))*batchCost
}

// readAgainCost is by how much the reading of shared parts that are kept elsewhere is
// weighed over that of a request's own part.
const readAgainCost = 6

func readTime(tokens int, slowness float64) time.Duration {
	return time.Duration(slowness * float64(tokens) / tokensPerSecond * float64(time.Second))
}

func (s *seen) overdue(now time.Time) bool {
	for c := range s.calls {
		usual := max(s.smoothed, c.expected)
		if !c.begun && now.Sub(c.begin) > overdueFactor*usual+overdueSlack {
			return true
		}
	}
	return false
}

// homeOf returns the endpoint that is first for the shared parts of a prompt, so that all
// instances send kindred requests to the same one; empty if there is none. The last part
// is the request's own.
func (b *Balancer) homeOf(now time.Time, candidates []fleet.Endpoint, need Need) string {
	if !need.Engine || len(need.Parts) < 2 {
		return ""
	}
	text := append(make([]byte, 0, hashedText), need.Parts[len(need.Parts)-2].ID+"/"...)
	home, most := "", uint64(0)
	for i := range candidates {
		id := candidates[i].ID
		if now.Before(b.look(id).outUntil) {
			continue
		}
		if weight := xxhash.Sum64(append(text, id...)); home == "" || weight > most {
			home, most = id, weight
		}
	}
	return home
}

// hashedText is room for the texts that are hashed, in bytes, so that none is allocated for each endpoint.
const hashedText = 128

// Expect returns the time to the first event, and the failure domain of the endpoint, that
// a call which is made some time later is likely to have.
func (b *Balancer) Expect(candidates []fleet.Endpoint, need Need) (time.Duration, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	best, _ := b.best(now, b.usable(now, candidates, need), need)
	if best == nil {
		return 0, need.Domain
	}
	s := b.look(best.ID)
	if !need.Engine {
		return s.smoothed, best.FailureDomain
	}
	return firstEventTime + readTime(need.tokens()-s.kept.match(need.Parts), s.slowness), best.FailureDomain
}

// firstEventTime is the time to the first event of a prompt that is kept whole.
const firstEventTime = 60 * time.Millisecond

// Begun says that the first event came, or the answer's head for other calls.
func (c *Call) Begun() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.begun || c.ended {
		return
	}
	c.begun = true
	delete(b.silent, c.Endpoint.FailureDomain)
	s := b.seen(c.Endpoint.ID)
	now := b.clock.Now()
	took := now.Sub(c.begin)
	if s.sampled.IsZero() {
		s.smoothed = took
	}
	// What is forgotten of the samples before is this one's weight.
	weight := max(sampleWeight, 1-s.known(now))
	s.smoothed += time.Duration(weight * float64(took-s.smoothed))
	s.sampled = now
	s.reading -= c.unread
	s.kept.add(c.parts)
	if c.expected > minReadSample {
		ratio := float64(took) / float64(c.expected) * s.slowness
		s.slowness += sampleWeight * (min(ratio, maxSlowness) - s.slowness)
		s.slowness = max(s.slowness, minSlowness)
	}
}

const (
	// minReadSample is the shortest expected reading whose time is learnt from.
	minReadSample = 20 * time.Millisecond
	minSlowness   = 0.5
	maxSlowness   = 20
)

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	// Well: the endpoint did its work.
	Well Outcome = iota
	// Refused: it did not take the call.
	Refused
	// Unreachable: no connection was made.
	Unreachable
	// Bad: it failed, or broke off, or gave no answer.
	Bad
	// Canceled: the call ended for reasons that are not the endpoint's.
	Canceled
)

// End counts the call out. The load is what the endpoint told just now, or nil.
func (c *Call) End(outcome Outcome, load *Load) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	s := b.seen(c.Endpoint.ID)
	delete(s.calls, c)
	if !c.begun {
		s.reading -= c.unread
	}
	now := b.clock.Now()
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	if outcome == Unreachable && now.Sub(c.begin) >= silentAfter {
		b.silent[c.Endpoint.FailureDomain] = now.Add(silentFor)
	}
	s.judge(now, outcome)
}

func (s *seen) judge(now time.Time, outcome Outcome) {
	switch outcome {
	case Well:
		s.failures, s.out = 0, 0
	case Unreachable:
		s.leaveOut(now)
	case Bad:
		if s.failures++; s.failures >= failuresOut {
			s.leaveOut(now)
		}
	case Refused:
		s.outUntil = now.Add(refusedOut)
	case Canceled:
	}
}

// refusedOut is how long an endpoint that refused a call is left out.
const refusedOut = 100 * time.Millisecond

func (s *seen) leaveOut(now time.Time) {
	s.out = min(lastOut, max(firstOut, 2*s.out))
	s.outUntil = now.Add(s.out)
}

// Rest is how long it takes until one of the endpoints wants work again, where all want rest; 0 if one
// wants none.
func (b *Balancer) Rest(endpoints []fleet.Endpoint) time.Duration { return b.rests.Least(endpoints) }

// Return is when a caller may come back where all endpoints want rest.
func (b *Balancer) Return(endpoints []fleet.Endpoint, soon time.Duration) time.Duration {
	return b.rests.Return(endpoints, soon)
}

// Limited tells whether limits for all keep this instance from calling any of the endpoints now.
func (b *Balancer) Limited(endpoints []fleet.Endpoint) bool { return b.rests.Limited(endpoints) }

// InFlight returns this instance's calls in flight at an endpoint.
func (b *Balancer) InFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		return len(s.calls)
	}
	return 0
}

// Forget drops what was seen of endpoints that are not known any more.
func (b *Balancer) Forget(known func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.endpoints {
		if len(s.calls) == 0 && !known(id) {
			delete(b.endpoints, id)
		}
	}
}
