package balance

import "time"

const (
	// minPaceTime and minPaceEvents are the shortest stream whose pace is measured. Interference
	// lasts less than a second.
	minPaceTime   = time.Second
	minPaceEvents = 16
	// paceStep is the relative change of the median by one stream.
	paceStep = 0.05
)

// pace measures the time between the events of a stream.
type pace struct {
	first, last time.Time
	// events counts those after the first time.
	events int
}

func (p *pace) add(now time.Time, events int) {
	if p.first.IsZero() {
		p.first, p.last = now, now
		return
	}
	p.last = now
	p.events += events
}

// measured reports whether the stream was long enough.
func (p *pace) measured() bool {
	return p.events >= minPaceEvents && p.last.Sub(p.first) >= minPaceTime
}

// interval returns the mean time between events.
func (p *pace) interval() time.Duration { return p.last.Sub(p.first) / time.Duration(p.events) }

// relativePace returns the time between the events of a stream relative to the median of the
// service, and updates the median.
func (m *prefillModel) relativePace(interval time.Duration) float64 {
	switch {
	case m.eventInterval == 0:
		m.eventInterval = interval
	case interval > m.eventInterval:
		m.eventInterval = scale(m.eventInterval, 1+paceStep)
	case interval < m.eventInterval:
		m.eventInterval = scale(m.eventInterval, 1/(1+paceStep))
	}
	return float64(interval) / float64(m.eventInterval)
}
