// Package ratelimit splits the rate limits of organisations across instances without a coordinator:
// in proportion to recent demand within a failure domain, and by the number of instances between
// domains.
package ratelimit

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
	// window is the interval over which demand is smoothed.
	window = 2 * time.Second
	// demandTTL is how long the demand reported by a peer is used.
	demandTTL = 6 * time.Second
	// reserve is the fraction of a domain's rate that is split equally regardless of demand, so
	// that an instance without recent demand can admit requests at once.
	reserve = 0.1
	// burstSeconds is the burst size in seconds of the instance's rate; minBurst is its lower
	// bound.
	burstSeconds = 0.5
	minBurst     = 2
	// maxDemands bounds the demands per heartbeat; more are sent in rotation.
	maxDemands = 4
)

// Demand is the request rate of one organisation at one instance.
type Demand struct {
	// Organisation is a hash of the name. A collision makes two organisations share a demand,
	// which only distorts the split of their rates.
	Organisation uint32
	// PerSecond is the rate of offered requests, whether admitted or not.
	PerSecond float64
}

// InstanceCounts is the number of instances in the failure domain and in total.
type InstanceCounts struct{ Domain, All int }

// Splitter tracks the demand at this instance and at its peers in the failure domain. It is safe
// for concurrent use.
type Splitter struct {
	mu    sync.Mutex
	clock clockwork.Clock
	own   map[uint32]*counter
	peers map[string]*peer
	next  int
}

// peer holds the demands reported by another instance of the failure domain.
type peer struct {
	reportedAt time.Time
	demands    map[uint32]peerDemand
}

// counter smooths a rate with linear decay over window. It also holds the limiter for this
// instance's part of the rate.
type counter struct {
	sum     float64
	at      time.Time
	limiter *rate.Limiter
}

type peerDemand struct {
	perSecond  float64
	reportedAt time.Time
}

// NewSplitter returns a splitter without any demand.
func NewSplitter(clock clockwork.Clock) *Splitter {
	return &Splitter{clock: clock, own: map[uint32]*counter{}, peers: map[string]*peer{}}
}

// Hash returns the identifier of an organisation in a Demand.
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

// Allow counts a request offered by an organisation and reports whether it is within this
// instance's part of the rate.
func (s *Splitter) Allow(organisation string, perSecond float64, counts InstanceCounts) bool {
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
	part := s.limit(id, perSecond, counts)
	c.limiter.SetLimitAt(now, rate.Limit(part))
	c.limiter.SetBurstAt(now, max(minBurst, int(part*burstSeconds)))
	return c.limiter.AllowN(now, 1)
}

// Limit returns this instance's part of an organisation's rate.
func (s *Splitter) Limit(organisation string, perSecond float64, counts InstanceCounts) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit(Hash(organisation), perSecond, counts)
}

func (s *Splitter) limit(id uint32, perSecond float64, counts InstanceCounts) float64 {
	each := perSecond / float64(max(counts.All, counts.Domain, 1))
	// Peers that have not reported may each use an equal part.
	known := float64(max(counts.Domain-s.silent(counts), 1))
	own, total := s.demand(id)
	if total <= 0 {
		return each
	}
	return each * (reserve + (1-reserve)*known*own/total)
}

// silent is the number of live peers without a recent report.
func (s *Splitter) silent(counts InstanceCounts) int {
	now := s.clock.Now()
	reported := 0
	for _, n := range s.peers {
		if now.Sub(n.reportedAt) <= demandTTL {
			reported++
		}
	}
	return max(counts.Domain-1-reported, 0)
}

// demand returns the demand at this instance and in the failure domain.
func (s *Splitter) demand(id uint32) (own, total float64) {
	now := s.clock.Now()
	if c := s.own[id]; c != nil {
		own = c.rate(now)
	}
	total = own
	for _, n := range s.peers {
		if h, ok := n.demands[id]; ok && now.Sub(h.reportedAt) <= demandTTL {
			total += h.perSecond
		}
	}
	return own, total
}

// Demands returns the demands for the next heartbeat, in rotation if there are too many.
func (s *Splitter) Demands() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.peers, func(_ string, n *peer) bool { return now.Sub(n.reportedAt) > demandTTL })
	var all []Demand
	for id, c := range s.own {
		rate := c.rate(now)
		if rate == 0 && now.Sub(c.at) > demandTTL {
			delete(s.own, id)
			continue
		}
		all = append(all, Demand{Organisation: id, PerSecond: rate})
	}
	slices.SortFunc(all, func(a, b Demand) int { return int(int64(a.Organisation) - int64(b.Organisation)) })
	if len(all) <= maxDemands {
		return all
	}
	demands := make([]Demand, 0, maxDemands)
	for i := range maxDemands {
		demands = append(demands, all[(s.next+i)%len(all)])
	}
	s.next = (s.next + maxDemands) % len(all)
	return demands
}

// SetPeerDemands records the demands that a peer reported. The list may be empty.
func (s *Splitter) SetPeerDemands(instance string, demands []Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.peers[instance]
	if n == nil {
		n = &peer{demands: map[uint32]peerDemand{}}
		s.peers[instance] = n
	}
	n.reportedAt = s.clock.Now()
	for _, d := range demands {
		n.demands[d.Organisation] = peerDemand{perSecond: d.PerSecond, reportedAt: n.reportedAt}
	}
}
