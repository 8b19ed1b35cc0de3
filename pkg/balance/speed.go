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

// EngineSpeed is the speed of an engine apart from the interference that it reports, which changes
// within a second. The zero value is an engine without samples.
type EngineSpeed struct {
	// slowness is the smoothed time of the engine relative to the model of its service.
	slowness float64
	// halfLife is that of the deviation of slowness from the mean.
	halfLife time.Duration
	// sampledAt is when slowness was last updated; zero if never.
	sampledAt time.Time
}

// Add adds a sample of the slowness. The sample takes at least the weight that older samples have
// lost.
func (e *EngineSpeed) Add(now time.Time, sample float64, halfLife time.Duration) {
	weight := max(sampleWeight, 1-e.freshness(now))
	e.slowness += weight * (min(maxSlowness, max(minSlowness, sample)) - e.slowness)
	e.halfLife, e.sampledAt = halfLife, now
}

// At returns the slowness, which converges to the mean as the samples age.
func (e *EngineSpeed) At(now time.Time, mean float64) float64 {
	return mean + e.freshness(now)*(e.slowness-mean)
}

// Known reports whether the engine has samples.
func (e *EngineSpeed) Known() bool { return !e.sampledAt.IsZero() }

// freshness is the weight of the samples: 1 when new, decaying to 0.
func (e *EngineSpeed) freshness(now time.Time) float64 {
	if e.sampledAt.IsZero() || e.halfLife == 0 {
		return 0
	}
	return Decay(now.Sub(e.sampledAt), e.halfLife)
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
	s.recordSpeed(now, float64(took)/c.slowness/float64(c.nominal), halfLife)
}

// recordSpeed adds a sample, and keeps it for the next report if it is free of interference.
func (s *endpointState) recordSpeed(now time.Time, sample float64, halfLife time.Duration) {
	s.speed.Add(now, sample, halfLife)
	if halfLife == speedHalfLife {
		s.sample, s.sampleAt = sample, now
	}
}

// knownSlowness is the slowness for estimates: that of a recent view, or that of the samples.
func (s *endpointState) knownSlowness(now time.Time, mean float64) float64 {
	if s.view.Slowness > 0 && now.Sub(s.viewAt) < ObservationTTL {
		return min(maxSlowness, max(minSlowness, s.view.Slowness))
	}
	return s.speed.At(now, mean)
}

// costSlowness is the slowness for the choice of an engine. A sample counts only for a short time
// and in part: each instance would otherwise return to the few engines that it knows to be fast,
// without knowing the streams of the others there.
func (s *endpointState) costSlowness(now time.Time, averages averages) float64 {
	slowness := averages.slowness
	if !s.speed.sampledAt.IsZero() {
		weight := costSpeedWeight * Decay(now.Sub(s.speed.sampledAt), sampleHalfLife)
		slowness += weight * (s.speed.slowness - averages.slowness)
	}
	return slowness * s.reportedSlowness(now)
}

// costSpeedWeight is the weight of an engine's speed in the choice of an instance.
const costSpeedWeight = 0.2
