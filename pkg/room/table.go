// Package room limits the calls in flight at endpoints that fail when they have to reject too many
// calls for want of room. Such endpoints say in their responses how many rejections per second they
// bear, from all instances together.
//
// The calls that an endpoint runs at once are divided among the instances, so that none is rejected
// while all keep to their shares. Where there are too few for that, the instances space their calls
// instead.
package room

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// rejectionRatio is the fraction of the rejections that an endpoint bears which all instances
	// together may cause.
	rejectionRatio = 0.5
	// minRest and maxRest bound the rest of an endpoint after it has rejected a call. It must be used
	// again soon after it has become sound.
	minRest = 200 * time.Millisecond
	maxRest = 5 * time.Second
	// unsettledShare is the share of an instance that may not know the others yet.
	unsettledShare = 1
	// minSharesPerInstance is how many slots of a service each instance must have on average for fixed
	// shares.
	minSharesPerInstance = 2
	// spacedLoad is the fraction of the slots that spaced calls take on average. They coincide at
	// random, so that some would be rejected well below all slots.
	spacedLoad = 0.25
)

// Allowance limits the calls of this instance to an endpoint.
type Allowance struct {
	// InFlight is the number of calls that may be in flight.
	InFlight int
	// Spacing is the least time between the starts of two calls as a multiple of the duration of a
	// call; 0 for none.
	Spacing float64
}

// Group is the instances that share the endpoints.
type Group interface {
	// Self returns the name of this instance.
	Self() string
	// Others returns the names of the other instances that have calls in flight, including those that
	// are leaving.
	Others() []string
	// Settled reports whether this instance has run long enough to know the others.
	Settled() bool
}

// Table holds what endpoints say and the shares of this instance. It is safe for concurrent use.
type Table struct {
	group Group
	clock clockwork.Clock
	log   *logrus.Entry
	// count is the number of brittle endpoints. It makes lookups cheap while there are none.
	count atomic.Int64

	mu sync.Mutex
	// services contains the brittle endpoints of each service and how many rejections per second each
	// bears.
	services map[string]map[string]int
	// members are the sorted names of all instances; ranks caches the rank of this one by endpoint.
	members []string
	ranks   map[string]int
}

// NewTable returns a table without brittle endpoints.
func NewTable(group Group, clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{group: group, clock: clock, log: log, services: map[string]map[string]int{}, members: []string{group.Self()}, ranks: map[string]int{}}
}

// SetBrittle records that an endpoint bears a number of rejections per second.
func (t *Table) SetBrittle(service, endpoint string, bears int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		t.services[service] = map[string]int{}
	}
	before, known := t.services[service][endpoint]
	t.services[service][endpoint] = bears
	if !known {
		t.count.Add(1)
	}
	if !known || before != bears {
		t.log.WithFields(logrus.Fields{"event": "endpoint_brittle", "endpoint": endpoint, "brittle": true, "bears": bears}).Info()
	}
}

// SetSound records that an endpoint responded without saying that it is brittle.
func (t *Table) SetSound(service, endpoint string) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.services[service][endpoint]; known {
		t.remove(service, endpoint)
		t.log.WithFields(logrus.Fields{"event": "endpoint_brittle", "endpoint": endpoint, "brittle": false}).Info()
	}
}

func (t *Table) remove(service, endpoint string) {
	delete(t.services[service], endpoint)
	if len(t.services[service]) == 0 {
		delete(t.services, service)
	}
	t.count.Add(-1)
}

// Count returns the number of brittle endpoints.
func (t *Table) Count() int { return int(t.count.Load()) }

// Limits reports whether the calls to the endpoints of a service are limited. If one endpoint of a
// service is brittle, the others are taken to be so too, before they have said it.
func (t *Table) Limits(service string) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.services[service]) > 0
}

// Allowance returns the limits of the calls to an endpoint with the given number of slots, of which
// the endpoints of its service have total. The allowances of all instances add up to the slots.
func (t *Table) Allowance(endpoint string, slots, total int) Allowance {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.members)
	switch {
	case !t.group.Settled():
		return Allowance{InFlight: unsettledShare}
	case slots < n && total < minSharesPerInstance*n:
		return t.spaced(slots)
	}
	share := slots / n
	if t.rank(endpoint) < slots%n {
		share++
	}
	return Allowance{InFlight: share}
}

// SpacedAllowance returns the limits of the calls to an endpoint for an instance that has a share of
// no endpoint of the service, as rendezvous hashing may leave it.
func (t *Table) SpacedAllowance(slots int) Allowance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spaced(slots)
}

func (t *Table) spaced(slots int) Allowance {
	return Allowance{InFlight: 1, Spacing: float64(len(t.members)) / (spacedLoad * float64(slots))}
}

// rank returns the rank of this instance for an endpoint by rendezvous hashing.
func (t *Table) rank(endpoint string) int {
	if rank, cached := t.ranks[endpoint]; cached {
		return rank
	}
	weight := func(name string) uint64 { return xxhash.Sum64String("room/" + endpoint + "/" + name) }
	self := t.group.Self()
	own, rank := weight(self), 0
	for _, name := range t.members {
		if name != self && cmp.Or(cmp.Compare(weight(name), own), cmp.Compare(name, self)) > 0 {
			rank++
		}
	}
	t.ranks[endpoint] = rank
	return rank
}

// bears returns how many rejections per second an endpoint bears. One that has not said so bears as
// many as the least of its service.
func (t *Table) bears(service, endpoint string) int {
	if bears, known := t.services[service][endpoint]; known {
		return bears
	}
	if len(t.services[service]) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(t.services[service])))
}

// Rest returns how long an endpoint that has rejected a call of this instance should get no others,
// so that all instances together cause fewer rejections than it bears.
func (t *Table) Rest(service, endpoint string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := rejectionRatio * float64(max(1, t.bears(service, endpoint))) / float64(len(t.members))
	rest := time.Duration(float64(time.Second) / perSecond)
	return max(minRest, min(rest, maxRest))
}

// Sweep updates the members and forgets endpoints that no longer exist. It is called once per second.
func (t *Table) Sweep(exists func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := append([]string{t.group.Self()}, t.group.Others()...)
	slices.Sort(members)
	if members = slices.Compact(members); !slices.Equal(members, t.members) {
		t.members, t.ranks = members, map[string]int{}
	}
	for service, endpoints := range t.services {
		for endpoint := range endpoints {
			if !exists(endpoint) {
				t.remove(service, endpoint)
			}
		}
	}
	maps.DeleteFunc(t.ranks, func(endpoint string, _ int) bool { return !exists(endpoint) })
}
