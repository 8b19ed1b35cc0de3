package throttle

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// settling is how long after its start an instance may not know the others, and grants nothing.
	settling = 3 * time.Second
	// askTime is how long an answer to an Ask is expected to take, and askTimeout how long it is waited for.
	askTime    = 50 * time.Millisecond
	askTimeout = 500 * time.Millisecond
	// firstAfter and lastAfter bound how long after a refusal an instance asks again.
	firstAfter = 50 * time.Millisecond
	lastAfter  = 2 * time.Second
	// asksPerCall is how many instances ask in a second for each call a second that a limit allows: where many more
	// might use one, a few of them are drawn.
	asksPerCall = 2
	// wantedSeconds bounds what is asked for at once, in seconds of the whole limit.
	wantedSeconds = 0.25
)

// Peers are the other instances.
type Peers interface {
	Self() Peer
	// Live are those that live and do not leave, Leaving those that live and leave.
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
	// part is that of the instances which is seen, candidates are all that live, this one among them.
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
	live := k.peers.Live()
	k.part = k.sight.look(k.clock.Now(), live, k.peers.Leaving())
	k.candidates = append(slices.Clone(live), k.peers.Self())
	for life, e := range k.endpoints {
		if _, limited := k.table.PerSecond(life); !limited {
			delete(k.endpoints, life)
			continue
		}
		e.looked = false
	}
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

// Answer grants calls to another instance, if this one may.
func (k *Keeper) Answer(a Ask) Grant {
	k.table.Hear([]Limit{{Life: a.Life, Limited: true, PerSecond: a.PerSecond, Age: time.Duration(a.AgeMs) * time.Millisecond}})
	perSecond, limited := k.table.PerSecond(a.Life)
	if !limited {
		return Grant{Lifted: true, AgeMs: k.table.age(a.Life).Milliseconds()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e := k.endpoint(now, a.Life)
	if !e.own {
		return Grant{AfterMs: askTimeout.Milliseconds()}
	}
	rate := k.rate(perSecond)
	if granted := e.bucket.take(now, rate, max(0, min(a.Wanted, mostWanted(perSecond)))); granted > 0 {
		return Grant{Granted: granted}
	}
	// Those who ask in vain are told to come one after another.
	next := now.Add(e.bucket.wait(now, rate))
	if booked := e.booked.Add(time.Duration(float64(time.Second) / rate)); booked.After(next) {
		next = booked
	}
	e.booked = earliest(next, now.Add(lastAfter))
	return Grant{AfterMs: e.booked.Sub(now).Milliseconds() + 1}
}

// rate is how many calls a second are granted of a limit: the part of it that belongs to the instances in sight.
func (k *Keeper) rate(perSecond float64) float64 { return max(leastPerSecond, perSecond) * k.part }

// mostWanted bounds what is asked for at once.
func mostWanted(perSecond float64) int { return max(1, int(math.Ceil(wantedSeconds*perSecond))) }

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

// chooseGrantor returns the instance that grants the calls to an endpoint: all that see the same others choose the same.
func chooseGrantor(candidates []Peer, life, domain string) Peer {
	weight := func(p Peer) uint64 { return xxhash.Sum64String("grantor/" + life + "/" + p.Name) }
	near := func(p Peer) int {
		if p.FailureDomain == domain {
			return 1
		}
		return 0
	}
	return slices.MaxFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(weight(a), weight(b)))
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drop drops the permits that have run out.
func (e *endpoint) drop(now time.Time) {
	e.permits = slices.DeleteFunc(e.permits, func(end time.Time) bool { return !now.Before(end) })
}

// wanted is how many calls are asked for: twice as many as last time if all of those were used, and as many as were
// used if some were not.
func (e *endpoint) wanted(perSecond float64) int {
	wanted := e.spent
	if e.spent >= e.last {
		wanted = 2 * e.last
	}
	return max(1, min(wanted, mostWanted(perSecond)))
}

// ask asks the grantor for calls, unless so many instances might that this one is not drawn.
func (k *Keeper) ask(now time.Time, life string, e *endpoint, perSecond float64) {
	if k.draw()*float64(len(k.candidates)) > asksPerCall*max(leastPerSecond, perSecond) {
		e.nextAsk = now.Add(time.Second)
		return
	}
	e.asking = true
	ask := Ask{Life: life, Wanted: e.wanted(perSecond), PerSecond: perSecond, AgeMs: k.table.age(life).Milliseconds()}
	k.start(func() { k.take(now, e, ask) })
}

// take asks the grantor, and takes in what it grants.
func (k *Keeper) take(asked time.Time, e *endpoint, ask Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	k.mu.Lock()
	grantor := e.grantor
	k.mu.Unlock()
	grant, err := k.peers.Ask(ctx, grantor, ask)
	if grant.Lifted {
		k.table.Hear([]Limit{{Life: ask.Life, Age: time.Duration(grant.AgeMs) * time.Millisecond}})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e.asking = false
	switch {
	case err != nil:
		e.nextAsk = now.Add(lastAfter)
		k.log.WithFields(logrus.Fields{"event": "permits_not_asked", "endpoint": ask.Life, "instance": grantor.Name}).Info(err)
	case grant.Granted == 0:
		after := time.Duration(grant.AfterMs) * time.Millisecond
		e.nextAsk = now.Add(max(firstAfter, min(lastAfter, after)))
	default:
		e.last, e.spent = grant.Granted, 0
		for range min(grant.Granted, ask.Wanted) {
			e.permits = append(e.permits, asked.Add(permitLife))
		}
	}
}
