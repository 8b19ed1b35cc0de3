package balance

import "time"

// Outcome is the result of a call for the endpoint's health.
type Outcome int

// Call outcomes.
const (
	// Succeeded: the endpoint completed the call.
	Succeeded Outcome = iota
	// Refused: the endpoint rejected the call.
	Refused
	// Unreachable: the connection failed.
	Unreachable
	// Failed: the response was an error, incomplete or missing.
	Failed
	// Canceled: the call ended for reasons unrelated to the endpoint.
	Canceled
)

// End unregisters the call. The load is the one reported with the response, or nil.
func (c *Call) End(outcome Outcome, load *Load) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	s := b.state(c.Endpoint.ID)
	delete(s.calls, c)
	if !c.started {
		s.pendingPrefill -= c.prefill
	}
	now := b.clock.Now()
	if c.key != 0 {
		b.observed.add(now, c.Endpoint.ID, c.key)
	}
	if c.engine && c.pace.measured() {
		s.recordSpeed(now, b.modelFor(c.Endpoint.Service).relativePace(c.pace.interval()), speedHalfLife)
	}
	if outcome == Succeeded {
		s.recordDuration(now.Sub(c.startedAt))
	}
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	if outcome == Unreachable && now.Sub(c.startedAt) >= minSilence {
		b.silentUntil[c.Endpoint.FailureDomain] = now.Add(silenceDuration)
	}
	s.recordOutcome(now, outcome)
}

func (s *endpointState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Succeeded:
		s.failures, s.ejection = 0, 0
	case Unreachable:
		s.eject(now)
	case Failed:
		if s.failures++; s.failures >= failuresToEject {
			s.eject(now)
		}
	case Refused:
		s.ejectedUntil = now.Add(refusalEjection)
	case Canceled:
	}
}

// refusalEjection is the ejection time after a rejected call.
const refusalEjection = 100 * time.Millisecond

func (s *endpointState) eject(now time.Time) {
	s.ejection = min(maxEjection, max(minEjection, 2*s.ejection))
	s.ejectedUntil = now.Add(s.ejection)
}
