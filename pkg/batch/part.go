package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// endpoints returns those of the queue's part: by rendezvous hashing, but at most an equal
// share for each part, so that few endpoints change their part when one comes or goes.
func (q Queue) endpoints(ready []fleet.Endpoint) []fleet.Endpoint {
	if q.Parts <= 1 {
		return ready
	}
	share := (len(ready) + q.Parts - 1) / q.Parts
	taken := make([]int, q.Parts)
	var own []fleet.Endpoint
	for _, e := range byHash(ready) {
		part := bestPart(e.ID, q.Parts, func(part int) bool { return taken[part] < share })
		taken[part]++
		if part == q.Part {
			own = append(own, e)
		}
	}
	return own
}

func byHash(ready []fleet.Endpoint) []fleet.Endpoint {
	sorted := slices.Clone(ready)
	slices.SortFunc(sorted, func(a, b fleet.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return sorted
}

// bestPart returns the open part with the greatest weight for an endpoint.
func bestPart(id string, parts int, open func(part int) bool) int {
	best, most := 0, uint64(0)
	for part := range parts {
		weight := xxhash.Sum64String(id + "/" + strconv.Itoa(part))
		if open(part) && weight >= most {
			best, most = part, weight
		}
	}
	return best
}
