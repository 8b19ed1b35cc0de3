package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rollout is an operator's order to move the traffic of a service to the endpoints of a version, which are
// started beside the others.
type Rollout struct {
	Service string `json:"service"`
	// Version is the software version that the traffic is moved to.
	Version string `json:"version"`
	// OverMs is the time in which that is to be done, in milliseconds.
	OverMs int64 `json:"over_ms"`
	// Revision is that of the order. One that is given again, with the same words, is another order.
	Revision uint64 `json:"revision"`
}

// RolloutOrder is an order, or its end.
type RolloutOrder struct {
	Rollout
	Ended bool
	// Refused says why what was written is no order; it changes nothing then.
	Refused string
}

// Rollouts are the orders in force, one a service, as of a revision of the source. The record is always told
// whole: of two, the one of the greater revision holds. The zero value, of revision 0, says that none is known. It
// is immutable.
type Rollouts struct {
	Revision uint64 `json:"revision"`
	// Orders are sorted by service.
	Orders []Rollout `json:"orders,omitempty"`
}

// Known tells whether the source's orders are known.
func (r Rollouts) Known() bool { return r.Revision > 0 }

// Of returns the order for a service, if there is one.
func (r Rollouts) Of(service string) (Rollout, bool) {
	at, found := r.find(service)
	if !found {
		return Rollout{}, false
	}
	return r.Orders[at], true
}

// Same tells whether the same orders are in force, whatever the revisions.
func (r Rollouts) Same(other Rollouts) bool { return slices.Equal(r.Orders, other.Orders) }

// With returns the orders that hold after some were given, in that order, as of a revision.
func (r Rollouts) With(revision uint64, given []RolloutOrder) Rollouts {
	after := Rollouts{Revision: revision, Orders: r.Orders}
	for _, order := range given {
		if order.Refused == "" {
			after.Orders = after.with(order)
		}
	}
	return after
}

func (r Rollouts) with(order RolloutOrder) []Rollout {
	at, found := r.find(order.Service)
	orders := slices.Clone(r.Orders)
	switch {
	case order.Ended && found:
		return slices.Delete(orders, at, at+1)
	case order.Ended:
		return orders
	case found:
		orders[at] = order.Rollout
		return orders
	}
	return slices.Insert(orders, at, order.Rollout)
}

func (r Rollouts) find(service string) (int, bool) {
	return slices.BinarySearchFunc(r.Orders, service, func(o Rollout, name string) int { return cmp.Compare(o.Service, name) })
}

// Exposure is how much of its service's traffic the version of a rollout gets.
type Exposure int

// The exposures. What an instance doesn't know of a rollout counts as Withheld: it may have just started, while
// the others know that the version is bad.
const (
	// Withheld: nothing, until more is known.
	Withheld Exposure = iota
	// Tried: a share of the requests.
	Tried
	// Proven: all.
	Proven
	// Refuted: nothing for as long as the order stands, not even where no other version is left.
	Refuted
)

// String is the exposure in a word.
func (e Exposure) String() string {
	words := [...]string{"withheld", "tried", "proven", "refuted"}
	if e < 0 || int(e) >= len(words) {
		return "unknown"
	}
	return words[e]
}

// Standing is how a rollout stands.
type Standing struct {
	Exposure Exposure
	// Share is the part of the requests that are tried; 0 to 1.
	Share float64
}

// Standings are how rollouts stand, by the revision of their order. The map must not be changed.
type Standings map[uint64]Standing

// Trial is what a version that is tried gets.
type Trial struct {
	// Order is the revision of the order.
	Order uint64
	// Share is the part of the requests; 0 to 1.
	Share float64
	// Endpoints are those that get them: as many as make the load of each that of the others, since some versions
	// are bad under load alone. Sorted by ID.
	Endpoints []Endpoint
}

// Takes tells whether a request is of the share: the same at all instances, so that the shares of instances that see
// few requests each sum up to it, and a request that is sent once more is not drawn once more.
func (t Trial) Takes(request string) bool {
	if len(t.Endpoints) == 0 {
		return false
	}
	return float64(draw(t.Order, request)) < t.Share*math.MaxUint64
}

// draw is a random number that belongs to a text and an order: the same at all instances.
func draw(order uint64, text string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(order, 10) + "/" + text)
}
