package pipeline

import "time"

const (
	// lateRatio is the fraction of plans that may exceed their forecast by more than the allowed
	// lateness.
	lateRatio = 0.4
	// latenessStep is the maximum change of the allowed lateness after one plan.
	latenessStep = 10 * time.Millisecond
	// initialLateness is the allowed lateness before any plan has completed. Later values stay
	// between minLateness and maxLateness; they are negative if plans finish earlier than forecast.
	initialLateness = 100 * time.Millisecond
	minLateness     = -300 * time.Millisecond
	maxLateness     = 600 * time.Millisecond
)

// lateness tracks by how much plans exceed their forecast, as the quantile at 1-lateRatio. It is
// not safe for concurrent use.
type lateness struct{ allowed time.Duration }

func newLateness() *lateness { return &lateness{allowed: initialLateness} }

// recordRefusal lowers the allowed lateness after a plan was refused only because of it. Without
// this it could not fall when all plans are refused.
func (l *lateness) recordRefusal() {
	if l.allowed > 0 {
		l.allowed = max(0, l.allowed-time.Duration(lateRatio*float64(latenessStep)))
	}
}

// recordDuration adjusts the allowed lateness after a plan has completed.
func (l *lateness) recordDuration(forecast, lasted time.Duration) {
	step := -time.Duration(lateRatio * float64(latenessStep))
	if lasted-forecast > l.allowed {
		step += latenessStep
	}
	l.allowed = min(maxLateness, max(minLateness, l.allowed+step))
}
