package balance

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// averages holds the mean latency and engine slowness over the endpoints of a service, and its
// prefill model.
type averages struct {
	latency  time.Duration
	slowness float64
	model    *prefillModel
}

// averages returns the means over the called endpoints, weighted by the age of their samples.
// Without the weights, an old sample of an endpoint would pull the mean towards itself, most of
// all with few endpoints, and delay its next use.
func (b *Balancer) averages(now time.Time, candidates []fleet.Endpoint) averages {
	var latency, slowness weightedMean
	for i := range candidates {
		s := b.peek(candidates[i].ID)
		if !s.sampledAt.IsZero() {
			latency.add(float64(s.latency), s.freshness(now))
		}
		if !s.speed.sampledAt.IsZero() {
			slowness.add(s.speed.slowness, s.speed.freshness(now))
		}
	}
	model := prefillPrior
	if len(candidates) > 0 {
		model = b.modelOf(candidates[0].Service)
	}
	return averages{latency: time.Duration(latency.or(float64(initialLatency))), slowness: slowness.or(1), model: model}
}

// weightedMean is a mean of values of different weights.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, weight float64) {
	weight = max(minWeight, weight)
	m.sum += weight * value
	m.weight += weight
}

// or returns the mean, or a default if there are no values.
func (m *weightedMean) or(initial float64) float64 {
	if m.weight == 0 {
		return initial
	}
	return m.sum / m.weight
}

// minWeight keeps stale endpoints in the mean if there are no others.
const minWeight = 1e-9

// sampleHalfLife is the half-life of an endpoint's deviation from the mean, so that an endpoint
// that was slow is tried again.
const sampleHalfLife = 2 * time.Second

// latencyAt returns the latency of the endpoint, which converges to the average as its samples age.
func (s *endpointState) latencyAt(now time.Time, averages averages) time.Duration {
	if s.sampledAt.IsZero() {
		return averages.latency
	}
	return averages.latency + time.Duration(s.freshness(now)*float64(s.latency-averages.latency))
}

// freshness is the weight of the endpoint's samples: 1 when new, decaying to 0.
func (s *endpointState) freshness(now time.Time) float64 {
	return Decay(now.Sub(s.sampledAt), sampleHalfLife)
}

// Decay returns the weight of a value of an age.
func Decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
