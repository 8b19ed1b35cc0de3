package throttle

import "time"

const (
	// permitTTL is how long a permit is valid from the time of its request. A new grantor waits
	// for this long, so that the permits of its predecessor have expired.
	permitTTL = time.Second
	// burstSeconds bounds the unused capacity that accumulates, in seconds of the rate; at least
	// one call.
	burstSeconds = 0.25
	// minPerSecond replaces lower limits, including zero. Without any calls, an endpoint could not
	// report that its limit is lifted.
	minPerSecond = 0.1
)

// bucket is a token bucket. In any four seconds it admits at most 4.25 times the rate plus one
// call; with permits granted up to permitTTL earlier, 5.25 times plus one, which is within the
// bound of six times plus five.
type bucket struct {
	calls float64
	// at is when calls was last updated. It may lie in the future; the bucket admits no calls
	// before.
	at time.Time
}

// fill adds the calls accumulated since the last update at a rate in calls per second.
func (b *bucket) fill(now time.Time, rate float64) {
	if !now.After(b.at) {
		return
	}
	burst := max(1, burstSeconds*rate)
	b.calls = min(burst, b.calls+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take removes up to n calls and returns their number.
func (b *bucket) take(now time.Time, rate float64, n int) int {
	b.fill(now, rate)
	taken := min(n, int(b.calls))
	b.calls -= float64(taken)
	return taken
}

// wait is the time until the next call is admitted; 0 if it may start now.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	b.fill(now, rate)
	if b.calls >= 1 {
		return 0
	}
	next := time.Duration((1 - b.calls) / rate * float64(time.Second))
	return max(time.Millisecond, b.at.Add(next).Sub(now))
}
