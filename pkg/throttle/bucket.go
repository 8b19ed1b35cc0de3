package throttle

import "time"

const (
	// permitLife is how long a permit may be used from when it was asked for. Permits of an earlier grantor have run
	// out when a new one begins to grant.
	permitLife = time.Second
	// bankSeconds is for how long what is not used adds up, at most; one call may always be banked.
	bankSeconds = 0.25
	// leastPerSecond stands for lower limits, none among them: if nothing at all were sent to an endpoint, it could
	// never say that its limit is over.
	leastPerSecond = 0.1
)

// bucket says how many calls may begin. In four seconds it lets 4.25 times the rate and one more pass, permits that
// were granted up to permitLife before them come on top: 5.25 times and one, of the six times and five that the users allow.
type bucket struct {
	calls float64
	// at is as of when it holds so many calls. It may be ahead: until then it grants none.
	at time.Time
}

// fill takes in the time that has passed, at a rate in calls a second.
func (b *bucket) fill(now time.Time, rate float64) {
	if !now.After(b.at) {
		return
	}
	bank := max(1, bankSeconds*rate)
	b.calls = min(bank, b.calls+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take takes up to n calls and returns how many.
func (b *bucket) take(now time.Time, rate float64, n int) int {
	b.fill(now, rate)
	taken := min(n, int(b.calls))
	b.calls -= float64(taken)
	return taken
}

// wait is how long it takes until the next call may begin; 0: it may now.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	b.fill(now, rate)
	if b.calls >= 1 {
		return 0
	}
	next := time.Duration((1 - b.calls) / rate * float64(time.Second))
	return max(time.Millisecond, b.at.Add(next).Sub(now))
}
