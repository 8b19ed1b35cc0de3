package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// partEndpoints returns the endpoints in the queue's partition.
func (q Queue) partEndpoints(ready []fleet.Endpoint, regions ownership.Regions) []fleet.Endpoint {
	if q.Parts <= 1 {
		return ready
	}
	var own []fleet.Endpoint
	forEachPart(ready, q.Parts, regions, func(e fleet.Endpoint, part int) {
		if part == q.Part {
			own = append(own, e)
		}
	})
	return own
}

// forEachPart assigns endpoints to partitions, per region if the partitions are split by region.
func forEachPart(ready []fleet.Endpoint, parts int, regions ownership.Regions, do func(e fleet.Endpoint, part int)) {
	if !regions.AssignsParts(parts) {
		forEachEqualPart(ready, parts, do)
		return
	}
	byRegion := map[string][]fleet.Endpoint{}
	for _, e := range ready {
		// Endpoints of unknown region are spread over all regions by hash.
		region := regions.OfPart(regions.Part(regions.OfDomain(e.FailureDomain), xxhash.Sum64String(e.ID), parts))
		byRegion[region] = append(byRegion[region], e)
	}
	for region, endpoints := range byRegion {
		forEachEqualPart(endpoints, regions.PartsPerRegion(parts), func(e fleet.Endpoint, number int) {
			do(e, regions.Part(region, uint64(number), parts).Number)
		})
	}
}

// forEachEqualPart assigns endpoints to partitions of equal size by rendezvous hashing. It also
// spreads each failure domain evenly, so that results can be read in the domain where they were
// made. Few endpoints change partition when one is added or removed.
func forEachEqualPart(ready []fleet.Endpoint, parts int, do func(e fleet.Endpoint, part int)) {
	domains := map[string]int{}
	for _, e := range ready {
		domains[e.FailureDomain]++
	}
	p := &partitioner{parts: parts, maxEndpoints: ceilDiv(len(ready), parts), counts: make([]int, parts), domainCounts: map[domainPart]int{}}
	for _, e := range sortedByHash(ready) {
		do(e, p.assign(e, ceilDiv(domains[e.FailureDomain], parts)))
	}
}

// sameSlice reports whether two slices share their backing array and length. Fleet snapshots are
// immutable, so such slices have equal contents.
func sameSlice(a, b []fleet.Endpoint) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func ceilDiv(n, of int) int { return (n + of - 1) / of }

// domainPart is a failure domain and a partition.
type domainPart struct {
	domain string
	part   int
}

// partitioner counts the endpoints assigned to each partition.
type partitioner struct {
	parts        int
	maxEndpoints int
	counts       []int
	domainCounts map[domainPart]int
}

// assign assigns an endpoint to a partition that is not full, preferring one that is not full for
// the endpoint's failure domain.
func (p *partitioner) assign(e fleet.Endpoint, maxOfDomain int) int {
	hasCapacity := func(part int) bool { return p.counts[part] < p.maxEndpoints }
	hasDomainCapacity := func(part int) bool {
		return hasCapacity(part) && p.domainCounts[domainPart{e.FailureDomain, part}] < maxOfDomain
	}
	part, found := highestWeightPart(e.ID, p.parts, hasDomainCapacity)
	if !found {
		part, _ = highestWeightPart(e.ID, p.parts, hasCapacity)
	}
	p.counts[part]++
	p.domainCounts[domainPart{e.FailureDomain, part}]++
	return part
}

func sortedByHash(ready []fleet.Endpoint) []fleet.Endpoint {
	sorted := slices.Clone(ready)
	slices.SortFunc(sorted, func(a, b fleet.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return sorted
}

// highestWeightPart returns the eligible partition with the highest rendezvous weight for an
// endpoint.
func highestWeightPart(id string, parts int, eligible func(part int) bool) (best int, found bool) {
	most := uint64(0)
	for part := range parts {
		weight := xxhash.Sum64String(id + "/" + strconv.Itoa(part))
		if eligible(part) && (!found || weight > most) {
			best, most, found = part, weight, true
		}
	}
	return best, found
}
