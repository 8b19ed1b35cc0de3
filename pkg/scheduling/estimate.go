package scheduling

import (
	"math"
	"time"
)

// Smoothing factors for the mean and the mean deviation, as in RFC 6298.
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// idleHalfLife is the time without samples after which an estimate starts to decay, and its
	// half-life. Without decay, a high estimate would keep work away and never be corrected.
	idleHalfLife = 5 * time.Second
)

// estimate is an exponentially smoothed mean and mean deviation of durations, in seconds.
type estimate struct {
	mean      float64
	deviation float64
	last      time.Time
	samples   int
}

// add records a sample.
func (e *estimate) add(now time.Time, d time.Duration) {
	seconds := max(d.Seconds(), 0)
	e.last = now
	e.samples++
	if e.samples == 1 {
		e.mean = seconds
		e.deviation = seconds / 2
		return
	}
	e.deviation += deviationGain * (math.Abs(seconds-e.mean) - e.deviation)
	e.mean += meanGain * (seconds - e.mean)
}

// at returns the mean and deviation, decayed for the time since the last sample.
func (e *estimate) at(now time.Time) (mean, deviation float64) {
	idle := now.Sub(e.last)
	if e.samples == 0 || idle <= idleHalfLife {
		return e.mean, e.deviation
	}
	factor := math.Exp2(-idle.Seconds() / idleHalfLife.Seconds())
	return e.mean * factor, e.deviation * factor
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
