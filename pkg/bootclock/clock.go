// Package bootclock has a clock that goes on while the machine is suspended. The steady clock, which
// Go's times and timers go by, stands still then: whoever wakes would believe all that it knows to be
// younger than it is, by the span.
package bootclock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// lookEach is the longest time between two looks at the boot time, each of which costs a call of the
	// system (0.2 us), and jump the least difference between time of day and steady clock that makes
	// a look at once: a suspension shows there too, at no cost, as does a clock that is set.
	lookEach = 100 * time.Millisecond
	jump     = 20 * time.Millisecond
	// leastSpan is the shortest suspension that counts: the clocks are not read at the same moment.
	leastSpan = 5 * time.Millisecond
)

// Clock is a real clock whose readings count the time in which the machine was suspended. Timers of
// AfterFunc do as well; all others stand still meanwhile and fire late. Safe for concurrent use.
type Clock struct {
	clockwork.Clock
	readings
	// told is called with each suspension that was noticed.
	told func(span time.Duration)

	// start and startBoot are the readings of both at the start; the latter is 0 if there are none.
	start     time.Time
	startBoot time.Duration
	// suspended is for how long the machine was suspended since the start, looked when that was looked at
	// last, by the steady clock since the start, and drift how far the time of day was ahead then.
	suspended atomic.Int64
	looked    atomic.Int64
	drift     atomic.Int64

	mu      sync.Mutex
	pending map[*timer]struct{}
}

// readings are those of the machine's clocks.
type readings struct {
	// now reads the steady clock.
	now func() time.Time
	// ahead is how far the time of day has gone ahead of the steady clock between two readings.
	ahead func(from, to time.Time) time.Duration
	// boot reads the time since the machine started.
	boot func() time.Duration
}

// ahead compares the two clocks that each of Go's times has.
func ahead(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// New returns a clock that tells of each suspension of the machine which it notices.
func New(told func(span time.Duration)) *Clock {
	return newClock(readings{now: time.Now, ahead: ahead, boot: sinceBoot}, told)
}

func newClock(r readings, told func(time.Duration)) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), readings: r, told: told, start: r.now(), pending: map[*timer]struct{}{}}
	c.startBoot = r.boot()
	return c
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	now := c.now()
	steady := now.Sub(c.start)
	drift := c.ahead(c.start, now)
	if steady-time.Duration(c.looked.Load()) >= lookEach || abs(drift-time.Duration(c.drift.Load())) >= jump {
		c.look(steady, drift)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// look compares the boot time with the steady clock.
func (c *Clock) look(steady, drift time.Duration) {
	c.looked.Store(int64(steady))
	c.drift.Store(int64(drift))
	if c.startBoot == 0 {
		return
	}
	before := c.suspended.Load()
	// The steady clock is read after the boot time: if the process is paused between the two, the span
	// is too short until the next look, and never too long.
	boot := c.boot() - c.startBoot
	span := boot - c.now().Sub(c.start)
	if span-time.Duration(before) < leastSpan || !c.suspended.CompareAndSwap(before, int64(span)) {
		return
	}
	c.told(span - time.Duration(before))
	c.catchUp()
}
