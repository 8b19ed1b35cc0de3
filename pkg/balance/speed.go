package balance

import "time"

const (
	// minPrefillSample is the shortest prefill time that updates the slowness.
	minPrefillSample = 20 * time.Millisecond
	minSlowness      = 0.5
	maxSlowness      = 20
	// speedHalfLife is the half-life of an engine's deviation from the mean speed. An instance calls
	// one engine of many once in 22 to 35 s.
	speedHalfLife = 30 * time.Second
)

// engineSpeed is the speed of an engine apart from the interference that it reports, which changes
// within a second.
type engineSpeed struct {
	// slowness is the smoothed time of the engine relative to the model of its service.
	slowness float64
	// halfLife is that of the deviation of slowness from the mean.
	halfLife time.Duration
	// sampledAt is when slowness was last updated; zero if never.
	sampledAt time.Time
}

// add adds a sample of the slowness. The sample takes at least the weight that older samples have
// lost.
func (e *engineSpeed) add(now time.Time, sample float64, halfLife time.Duration) {
	weight := max(sampleWeight, 1-e.freshness(now))
	e.slowness += weight * (min(maxSlowness, max(minSlowness, sample)) - e.slowness)
	e.halfLife, e.sampledAt = halfLife, now
}

// at returns the slowness, which converges to the mean as the samples age.
func (e *engineSpeed) at(now time.Time, mean float64) float64 {
	return mean + e.freshness(now)*(e.slowness-mean)
}

// freshness is the weight of the samples: 1 when new, decaying to 0.
func (e *engineSpeed) freshness(now time.Time) float64 {
	if e.sampledAt.IsZero() {
		return 0
	}
	return decay(now.Sub(e.sampledAt), e.halfLife)
}

// recordPrefill updates the slowness by the time to the first event, divided by the slowness that
// the response reports. If it reports none, interference can't be told from the speed of the
// engine, and the sample is used only as long as interference lasts.
func (s *endpointState) recordPrefill(now time.Time, c *Call, took time.Duration) {
	if c.ahead+c.prefill < minPrefillSample || c.waited {
		return
	}
	halfLife := sampleHalfLife
	if c.reported {
		halfLife = speedHalfLife
	}
	s.speed.add(now, float64(took)/c.slowness/float64(c.nominal), halfLife)
}
