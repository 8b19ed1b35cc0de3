// Package timeline records the events of a process with hybrid logical timestamps, so
// that the events of all processes can be merged in causal order.
package timeline

import (
	"sync"

	"github.com/jonboulle/clockwork"
)

// Stamp is a hybrid logical timestamp: the wall time, and a counter that orders events
// within a millisecond or while the wall clock is behind a peer's.
type Stamp struct {
	WallMs  int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Less reports whether s is before t.
func (s Stamp) Less(t Stamp) bool {
	if s.WallMs != t.WallMs {
		return s.WallMs < t.WallMs
	}
	return s.Logical < t.Logical
}

// MaxDriftMs is the maximum lead of a peer's stamp over the local clock. Stamps further
// ahead are ignored.
const MaxDriftMs = 60_000

// Clock is a hybrid logical clock (Kulkarni et al., 2014). Safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall clockwork.Clock
	last Stamp
}

// NewClock returns a clock based on the given wall clock.
func NewClock(wall clockwork.Clock) *Clock { return &Clock{wall: wall} }

// Now returns a stamp later than all stamps returned or observed so far.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.wall.Now().UnixMilli()
	if now > c.last.WallMs {
		c.last = Stamp{WallMs: now}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock past a peer's stamp.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMs > c.wall.Now().UnixMilli()+MaxDriftMs {
		return
	}
	if c.last.Less(s) {
		c.last = s
	}
}
