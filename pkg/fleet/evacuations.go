package fleet

import (
	"slices"
)

// Evacuations are the failure domains whose endpoints operators want to get no new work, as of a
// revision of the source. The record is small and is always told whole: of two, the one of the
// greater revision holds, so that an order is taken back as reliably as it is given. The zero value, of
// revision 0, says that none is known. It is immutable.
type Evacuations struct {
	Revision uint64 `json:"revision"`
	// Domains are sorted.
	Domains []string `json:"domains,omitempty"`
}

// Evacuation is an order to evacuate a failure domain, or its end.
type Evacuation struct {
	Domain string
	Ended  bool
}

// Known tells whether the source's orders are known.
func (e Evacuations) Known() bool { return e.Revision > 0 }

// Has tells whether a failure domain is evacuated.
func (e Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(e.Domains, domain)
	return found
}

// Same tells whether the same failure domains are evacuated, whatever the revisions.
func (e Evacuations) Same(other Evacuations) bool { return slices.Equal(e.Domains, other.Domains) }

// With returns the evacuations after orders, in the order in which they were given, as of a revision.
// Orders that say nothing new change nothing; one that names no failure domain says nothing.
func (e Evacuations) With(revision uint64, orders []Evacuation) Evacuations {
	after := Evacuations{Revision: revision, Domains: e.Domains}
	for _, order := range orders {
		if order.Domain == "" || after.Has(order.Domain) == !order.Ended {
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

// Changed returns the failure domains that are evacuated now and were not before, and those that
// have returned.
func (e Evacuations) Changed(before Evacuations) (evacuated, returned []string) {
	for _, domain := range e.Domains {
		if !before.Has(domain) {
			evacuated = append(evacuated, domain)
		}
	}
	for _, domain := range before.Domains {
		if !e.Has(domain) {
			returned = append(returned, domain)
		}
	}
	return evacuated, returned
}
