// Package limits splits the organisations' rates over the instances without a
// coordinator: by the demand that each has seen of late, within a failure domain, and
// by the number of instances between domains.
package limits

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// window is over how long demand is smoothed.
	window = 2 * time.Second
	// demandLife is how long a neighbour's demand counts.
	demandLife = 6 * time.Second
	// reserve is the part of a domain's rate that is split equally whatever the demand,
	// so that an instance whose demand begins can admit at once.
	reserve = 0.1
	// burstSeconds is how much of its part an instance may admit at once, minBurst what
	// it may at least: requests do not come evenly.
	burstSeconds = 0.5
	minBurst     = 2
	// maxNamed bounds the organisations named in one heartbeat; more take turns.
	maxNamed = 4
)

// Demand is what one instance has been asked for by one organisation.
type Demand struct {
	// Organisation is a hash of its name. Two with one hash share a demand, which
	// splits their rates a little wrongly and does nothing else.
	Organisation uint32
	// PerSecond are requests offered, admitted or not.
	PerSecond float64
}

// Size is how many instances there are.
type Size struct{ Domain, All int }

// Shares knows the demand at this instance and at its neighbours. Safe for concurrent use.
type Shares struct {
	mu         sync.Mutex
	clock      clockwork.Clock
	own        map[uint32]*counter
	neighbours map[string]*neighbour
	turn       int
}

// neighbour is what another instance of the domain has told, and when it last did.
type neighbour struct {
	at      time.Time
	demands map[uint32]heard
}

// counter smooths a rate: its sum decays over window. It also holds the limiter of
// this instance's part.
type counter struct {
	sum     float64
	at      time.Time
	limiter *rate.Limiter
}

type heard struct {
	perSecond float64
	at        time.Time
}

// NewShares returns shares without any demand.
func NewShares(clock clockwork.Clock) *Shares {
	return &Shares{clock: clock, own: map[uint32]*counter{}, neighbours: map[string]*neighbour{}}
}

// Hash returns the hash that stands for an organisation.
func Hash(organisation string) uint32 { return uint32(xxhash.Sum64String(organisation)) }

func (c *counter) rate(now time.Time) float64 {
	age := now.Sub(c.at)
	if age >= window {
		return 0
	}
	return c.sum * (1 - age.Seconds()/window.Seconds()) / window.Seconds()
}

func (c *counter) add(now time.Time) {
	age := min(now.Sub(c.at), window)
	c.sum = c.sum*(1-age.Seconds()/window.Seconds()) + 1
	c.at = now
}

// Allow counts one request offered by an organisation with a rate, and tells whether
// it is within this instance's part of the rate.
func (s *Shares) Allow(organisation string, perSecond float64, size Size) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	id := Hash(organisation)
	c := s.own[id]
	if c == nil {
		c = &counter{at: now, limiter: rate.NewLimiter(0, minBurst)}
		s.own[id] = c
	}
	c.add(now)
	part := s.limit(id, perSecond, size)
	c.limiter.SetLimitAt(now, rate.Limit(part))
	c.limiter.SetBurstAt(now, max(minBurst, int(part*burstSeconds)))
	return c.limiter.AllowN(now, 1)
}

// Limit returns this instance's part of an organisation's rate.
func (s *Shares) Limit(organisation string, perSecond float64, size Size) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit(Hash(organisation), perSecond, size)
}

func (s *Shares) limit(id uint32, perSecond float64, size Size) float64 {
	each := perSecond / float64(max(size.All, size.Domain, 1))
	// Neighbours of which nothing is heard may admit an equal part by themselves.
	known := float64(max(size.Domain-s.silent(size), 1))
	own, total := s.demand(id)
	if total <= 0 {
		return each
	}
	return each * (reserve + (1-reserve)*known*own/total)
}

// silent is the number of neighbours that live but have not been heard of late.
func (s *Shares) silent(size Size) int {
	now := s.clock.Now()
	heard := 0
	for _, n := range s.neighbours {
		if now.Sub(n.at) <= demandLife {
			heard++
		}
	}
	return max(size.Domain-1-heard, 0)
}

// demand returns the demand here, and in the domain.
func (s *Shares) demand(id uint32) (own, total float64) {
	now := s.clock.Now()
	if c := s.own[id]; c != nil {
		own = c.rate(now)
	}
	total = own
	for _, n := range s.neighbours {
		if h, ok := n.demands[id]; ok && now.Sub(h.at) <= demandLife {
			total += h.perSecond
		}
	}
	return own, total
}

// Named returns the demands to tell the neighbours: a few at a time, in turn.
func (s *Shares) Named() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.neighbours, func(_ string, n *neighbour) bool { return now.Sub(n.at) > demandLife })
	var all []Demand
	for id, c := range s.own {
		rate := c.rate(now)
		if rate == 0 && now.Sub(c.at) > demandLife {
			delete(s.own, id)
			continue
		}
		all = append(all, Demand{Organisation: id, PerSecond: rate})
	}
	slices.SortFunc(all, func(a, b Demand) int { return int(int64(a.Organisation) - int64(b.Organisation)) })
	if len(all) <= maxNamed {
		return all
	}
	named := make([]Demand, 0, maxNamed)
	for i := range maxNamed {
		named = append(named, all[(s.turn+i)%len(all)])
	}
	s.turn = (s.turn + maxNamed) % len(all)
	return named
}

// Heard takes in the demands that a neighbour has named, be it none.
func (s *Shares) Heard(instance string, demands []Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.neighbours[instance]
	if n == nil {
		n = &neighbour{demands: map[uint32]heard{}}
		s.neighbours[instance] = n
	}
	n.at = s.clock.Now()
	for _, d := range demands {
		n.demands[d.Organisation] = heard{perSecond: d.PerSecond, at: n.at}
	}
}
