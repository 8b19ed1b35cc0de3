package fleet

import (
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Evacuations contains the evacuated failure domains as of a revision of the source. It is always
// sent as a whole, and the one with the higher revision wins, so that withdrawals propagate as
// reliably as orders. In the zero value, with revision 0, the evacuations are unknown. It is
// immutable.
type Evacuations struct {
	Revision revision.Revision `json:"revision"`
	// Domains is sorted.
	Domains []string `json:"domains,omitempty"`
	// Retained contains, sorted, domains that were evacuated before the source was restored from a copy
	// that lacks their orders. They remain evacuated until the orders are written again or the new era
	// is settled.
	Retained []string `json:"retained,omitempty"`
}

// Evacuation is an order to evacuate a failure domain, or the end of one.
type Evacuation struct {
	Domain string
	Ended  bool
}

// Known reports whether the evacuations are known.
func (e Evacuations) Known() bool { return e.Revision > 0 }

// Has reports whether a failure domain is evacuated.
func (e Evacuations) Has(domain string) bool {
	return contains(e.Domains, domain) || contains(e.Retained, domain)
}

func contains(domains []string, domain string) bool {
	_, found := slices.BinarySearch(domains, domain)
	return found
}

// All returns all evacuated failure domains, sorted.
func (e Evacuations) All() []string {
	all := e.Domains
	for _, domain := range e.Retained {
		all = with(all, domain)
	}
	return all
}

// after returns the evacuations as they follow the known ones, which keep in force what a restored
// source lacks.
func (e Evacuations) after(known Evacuations) Evacuations {
	before := knownOrders[string]{known.Revision, known.All(), known.Retained}
	e.Retained = before.retain(e.Revision, e.Retained, func(d string) bool { return contains(e.Domains, d) })
	return e
}

// Same reports whether the source lists the same failure domains, regardless of the revisions.
func (e Evacuations) Same(other Evacuations) bool { return slices.Equal(e.Domains, other.Domains) }

// With returns the evacuations as of a revision after the orders are applied in sequence. Redundant
// orders and orders without a failure domain have no effect.
func (e Evacuations) With(at revision.Revision, orders []Evacuation) Evacuations {
	after := Evacuations{Revision: at, Domains: e.Domains}
	for _, order := range orders {
		if order.Domain == "" || contains(after.Domains, order.Domain) == !order.Ended {
			continue
		}
		if order.Ended {
			after.Domains = without(after.Domains, order.Domain)
			continue
		}
		after.Domains = with(after.Domains, order.Domain)
	}
	return after
}

func with(domains []string, domain string) []string {
	grown := append(slices.Clone(domains), domain)
	slices.Sort(grown)
	return grown
}

func without(domains []string, domain string) []string {
	return slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == domain })
}

// Changed returns the failure domains that were evacuated since before and those that were
// restored.
func (e Evacuations) Changed(before Evacuations) (evacuated, returned []string) {
	for _, domain := range e.All() {
		if !before.Has(domain) {
			evacuated = append(evacuated, domain)
		}
	}
	for _, domain := range before.All() {
		if !e.Has(domain) {
			returned = append(returned, domain)
		}
	}
	return evacuated, returned
}
