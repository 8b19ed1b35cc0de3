package ownership

import (
	"maps"
	"slices"
)

// Regions maps failure domains to regions. Calls between regions are much slower than inside one,
// so if several regions have enough endpoints, each has its own parts. Parts are assigned to
// regions if their number is a multiple of the number of regions; part n then belongs to region n
// modulo that number, in the order of names. Immutable; the zero value has no regions.
type Regions struct {
	byDomain map[string]string
	// names has the sorted regions.
	names []string
}

// NewRegions returns the regions for a map from failure domains to regions. The map must not be
// changed afterwards.
func NewRegions(byDomain map[string]string) Regions {
	return Regions{byDomain: byDomain, names: slices.Compact(slices.Sorted(maps.Values(byDomain)))}
}

// OfDomain returns the region of a failure domain; empty if it is unknown.
func (r Regions) OfDomain(domain string) string { return r.byDomain[domain] }

// Names returns the sorted regions. The slice must not be changed.
func (r Regions) Names() []string { return r.names }

// AssignsParts reports whether the given number of parts is assigned to regions.
func (r Regions) AssignsParts(parts int) bool {
	n := len(r.names)
	return n > 1 && parts%n == 0
}

// OfPart returns the region of a part; empty if parts are not assigned to regions.
func (r Regions) OfPart(part Part) string {
	if !r.AssignsParts(part.Of) {
		return ""
	}
	return r.names[part.Number%len(r.names)]
}

// Part maps a number to one of a region's parts, in a division that is assigned to regions.
func (r Regions) Part(region string, number uint64, parts int) Part {
	at, found := slices.BinarySearch(r.names, region)
	if !found {
		at = int(number % uint64(len(r.names)))
	}
	return Part{Number: at + len(r.names)*int(number%uint64(r.PartsPerRegion(parts))), Of: parts}
}

// PartsPerRegion returns the number of parts per region, in a division that is assigned to regions.
func (r Regions) PartsPerRegion(parts int) int { return parts / len(r.names) }

// EndpointCounts has the endpoint count of the smallest service that takes pieces: in total, and by
// region.
type EndpointCounts struct {
	Total    int
	ByRegion map[string]int
}

// smallestRegion returns the count of the smallest region, or 0 if there are fewer than two regions.
func (s EndpointCounts) smallestRegion() int {
	if len(s.ByRegion) < 2 {
		return 0
	}
	least := s.Total
	for _, n := range s.ByRegion {
		least = min(least, n)
	}
	return least
}
