package pipeline

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay is the shortest retry delay of a refused request.
	minRetryDelay = 700 * time.Millisecond
	// maxRetryShare is the largest fraction of a request's remaining time that the retry delay may
	// take up.
	maxRetryShare = 1.0 / 3
	// overloadEndDelay is the time without a refusal after which an overload has ended.
	overloadEndDelay = time.Second
)

// overload is a period in which plans are refused. It is not safe for concurrent use.
type overload struct {
	begin time.Time
	last  time.Time
}

// recordRefusal records a refusal and returns how long the overload has lasted.
func (o *overload) recordRefusal(now time.Time) time.Duration {
	if o.last.IsZero() || now.Sub(o.last) > overloadEndDelay {
		o.begin = now
	}
	o.last = now
	return now.Sub(o.begin)
}

// retryDelay returns the retry delay of a request that would be late by the given time. It assumes
// that the overload lasts as long again as it has lasted so far and adds jitter. It returns 0 if no
// time is left for a retry.
func retryDelay(late, lasted, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	wait := max(minRetryDelay, late, lasted)
	wait += rand.N(wait)
	maxDelay := time.Duration(maxRetryShare * float64(left))
	if wait > maxDelay {
		wait = maxDelay/2 + rand.N(maxDelay/2+1)
	}
	return wait
}
