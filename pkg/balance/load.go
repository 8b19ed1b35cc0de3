package balance

import (
	"math"
	"time"
)

const (
	// loadLife is how long the load that an endpoint told is taken to hold.
	loadLife = 300 * time.Millisecond
	// slownessLife is the time in which half of the slowness that an endpoint told is forgotten.
	slownessLife = 150 * time.Millisecond
)

// Load is what an endpoint tells of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes there now, as a multiple of the usual; 0: not told.
	Slowness float64
}

// toldSlowness is the multiple of the usual time that work takes by what the endpoint told, moved towards the usual by
// its age: it shares its machine with others, whose work changes many times a second.
func (s *seen) toldSlowness(now time.Time) float64 {
	if s.load.Slowness <= 0 {
		return 1
	}
	known := math.Exp2(-float64(now.Sub(s.loadAt)) / float64(slownessLife))
	return 1 + known*(s.load.Slowness-1)
}

// Told takes in the load that the endpoint told in the head of its answer; nil: none. An answer may go on for
// seconds after its head.
func (c *Call) Told(load *Load) {
	if load == nil {
		return
	}
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seen(c.Endpoint.ID)
	s.load, s.loadAt = *load, b.clock.Now()
}
