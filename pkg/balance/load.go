package balance

import "time"

const (
	// loadTTL is how long a reported load is used.
	loadTTL = 300 * time.Millisecond
	// slownessHalfLife is the half-life of a reported slowness.
	slownessHalfLife = 150 * time.Millisecond
)

// Load is the load that an endpoint reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current service time as a multiple of the usual one; 0 if not reported.
	Slowness float64
}

// reportedSlowness is the slowness that the endpoint last reported. It decays towards 1, because
// the load of a shared machine changes quickly.
func (s *endpointState) reportedSlowness(now time.Time) float64 {
	if s.load.Slowness <= 0 {
		return 1
	}
	return 1 + Decay(now.Sub(s.loadAt), slownessHalfLife)*(s.load.Slowness-1)
}

// RecordLoad records the load in a response header, which may precede the end of the response by
// seconds. The load may be nil.
func (c *Call) RecordLoad(load *Load) {
	if load == nil {
		return
	}
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c.Endpoint.ID)
	s.load, s.loadAt = *load, b.clock.Now()
	c.waited = load.Waiting > 0
	if load.Slowness > 0 {
		c.slowness, c.reported = load.Slowness, true
	}
}
