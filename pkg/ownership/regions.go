package ownership

import (
	"maps"
	"slices"
)

// Regions has the region of each failure domain. Between regions a call takes many times as long as inside one, and
// each stage of a request is called, and reads what the stage before has made: so where there are several regions with
// endpoints enough, each has parts of its own. Parts are cut by region if their number is a multiple of the
// regions' number, and then part n is of region n modulo that, in the order of names: all instances know so alike.
// The zero value has none. It is immutable.
type Regions struct {
	of map[string]string
	// names are the regions, sorted.
	names []string
}

// NewRegions returns the regions of failure domains. The map must not be changed afterwards.
func NewRegions(of map[string]string) Regions {
	return Regions{of: of, names: slices.Compact(slices.Sorted(maps.Values(of)))}
}

// In is the region of a failure domain; empty if it is not known.
func (r Regions) In(domain string) string { return r.of[domain] }

// Names are the regions, sorted. They must not be changed.
func (r Regions) Names() []string { return r.names }

// Cut tells whether so many parts are cut by region.
func (r Regions) Cut(parts int) bool {
	n := len(r.names)
	return n > 1 && parts%n == 0
}

// Of is the region of a part; empty if parts are not cut by region.
func (r Regions) Of(part Part) string {
	if !r.Cut(part.Of) {
		return ""
	}
	return r.names[part.Number%len(r.names)]
}

// Part is the part of a region that a number falls to, of so many that are cut by region.
func (r Regions) Part(region string, number uint64, parts int) Part {
	at, found := slices.BinarySearch(r.names, region)
	if !found {
		at = int(number % uint64(len(r.names)))
	}
	return Part{Number: at + len(r.names)*int(number%uint64(r.Each(parts))), Of: parts}
}

// Each is how many parts a region has, of so many that are cut by region.
func (r Regions) Each(parts int) int { return parts / len(r.names) }

// Supply is how many endpoints the least service has that takes pieces: of all, and of each region's.
type Supply struct {
	All     int
	Regions map[string]int
}

// least is how many the region has that has the fewest; 0 if there is one region only.
func (s Supply) least() int {
	if len(s.Regions) < 2 {
		return 0
	}
	least := s.All
	for _, n := range s.Regions {
		least = min(least, n)
	}
	return least
}
