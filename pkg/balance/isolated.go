package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// isolated selects the endpoint for a call that may crash it, or returns nil if the call has no
// isolation key. It picks an endpoint with the fewest calls of this instance, which would fail
// together with it, and breaks ties by rendezvous hashing of the key. Two suspect calls that
// failed on the same endpoint are thus separated, which shows which of them caused the crash; the
// usual selection would send both to the same endpoint again.
func (b *Balancer) isolated(now time.Time, candidates []fleet.Endpoint, spec CallSpec) *fleet.Endpoint {
	if spec.IsolationKey == "" {
		return nil
	}
	var best *fleet.Endpoint
	var fewest int
	var highest uint64
	for i := range candidates {
		e := &candidates[i]
		s := b.peek(e.ID)
		if spec.Exclude[e.ID] || now.Before(s.ejectedUntil) {
			continue
		}
		weight := xxhash.Sum64String(spec.IsolationKey + "/" + e.ID)
		if best == nil || len(s.calls) < fewest || len(s.calls) == fewest && weight > highest {
			best, fewest, highest = e, len(s.calls), weight
		}
	}
	return best
}
