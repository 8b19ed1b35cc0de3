package throttle

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

// settleTime is how long after its start an instance may not know all members yet. It grants no
// permits before.
const settleTime = 5 * time.Second

// Peers gives access to the other instances.
type Peers interface {
	Self() peer.Peer
	// SelfLeaving reports whether this instance is leaving. It may serve requests for a while
	// longer.
	SelfLeaving() bool
	// Live returns the other live instances that are not leaving, and Leaving those that are.
	Live() []peer.Peer
	Leaving() []peer.Peer
	// RequestPermits requests permits from another instance.
	RequestPermits(ctx context.Context, to peer.Peer, ask PermitRequest) (PermitGrant, error)
}

// Limiter enforces the rate limits of a Table across all instances. For each limited endpoint, one
// instance grants permits: the first by rendezvous hashing, preferably in the endpoint's failure
// domain. The others request small numbers of permits that expire soon. A grantor only grants the
// share of the limit that corresponds to the instances it can see. Limiter is safe for concurrent
// use.
type Limiter struct {
	table *Table
	peers Peers
	// domainOf returns the failure domain of an endpoint, or an empty string if unknown.
	domainOf func(id string) string
	clock    clockwork.Clock
	log      *logrus.Entry
	// settledAt is when this instance is expected to know the other members.
	settledAt time.Time
	// start runs a permit request in the background; random returns a number in [0, 1).
	start  func(func())
	random func() float64

	mu      sync.Mutex
	members memberView
	// share is the visible fraction of the instances; candidates are the eligible grantors.
	share      float64
	candidates []peer.Peer
	endpoints  map[string]*endpoint
}

// endpoint is the permit state of one endpoint.
type endpoint struct {
	// grantor grants the permits; own is set if that is this instance. resolved is cleared when
	// the candidates may have changed.
	grantor  peer.Peer
	own      bool
	resolved bool
	// bucket limits the permits that this instance grants; reservedUntil is the latest retry time
	// assigned to a refused caller.
	bucket        bucket
	reservedUntil time.Time
	// permits holds the expiry times of unused permits. granted is the size of the last grant, and
	// used the number of permits used since.
	permits     []time.Time
	granted     int
	used        int
	requesting  bool
	nextRequest time.Time
}

// NewLimiter returns a limiter for the limits of a table. UpdateMembers must be called once per
// second.
func NewLimiter(table *Table, peers Peers, domainOf func(id string) string, clock clockwork.Clock, log *logrus.Entry) *Limiter {
	return &Limiter{
		table: table, peers: peers, domainOf: domainOf, clock: clock, log: log, settledAt: clock.Now().Add(settleTime),
		start: func(ask func()) { go ask() }, random: rand.Float64,
		share: 1, candidates: []peer.Peer{peers.Self()}, endpoints: map[string]*endpoint{},
	}
}

// UpdateMembers refreshes the view of the members.
func (l *Limiter) UpdateMembers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	live := l.peers.Live()
	l.share = l.members.update(now, live, l.peers.Leaving())
	l.candidates = l.eligibleGrantors(now, live)
	for id, e := range l.endpoints {
		if _, limited := l.table.PerSecond(id); !limited {
			delete(l.endpoints, id)
			continue
		}
		e.resolved = false
	}
}

// eligibleGrantors returns the instances that have been live long enough to know all members and
// are not leaving, or all instances if there are none.
func (l *Limiter) eligibleGrantors(now time.Time, live []peer.Peer) []peer.Peer {
	settled := slices.DeleteFunc(slices.Clone(live), func(p peer.Peer) bool { return !l.members.settled(now, l.settledAt, p) })
	// The other instances choose another grantor as soon as they learn that this one is leaving.
	if !l.peers.SelfLeaving() && !now.Before(l.settledAt) {
		settled = append(settled, l.peers.Self())
	}
	if len(settled) == 0 {
		return append(slices.Clone(live), l.peers.Self())
	}
	return settled
}

// Any reports whether any limit is in force.
func (l *Limiter) Any() bool { return l.table.Count() > 0 }

// Delay is the time until this instance may call an endpoint, as far as it knows; 0 if it may call
// now. If another instance grants the permits, Delay requests some in the background.
func (l *Limiter) Delay(id string) time.Duration {
	perSecond, limited := l.table.PerSecond(id)
	if !limited {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	e := l.endpoint(now, id)
	if e.own {
		return e.bucket.wait(now, l.rate(perSecond))
	}
	e.dropExpired(now)
	if len(e.permits) > 0 {
		return 0
	}
	if !e.requesting && !now.Before(e.nextRequest) {
		l.request(now, id, e, perSecond)
	}
	return max(requestTime, e.nextRequest.Sub(now))
}

// Allow reports whether a call to an endpoint may start, and counts it.
func (l *Limiter) Allow(id string) bool {
	perSecond, limited := l.table.PerSecond(id)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	e := l.endpoint(now, id)
	if e.own {
		return e.bucket.take(now, l.rate(perSecond), 1) == 1
	}
	e.dropExpired(now)
	if len(e.permits) == 0 {
		return false
	}
	e.permits = e.permits[1:]
	e.used++
	return true
}

// endpoint returns the permit state of an endpoint after resolving its grantor.
func (l *Limiter) endpoint(now time.Time, id string) *endpoint {
	e := l.endpoints[id]
	if e == nil {
		e = &endpoint{}
		l.endpoints[id] = e
	}
	if e.resolved {
		return e
	}
	self := l.peers.Self()
	grantor := chooseGrantor(l.candidates, id, l.domainOf(id))
	own := grantor.Name == self.Name
	if own && !e.own {
		e.bucket = bucket{at: later(now, l.settledAt).Add(permitTTL)}
	}
	e.grantor, e.own, e.resolved = grantor, own, true
	return e
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
