package balance

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// averages holds the mean latency and slowness over the endpoints of a service.
type averages struct {
	latency  time.Duration
	slowness float64
}

// averages returns the means over the called endpoints, weighted by the age of their samples.
// Without the weights, an old sample of an endpoint would pull the mean towards itself, most of
// all with few endpoints, and delay its next use.
func (b *Balancer) averages(now time.Time, candidates []fleet.Endpoint) averages {
	totalWeight, latency, slowness := 0.0, 0.0, 0.0
	for i := range candidates {
		s := b.peek(candidates[i].ID)
		if s.sampledAt.IsZero() {
			continue
		}
		weight := max(minWeight, s.freshness(now))
		totalWeight += weight
		latency += weight * float64(s.latency)
		slowness += weight * s.slowness
	}
	if totalWeight == 0 {
		return averages{latency: initialLatency, slowness: 1}
	}
	return averages{latency: time.Duration(latency / totalWeight), slowness: slowness / totalWeight}
}

// minWeight keeps stale endpoints in the mean if there are no others.
const minWeight = 1e-9

// sampleHalfLife is the half-life of an endpoint's deviation from the mean, so that an endpoint
// that was slow is tried again.
const sampleHalfLife = 2 * time.Second

// at returns the latency and slowness of the endpoint, which converge to the averages as its
// samples age.
func (s *endpointState) at(now time.Time, averages averages) (time.Duration, float64) {
	if s.sampledAt.IsZero() {
		return averages.latency, averages.slowness
	}
	freshness := s.freshness(now)
	latency := averages.latency + time.Duration(freshness*float64(s.latency-averages.latency))
	return latency, averages.slowness + freshness*(s.slowness-averages.slowness)
}

// freshness is the weight of the endpoint's samples: 1 when new, decaying to 0.
func (s *endpointState) freshness(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.sampledAt)) / float64(sampleHalfLife))
}
