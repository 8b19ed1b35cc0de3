package notice

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Limits reports when this instance may call rate-limited endpoints.
type Limits interface {
	// Any reports whether any limit is in force.
	Any() bool
	// Delay is the time until this instance may call an endpoint; 0 if it may call now.
	Delay(id string) time.Duration
}

// Unlimited implements Limits without any limit.
type Unlimited struct{}

// Any implements Limits.
func (Unlimited) Any() bool { return false }

// Delay implements Limits.
func (Unlimited) Delay(string) time.Duration { return 0 }

// Backoffs tracks until when this instance must not call endpoints, because of a requested backoff
// or a shared rate limit. An earlier call would be rejected and use up an attempt. Requested
// backoffs apply to this instance only and are not shared. Backoffs is safe for concurrent use.
type Rests struct {
	clock  clockwork.Clock
	limits Limits
	log    *logrus.Entry
	// active is the number of stored backoffs. It makes lookups cheap while there are none.
	active atomic.Int64

	mu sync.Mutex
	// until holds the end of each backoff by endpoint ID.
	until map[string]time.Time
}

// NewBackoffs returns an empty set of backoffs on top of limits.
func NewRests(clock clockwork.Clock, limits Limits, log *logrus.Entry) *Rests {
	return &Rests{clock: clock, limits: limits, log: log, until: map[string]time.Time{}}
}

// Start begins a backoff of an endpoint. If one is active, the later end applies.
func (r *Rests) Ask(endpoint string, rest time.Duration) {
	until := r.clock.Now().Add(rest)
	r.mu.Lock()
	if until.After(r.until[endpoint]) {
		r.until[endpoint] = until
	}
	r.active.Store(int64(len(r.until)))
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{"event": "endpoint_rests", "endpoint": endpoint, "ms": rest.Milliseconds()}).Info()
}

// Remaining is the time until an endpoint may be called; 0 if it may be called now.
func (r *Rests) Left(endpoint string) time.Duration {
	return max(r.found(endpoint), r.limits.Delay(endpoint))
}

// requested is the remaining time of the backoff that an endpoint requested.
func (r *Rests) found(endpoint string) time.Duration {
	if r.active.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, found := r.until[endpoint]
	if !found {
		return 0
	}
	return max(0, until.Sub(r.clock.Now()))
}

// MinRemaining returns the shortest remaining time of the given items, or 0 if one has none or the
// list is empty.
func Least[T any](items []T, remaining func(T) time.Duration) time.Duration {
	least := time.Duration(0)
	for _, item := range items {
		t := remaining(item)
		if t == 0 {
			return 0
		}
		if least == 0 || t < least {
			least = t
		}
	}
	return least
}

// MinRemaining is the time until the first of the endpoints may be called.
func (r *Rests) Least(endpoints []fleet.Endpoint) time.Duration {
	return Least(endpoints, func(e fleet.Endpoint) time.Duration { return r.Left(e.ID) })
}

// Limited reports whether a shared rate limit blocks calls to any of the endpoints.
func (r *Rests) Limited(endpoints []fleet.Endpoint) bool {
	return r.limits.Any() && slices.ContainsFunc(endpoints, func(e fleet.Endpoint) bool { return r.limits.Delay(e.ID) > 0 })
}

// RetryAfter suggests when a caller should retry if all endpoints are backing off. It picks at
// random among the backoffs that end within window of the first, so that callers do not all return
// to the same endpoint at the same time.
func (r *Rests) Return(endpoints []fleet.Endpoint, window time.Duration) time.Duration {
	first := r.Least(endpoints)
	var candidates []time.Duration
	for _, e := range endpoints {
		if left := r.Left(e.ID); left <= first+window {
			candidates = append(candidates, left)
		}
	}
	if first == 0 || len(candidates) == 0 {
		return first
	}
	return candidates[rand.IntN(len(candidates))]
}

// Available returns the endpoints that may be called now. It returns the given slice if all may.
func (r *Rests) Awake(endpoints []fleet.Endpoint) []fleet.Endpoint {
	if r.active.Load() == 0 && !r.limits.Any() {
		return endpoints
	}
	return fleet.Except(endpoints, func(e fleet.Endpoint) bool { return r.Left(e.ID) > 0 })
}

// List returns the remaining time of each requested backoff.
func (r *Rests) List() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	list := make(map[string]time.Duration, len(r.until))
	for endpoint, until := range r.until {
		if now.Before(until) {
			list[endpoint] = until.Sub(now)
		}
	}
	return list
}

// Count returns the number of stored backoffs.
func (r *Rests) Count() int { return int(r.active.Load()) }

// Sweep removes expired backoffs.
func (r *Rests) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for endpoint, until := range r.until {
		if !now.Before(until) {
			delete(r.until, endpoint)
		}
	}
	r.active.Store(int64(len(r.until)))
}
