package pipeline

import (
	"math/rand/v2"
	"time"
)

const (
	// firstComeBack is the shortest time after which a refused request may come back.
	firstComeBack = 700 * time.Millisecond
	// heededPart is the part of a request's time left within which callers heed when they
	// are told to come back.
	heededPart = 1.0 / 3
	// calmAfter is the time without a refusal after which an overload has ended.
	calmAfter = time.Second
)

// overload is a time in which plans are refused. Not safe for concurrent use.
type overload struct {
	begin time.Time
	last  time.Time
}

// refused notes a refusal, and returns how long the overload has lasted.
func (o *overload) refused(now time.Time) time.Duration {
	if o.last.IsZero() || now.Sub(o.last) > calmAfter {
		o.begin = now
	}
	o.last = now
	return now.Sub(o.begin)
}

// comeBack is when a request may come back that would be late by so much, in an overload
// that has lasted for a time: it is taken to last as long again. Those refused together are
// spread, so that they do not come back together. 0: no time is left for it to come back.
func comeBack(late, lasted, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	wait := max(firstComeBack, late, lasted)
	wait += rand.N(wait)
	heeded := time.Duration(heededPart * float64(left))
	if wait > heeded {
		wait = heeded/2 + rand.N(heeded/2+1)
	}
	return wait
}
