package bootclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// timer calls a function at a time of its clock.
type timer struct {
	clock *Clock
	at    time.Time
	call  func()
	real  *time.Timer
}

var _ clockwork.Timer = (*timer)(nil)

// AfterFunc implements clockwork.Clock. If the timer expires during a suspension, the function is
// called when the suspension is detected.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, call: f}
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.at = now.Add(d)
	c.pending[t] = struct{}{}
	t.real = time.AfterFunc(d, t.fire)
	return t
}

// fire calls the function unless the timer has fired or was stopped.
func (t *timer) fire() {
	if t.remove() {
		t.call()
	}
}

// remove removes the timer from the pending ones and reports whether it was pending.
func (t *timer) remove() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.pending[t]
	delete(t.clock.pending, t)
	return pending
}

// Chan implements clockwork.Timer. It returns nil, as for timers of time.AfterFunc.
func (t *timer) Chan() <-chan time.Time { return nil }

// Stop implements clockwork.Timer.
func (t *timer) Stop() bool {
	pending := t.remove()
	t.real.Stop()
	return pending
}

// Reset implements clockwork.Timer.
func (t *timer) Reset(d time.Duration) bool {
	now := t.clock.Now()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.pending[t]
	t.clock.pending[t] = struct{}{}
	t.at = now.Add(d)
	t.real.Reset(d)
	return pending
}

// resetTimers resets all pending timers after a suspension, so that expired ones fire immediately.
func (c *Clock) resetTimers() {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range c.pending {
		t.real.Reset(max(0, t.at.Sub(now)))
	}
}
