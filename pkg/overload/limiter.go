package overload

import (
	"math"
	"time"
)

const (
	// measurePeriod is the time between two measurements.
	measurePeriod = 100 * time.Millisecond
	// rateTime is the time over which the rate of new connections is averaged. It is long enough that the first
	// moments of a crowd don't raise the average to a rate that the instance can't carry.
	rateTime = 2 * time.Second
	// The waits are too long if they were so in at least longPeriods of the last judgedPeriods. A garbage
	// collection makes work wait for a moment, and a period may hold few waits.
	judgedPeriods = 5
	longPeriods   = 3
	// minRate is the lowest limit in connections per second. An instance that is ready must not turn all away.
	minRate = 2.0
	// cutFactor is applied to the rate while the waits are too long, once per cutPeriod: what was taken
	// before still needs the processor.
	cutFactor = 0.7
	cutPeriod = 500 * time.Millisecond
	// growth is the fraction by which the limit rises per second, and minGrowth the least rise in connections
	// per second, per second. A stream needs the processor for seconds after it has begun.
	growth    = 0.5
	minGrowth = 2.0
	// burstTime is the time for which unused connections accumulate, and minBurst the least number.
	burstTime = 100 * time.Millisecond
	minBurst  = 2.0
	// maxLead is the highest limit as a multiple of the average rate of the connections taken. A limit far above
	// it would say nothing of what the instance can carry.
	maxLead = 1.5
	// releaseAfter is how long no connection must have been closed, and the waits been short, for the limit
	// to end.
	releaseAfter = 3 * time.Second
)

// limiter limits the rate of new connections while goroutines wait too long for a processor: it lowers the
// rate while they do and raises it slowly once they don't.
type limiter struct {
	maxWait time.Duration
	// waits are the mean waits of the newest periods, the newest first.
	waits [judgedPeriods]time.Duration
	// updatedAt is when they were taken; accepted and closed count connections since then.
	updatedAt time.Time
	accepted  int
	closed    int
	// averageRate is the average rate of the connections taken, per second.
	averageRate float64

	limited bool
	// rate is the limit in connections per second.
	rate  float64
	cutAt time.Time
	// neededAt is when a connection was last closed or the waits were last too long.
	neededAt time.Time
	// tokens is the number of connections that may be taken at filledAt.
	tokens   float64
	filledAt time.Time
}

func newLimiter(maxWait time.Duration, now time.Time) limiter {
	return limiter{maxWait: maxWait, updatedAt: now, filledAt: now}
}

// overloaded reports whether goroutines wait too long for a processor.
func (l *limiter) overloaded() bool {
	long := 0
	for _, wait := range l.waits {
		if wait >= l.maxWait {
			long++
		}
	}
	return l.maxWait > 0 && long >= longPeriods
}

// admit reports whether a new connection is taken.
func (l *limiter) admit(now time.Time) bool {
	if l.limited && !l.takeToken(now) {
		l.closed++
		return false
	}
	l.accepted++
	return true
}

func (l *limiter) takeToken(now time.Time) bool {
	burst := max(minBurst, l.rate*burstTime.Seconds())
	l.tokens = min(burst, l.tokens+l.rate*now.Sub(l.filledAt).Seconds())
	l.filledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// update adds the mean wait of the last period and adjusts the limit.
func (l *limiter) update(now time.Time, wait time.Duration) {
	elapsed := now.Sub(l.updatedAt)
	if elapsed <= 0 {
		return
	}
	copy(l.waits[1:], l.waits[:])
	l.waits[0] = wait
	l.averageRate += (1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())) * (float64(l.accepted)/elapsed.Seconds() - l.averageRate)
	closed := l.closed
	l.updatedAt, l.accepted, l.closed = now, 0, 0
	overloaded := l.overloaded()
	if overloaded || closed > 0 {
		l.neededAt = now
	}
	switch {
	case overloaded && !l.limited:
		l.limited = true
		l.tokens, l.filledAt = 0, now
		l.rate, l.cutAt = max(minRate, l.averageRate), now
	case overloaded && now.Sub(l.cutAt) >= cutPeriod:
		l.rate, l.cutAt = max(minRate, l.rate*cutFactor), now
	case !overloaded && l.limited:
		l.relax(now, closed, elapsed)
	}
}

// relax raises the limit if it closed connections although there is processor time for more, and ends it if
// it closed none for long.
func (l *limiter) relax(now time.Time, closed int, elapsed time.Duration) {
	if closed > 0 {
		grown := l.rate + max(minGrowth, growth*l.rate)*elapsed.Seconds()
		l.rate = max(l.rate, min(grown, minRate+maxLead*l.averageRate))
	}
	if now.Sub(l.neededAt) >= releaseAfter {
		l.limited = false
	}
}
