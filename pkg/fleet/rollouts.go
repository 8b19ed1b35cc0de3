package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Rollout is an order to move the traffic of a service to the endpoints of another version.
type Rollout struct {
	Service string `json:"service"`
	// Version is the target version.
	Version string `json:"version"`
	// OverMs is the duration of the rollout in milliseconds.
	OverMs int64 `json:"over_ms"`
	// Revision identifies the order at this instance. An identical order that is given again has a new
	// revision, unless a restored source shows it again.
	Revision revision.Revision `json:"revision"`
	// At is the revision under which the source lists the order, the same at all instances, or 0 if it
	// equals Revision.
	At revision.Revision `json:"at,omitempty"`
}

// ListedAt returns the revision under which the source lists the order.
func (r Rollout) ListedAt() revision.Revision {
	if r.At > 0 {
		return r.At
	}
	return r.Revision
}

// identifiedBy returns the order under the revision by which it is already known: the source lists it
// as before, or was restored and shows it again.
func (r Rollout) identifiedBy(known Rollouts) Rollout {
	k, ok := known.ForService(r.Service)
	if !ok || k.Version != r.Version || k.OverMs != r.OverMs || k.Revision >= r.Revision {
		return r
	}
	if at := r.ListedAt(); k.ListedAt() == at || k.ListedAt().Era() < at.Era() {
		r.Revision, r.At = k.Revision, at
	}
	return r
}

// RolloutOrder is a rollout, or the end of one.
type RolloutOrder struct {
	Rollout
	Ended bool
	// Refused is the reason why the order is invalid. It is then ignored.
	Refused string
}

// Rollouts contains the orders in force, at most one per service, as of a revision of the source.
// It is always sent as a whole, and the one with the higher revision wins. In the zero value, with
// revision 0, the rollouts are unknown. It is immutable.
type Rollouts struct {
	Revision revision.Revision `json:"revision"`
	// Orders is sorted by service.
	Orders []Rollout `json:"orders,omitempty"`
	// Retained contains orders that were in force before the source was restored from a copy that lacks
	// them, sorted by service. They remain in force until they are written again or the new era is
	// settled.
	Retained []Rollout `json:"retained,omitempty"`
}

// Known reports whether the rollouts are known.
func (r Rollouts) Known() bool { return r.Revision > 0 }

// ForService returns the order for a service, if any.
func (r Rollouts) ForService(service string) (Rollout, bool) {
	if at, found := r.find(service); found {
		return r.Orders[at], true
	}
	for _, order := range r.Retained {
		if order.Service == service {
			return order, true
		}
	}
	return Rollout{}, false
}

// InForce returns all orders in force.
func (r Rollouts) InForce() []Rollout { return slices.Concat(r.Orders, r.Retained) }

// Same reports whether the same orders are in force, regardless of the revisions.
func (r Rollouts) Same(other Rollouts) bool {
	return slices.Equal(r.Orders, other.Orders) && slices.Equal(r.Retained, other.Retained)
}

// identifiedBy returns the rollouts with the orders under the revisions by which they are known.
func (r Rollouts) identifiedBy(known Rollouts) Rollouts {
	r.Orders = slices.Clone(r.Orders)
	for i, order := range r.Orders {
		r.Orders[i] = order.identifiedBy(known)
	}
	return r
}

// after returns the rollouts as they follow the known ones, which keep in force what a restored source
// lacks.
func (r Rollouts) after(known Rollouts) Rollouts {
	before := knownOrders[Rollout]{known.Revision, known.InForce(), known.Retained}
	r.Retained = before.retain(r.Revision, r.Retained, func(o Rollout) bool {
		_, listed := r.find(o.Service)
		return listed
	})
	return r.identifiedBy(known)
}

// With returns the rollouts as of a revision after the orders are applied in sequence.
func (r Rollouts) With(at revision.Revision, given []RolloutOrder) Rollouts {
	after := Rollouts{Revision: at, Orders: r.Orders}
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

// Exposure is the amount of its service's traffic that the target version of a rollout gets.
type Exposure int

// Values of Exposure. Withheld is the default for an instance that has just started, since others
// may already know that the version is bad.
const (
	// Withheld means no traffic until the state of the rollout is known.
	Withheld Exposure = iota
	// Tried means a share of the requests.
	Tried
	// Proven means all traffic.
	Proven
	// Refuted means no traffic while the order is in force, even if no other version is left.
	Refuted
)

// String returns the name of the exposure.
func (e Exposure) String() string {
	words := [...]string{"withheld", "tried", "proven", "refuted"}
	if e < 0 || int(e) >= len(words) {
		return "unknown"
	}
	return words[e]
}

// RolloutState is the state of a rollout.
type RolloutState struct {
	Exposure Exposure
	// Share is the fraction of the requests that a tried version gets, from 0 to 1.
	Share float64
}

// RolloutStates contains the state of rollouts by the revision of their order. It must not be modified.
type RolloutStates map[revision.Revision]RolloutState

// Trial describes the traffic of a version that is being tried.
type Trial struct {
	// Order is the revision under which the source lists the order.
	Order revision.Revision
	// Share is the fraction of the requests, from 0 to 1.
	Share float64
	// Endpoints contains the endpoints that get these requests, sorted by ID. Their number is
	// chosen so that each gets the same load as the endpoints of other versions, since some faults
	// only appear under load.
	Endpoints []Endpoint
}

// Includes reports whether a request belongs to the trial. The result is the same on all instances and
// for retries, so that the share also holds for instances with few requests.
func (t Trial) Includes(request string) bool {
	if len(t.Endpoints) == 0 {
		return false
	}
	return float64(hashOrder(t.Order, request)) < t.Share*math.MaxUint64
}

// hashOrder returns a hash of a text and an order, which is the same on all instances.
func hashOrder(order revision.Revision, text string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(order), 10) + "/" + text)
}
