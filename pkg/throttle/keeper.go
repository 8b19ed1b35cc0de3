package throttle

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// settling is how long after its start an instance may not know the others, and grants nothing: members greet each other
// for four seconds.
const settling = 5 * time.Second

// Peers are the other instances.
type Peers interface {
	Self() Peer
	// Leaves tells whether this instance leaves: it may serve on for a while.
	Leaves() bool
	// Live are the others that live and do not leave, Leaving those that live and leave.
	Live() []Peer
	Leaving() []Peer
	// Ask asks another instance for calls.
	Ask(ctx context.Context, to Peer, ask Ask) (Grant, error)
}

// Keeper has all instances together heed the limits of a table. For each endpoint that names one, one instance grants the
// calls: of the endpoint's failure domain, if any is seen there, the first by rendezvous hashing. The others ask it, for a few
// calls at a time that must begin soon. It grants the part of the limit that it sees of the instances. Safe for concurrent use.
type Keeper struct {
	table *Table
	peers Peers
	// domainOf returns an endpoint's failure domain; empty: not known.
	domainOf func(life string) string
	clock    clockwork.Clock
	log      *logrus.Entry
	// settled is when this instance knows the others.
	settled time.Time
	// start runs what asks another instance, beside; draw is a random number from 0 up to 1.
	start func(func())
	draw  func() float64

	mu    sync.Mutex
	sight sight
	// part is that of the instances which is seen, candidates are those that may grant.
	part       float64
	candidates []Peer
	endpoints  map[string]*endpoint
}

// endpoint is how calls to one endpoint's life are granted.
type endpoint struct {
	// grantor grants them; this instance if own. looked says that this is known for the candidates as they are.
	grantor Peer
	own     bool
	looked  bool
	// bucket is of what this instance grants, booked until when askers were told to wait for it.
	bucket bucket
	booked time.Time
	// permits are the ends of the calls granted to this instance; last is how many were granted last, spent how
	// many of these were used.
	permits []time.Time
	last    int
	spent   int
	asking  bool
	nextAsk time.Time
}

// NewKeeper returns a keeper of a table's limits that knows no other instance. Look is to be called once a second.
func NewKeeper(table *Table, peers Peers, domainOf func(life string) string, clock clockwork.Clock, log *logrus.Entry) *Keeper {
	return &Keeper{
		table: table, peers: peers, domainOf: domainOf, clock: clock, log: log, settled: clock.Now().Add(settling),
		start: func(ask func()) { go ask() }, draw: rand.Float64,
		part: 1, candidates: []Peer{peers.Self()}, endpoints: map[string]*endpoint{},
	}
}

// Look takes in which instances there are.
func (k *Keeper) Look() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	live := k.peers.Live()
	k.part = k.sight.look(now, live, k.peers.Leaving())
	k.candidates = k.mayGrant(now, live)
	for life, e := range k.endpoints {
		if _, limited := k.table.PerSecond(life); !limited {
			delete(k.endpoints, life)
			continue
		}
		e.looked = false
	}
}

// mayGrant returns the instances that may grant calls: those that have lived for long enough to know the others, and do not
// leave. Where there are none it is all.
func (k *Keeper) mayGrant(now time.Time, live []Peer) []Peer {
	settled := slices.DeleteFunc(slices.Clone(live), func(p Peer) bool { return !k.sight.knows(now, k.settled, p) })
	// The others have chosen another grantor as soon as they hear that this instance leaves.
	if !k.peers.Leaves() && !now.Before(k.settled) {
		settled = append(settled, k.peers.Self())
	}
	if len(settled) == 0 {
		return append(slices.Clone(live), k.peers.Self())
	}
	return settled
}

// Any tells whether any limit holds.
func (k *Keeper) Any() bool { return k.table.Count() > 0 }

// Left is how long it takes until this instance may next call an endpoint's life, as far as is known; 0: it may now. To ask
// is to want to: where another instance grants the calls, it is asked.
func (k *Keeper) Left(life string) time.Duration {
	perSecond, limited := k.table.PerSecond(life)
	if !limited {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e := k.endpoint(now, life)
	if e.own {
		return e.bucket.wait(now, k.rate(perSecond))
	}
	e.drop(now)
	if len(e.permits) > 0 {
		return 0
	}
	if !e.asking && !now.Before(e.nextAsk) {
		k.ask(now, life, e, perSecond)
	}
	return max(askTime, e.nextAsk.Sub(now))
}

// Spend tells whether a call to an endpoint's life may begin, and counts it.
func (k *Keeper) Spend(life string) bool {
	perSecond, limited := k.table.PerSecond(life)
	if !limited {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e := k.endpoint(now, life)
	if e.own {
		return e.bucket.take(now, k.rate(perSecond), 1) == 1
	}
	e.drop(now)
	if len(e.permits) == 0 {
		return false
	}
	e.permits = e.permits[1:]
	e.spent++
	return true
}

// endpoint returns how calls to an endpoint's life are granted, by the candidates as they are now.
func (k *Keeper) endpoint(now time.Time, life string) *endpoint {
	e := k.endpoints[life]
	if e == nil {
		e = &endpoint{}
		k.endpoints[life] = e
	}
	if e.looked {
		return e
	}
	self := k.peers.Self()
	grantor := chooseGrantor(k.candidates, life, k.domainOf(life))
	own := grantor.Name == self.Name
	if own && !e.own {
		e.bucket = bucket{at: latest(now, k.settled).Add(permitLife)}
	}
	e.grantor, e.own, e.looked = grantor, own, true
	return e
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
