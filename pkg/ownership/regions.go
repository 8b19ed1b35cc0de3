package ownership

import (
	"maps"
	"slices"
)

// Regions has the region of each failure domain. Between regions a call takes many times as long as inside one, and
// each stage of a request is called, and reads what the stage before has made: so where there are several regions with
// endpoints enough, each has parts of its own. Parts are cut by region if their number is a multiple of the
// regions' number, and then part n is of region n modulo that, in the order of names: all instances know so alike.
type Regions map[string]string

// names are the regions, sorted.
func (r Regions) names() []string {
	return slices.Compact(slices.Sorted(maps.Values(r)))
}

// Cut tells whether so many parts are cut by region.
func (r Regions) Cut(parts int) bool {
	n := len(r.names())
	return n > 1 && parts%n == 0
}

// Of is the region of a part; empty if parts are not cut by region.
func (r Regions) Of(part Part) string {
	if !r.Cut(part.Of) {
		return ""
	}
	names := r.names()
	return names[part.Number%len(names)]
}

// Part is the part of a region that a number falls to, of so many that are cut by region.
func (r Regions) Part(region string, number uint64, parts int) Part {
	names := r.names()
	at, found := slices.BinarySearch(names, region)
	if !found {
		at = int(number % uint64(len(names)))
	}
	return Part{Number: at + len(names)*int(number%uint64(r.Each(parts))), Of: parts}
}

// Each is how many parts a region has, of so many that are cut by region.
func (r Regions) Each(parts int) int { return parts / len(r.names()) }

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
