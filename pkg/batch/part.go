package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// endpoints returns those of the queue's part.
func (q Queue) endpoints(ready []fleet.Endpoint, regions ownership.Regions) []fleet.Endpoint {
	if q.Parts <= 1 {
		return ready
	}
	var own []fleet.Endpoint
	eachPart(ready, q.Parts, regions, func(e fleet.Endpoint, part int) {
		if part == q.Part {
			own = append(own, e)
		}
	})
	return own
}

// eachPart cuts endpoints into parts, those of each region by themselves if the parts are cut by region.
func eachPart(ready []fleet.Endpoint, parts int, regions ownership.Regions, do func(e fleet.Endpoint, part int)) {
	if !regions.AssignsParts(parts) {
		eachEqualPart(ready, parts, do)
		return
	}
	inside := map[string][]fleet.Endpoint{}
	for _, e := range ready {
		// One whose region is not known falls to any.
		region := regions.OfPart(regions.Part(regions.OfDomain(e.FailureDomain), xxhash.Sum64String(e.ID), parts))
		inside[region] = append(inside[region], e)
	}
	for region, endpoints := range inside {
		eachEqualPart(endpoints, regions.PartsPerRegion(parts), func(e fleet.Endpoint, number int) {
			do(e, regions.Part(region, uint64(number), parts).Number)
		})
	}
}

// eachEqualPart cuts endpoints into equal parts: by rendezvous hashing, but at most an equal share for
// each part, of all endpoints and of each failure domain's, so that results can be read where they
// were made; and few endpoints change their part when one comes or goes.
func eachEqualPart(ready []fleet.Endpoint, parts int, do func(e fleet.Endpoint, part int)) {
	domains := map[string]int{}
	for _, e := range ready {
		domains[e.FailureDomain]++
	}
	cut := &cutting{of: parts, share: share(len(ready), parts), taken: make([]int, parts), domains: map[domainPart]int{}}
	for _, e := range byHash(ready) {
		do(e, cut.choose(e, share(domains[e.FailureDomain], parts)))
	}
}

// sameSlice tells whether two slices are one. Snapshots of the fleet are immutable, so that the
// same slice has the same endpoints.
func sameSlice(a, b []fleet.Endpoint) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// share is an equal share of n, rounded up.
func share(n, of int) int { return (n + of - 1) / of }

// domainPart is a part of a failure domain's endpoints.
type domainPart struct {
	domain string
	part   int
}

// cutting counts what the parts have been given.
type cutting struct {
	of      int
	share   int
	taken   []int
	domains map[domainPart]int
}

// choose gives an endpoint to a part that has less than its share, of its failure domain's
// endpoints too if there is one.
func (c *cutting) choose(e fleet.Endpoint, ofDomain int) int {
	open := func(part int) bool { return c.taken[part] < c.share }
	openHere := func(part int) bool {
		return open(part) && c.domains[domainPart{e.FailureDomain, part}] < ofDomain
	}
	part, found := bestPart(e.ID, c.of, openHere)
	if !found {
		part, _ = bestPart(e.ID, c.of, open)
	}
	c.taken[part]++
	c.domains[domainPart{e.FailureDomain, part}]++
	return part
}

func byHash(ready []fleet.Endpoint) []fleet.Endpoint {
	sorted := slices.Clone(ready)
	slices.SortFunc(sorted, func(a, b fleet.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return sorted
}

// bestPart returns the open part with the greatest weight for an endpoint, if one is open.
func bestPart(id string, parts int, open func(part int) bool) (best int, found bool) {
	most := uint64(0)
	for part := range parts {
		weight := xxhash.Sum64String(id + "/" + strconv.Itoa(part))
		if open(part) && (!found || weight > most) {
			best, most, found = part, weight, true
		}
	}
	return best, found
}
