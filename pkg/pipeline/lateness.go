package pipeline

import "time"

const (
	// lateShare is the share of plans that last longer than forecast by more than the
	// lateness that is allowed for.
	lateShare = 0.4
	// latenessStep is by how much the lateness follows one plan.
	latenessStep = 10 * time.Millisecond
	// firstLateness is allowed for before anything was learnt; minLateness and maxLateness bound
	// what is. Where it is negative, plans last shorter than forecast.
	firstLateness = 100 * time.Millisecond
	minLateness   = -300 * time.Millisecond
	maxLateness   = 600 * time.Millisecond
)

// lateness tracks by how much plans last longer than forecast: the time that all but
// lateShare of them keep to. Not safe for concurrent use.
type lateness struct{ allowed time.Duration }

func newLateness() *lateness { return &lateness{allowed: firstLateness} }

// refused takes in a plan that was refused for the lateness that is allowed for alone: if
// those are all, nothing else would be learnt.
func (l *lateness) refused() {
	if l.allowed > 0 {
		l.allowed = max(0, l.allowed-time.Duration(lateShare*float64(latenessStep)))
	}
}

// learn takes in how a plan that was made ended.
func (l *lateness) learn(forecast, lasted time.Duration) {
	step := -time.Duration(lateShare * float64(latenessStep))
	if lasted-forecast > l.allowed {
		step += latenessStep
	}
	l.allowed = min(maxLateness, max(minLateness, l.allowed+step))
}
