// Package bootclock implements a clock that includes the time in which the machine is suspended.
// Go's monotonic clock stops during a suspension, so that cached state would appear too recent
// after a resume.
package bootclock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// readInterval bounds how long the boot time is not read, since each read is a system call
	// (0.2 µs).
	readInterval = 100 * time.Millisecond
	// driftThreshold is the change of wall clock against monotonic clock that triggers an immediate
	// read of the boot time. It indicates a suspension or an adjustment of the wall clock.
	driftThreshold = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is detected, since the clocks are not read
	// atomically.
	minSuspension = 5 * time.Millisecond
)

// Clock is a real clock whose time includes suspensions of the machine. So do timers created by
// AfterFunc; all other timers and tickers stop during a suspension and fire late. Safe for
// concurrent use.
type Clock struct {
	clockwork.Clock
	sources
	// onSuspend is called for each detected suspension.
	onSuspend func(span time.Duration)

	// start and startBoot are the initial readings of the monotonic clock and the boot time.
	// startBoot is 0 if the boot time is unavailable.
	start     time.Time
	startBoot time.Duration
	// suspended is the total time of suspensions since the start. lastRead and lastDrift are the
	// monotonic time and the wall clock drift at the last read of the boot time.
	suspended atomic.Int64
	lastRead  atomic.Int64
	lastDrift atomic.Int64

	mu      sync.Mutex
	pending map[*timer]struct{}
}

// sources are the functions that read the machine's clocks.
type sources struct {
	// now reads the monotonic clock.
	now func() time.Time
	// wallDrift returns how far the wall clock has advanced against the monotonic clock between two
	// readings.
	wallDrift func(from, to time.Time) time.Duration
	// sinceBoot reads the time since boot.
	sinceBoot func() time.Duration
}

// wallDrift compares the wall clock and monotonic readings of two times.
func wallDrift(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// New returns a clock that calls onSuspend for each detected suspension of the machine.
func New(onSuspend func(span time.Duration)) *Clock {
	return newClock(sources{now: time.Now, wallDrift: wallDrift, sinceBoot: sinceBoot}, onSuspend)
}

func newClock(r sources, onSuspend func(time.Duration)) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), sources: r, onSuspend: onSuspend, start: r.now(), pending: map[*timer]struct{}{}}
	c.startBoot = r.sinceBoot()
	return c
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	now := c.now()
	monotonic := now.Sub(c.start)
	drift := c.wallDrift(c.start, now)
	if monotonic-time.Duration(c.lastRead.Load()) >= readInterval || abs(drift-time.Duration(c.lastDrift.Load())) >= driftThreshold {
		c.readBootTime(monotonic, drift)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

func abs(d time.Duration) time.Duration { return max(d, -d) }

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// readBootTime compares the boot time with the monotonic clock and adds a detected suspension.
func (c *Clock) readBootTime(monotonic, drift time.Duration) {
	c.lastRead.Store(int64(monotonic))
	c.lastDrift.Store(int64(drift))
	if c.startBoot == 0 {
		return
	}
	before := c.suspended.Load()
	// The monotonic clock is read after the boot time. If the process is preempted in between, the
	// span is too short until the next read, but never too long.
	boot := c.sinceBoot() - c.startBoot
	span := boot - c.now().Sub(c.start)
	if span-time.Duration(before) < minSuspension || !c.suspended.CompareAndSwap(before, int64(span)) {
		return
	}
	c.onSuspend(span - time.Duration(before))
	c.resetTimers()
}
