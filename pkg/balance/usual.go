package balance

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// usual is what calls take at the endpoints of a service, on average.
type usual struct {
	smoothed time.Duration
	slowness float64
}

// usual returns the means over the endpoints that have been called, each weighed by how lately something was learnt of it: an
// old figure must not speak against its own endpoint for good, which is the less cheap for it the fewer there are.
func (b *Balancer) usual(now time.Time, candidates []fleet.Endpoint) usual {
	weights, smoothed, slowness := 0.0, 0.0, 0.0
	for i := range candidates {
		s := b.look(candidates[i].ID)
		if s.sampled.IsZero() {
			continue
		}
		weight := max(leastWeight, s.known(now))
		weights += weight
		smoothed += weight * float64(s.smoothed)
		slowness += weight * s.slowness
	}
	if weights == 0 {
		return usual{smoothed: firstTime, slowness: 1}
	}
	return usual{smoothed: time.Duration(smoothed / weights), slowness: slowness / weights}
}

// leastWeight has endpoints count of which nothing was learnt for long where there are no others.
const leastWeight = 1e-9

// forgetting is the time in which half of what sets an endpoint apart from the others is
// forgotten, so that one that was slow is tried again.
const forgetting = 2 * time.Second

// at returns the smoothed time and slowness, moved towards the usual ones by the time
// since something was learnt.
func (s *seen) at(now time.Time, u usual) (time.Duration, float64) {
	if s.sampled.IsZero() {
		return u.smoothed, u.slowness
	}
	known := s.known(now)
	smoothed := u.smoothed + time.Duration(known*float64(s.smoothed-u.smoothed))
	return smoothed, u.slowness + known*(s.slowness-u.slowness)
}

// known is the part of what was learnt that is not forgotten.
func (s *seen) known(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.sampled)) / float64(forgetting))
}
