package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// apart returns the endpoint of a call that may end it, or nil if the call is any other: of those with
// the fewest calls of this instance, which would be cut off with it, the first by rendezvous hashing. So
// two such calls that met once go to different endpoints, and it shows which of them was the cause: the
// usual choice sends both to the endpoint that is best for both.
func (b *Balancer) apart(now time.Time, candidates []fleet.Endpoint, need Need) *fleet.Endpoint {
	if need.Apart == "" {
		return nil
	}
	var best *fleet.Endpoint
	var fewest int
	var most uint64
	for i := range candidates {
		e := &candidates[i]
		s := b.look(e.ID)
		if need.Exclude[e.ID] || now.Before(s.outUntil) {
			continue
		}
		weight := xxhash.Sum64String(need.Apart + "/" + e.ID)
		if best == nil || len(s.calls) < fewest || len(s.calls) == fewest && weight > most {
			best, fewest, most = e, len(s.calls), weight
		}
	}
	return best
}
