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

// AfterFunc implements clockwork.Clock. The function is called as soon as a suspension is noticed in
// which its time has passed.
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

// fire calls the function, unless that was done or stopped.
func (t *timer) fire() {
	if t.take() {
		t.call()
	}
}

// take tells whether the timer was pending, and takes it out.
func (t *timer) take() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.pending[t]
	delete(t.clock.pending, t)
	return pending
}

// Chan implements clockwork.Timer: there is none, as for the timers of time.AfterFunc.
func (t *timer) Chan() <-chan time.Time { return nil }

// Stop implements clockwork.Timer.
func (t *timer) Stop() bool {
	pending := t.take()
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

// catchUp has the timers whose time has passed called, and the others moved by what was suspended.
func (c *Clock) catchUp() {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range c.pending {
		t.real.Reset(max(0, t.at.Sub(now)))
	}
}
