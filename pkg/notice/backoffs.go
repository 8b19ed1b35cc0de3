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
type Backoffs struct {
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
func NewBackoffs(clock clockwork.Clock, limits Limits, log *logrus.Entry) *Backoffs {
	return &Backoffs{clock: clock, limits: limits, log: log, until: map[string]time.Time{}}
}

// Start begins a backoff of an endpoint. If one is active, the later end applies.
func (b *Backoffs) Start(endpoint string, d time.Duration) {
	until := b.clock.Now().Add(d)
	b.mu.Lock()
	if until.After(b.until[endpoint]) {
		b.until[endpoint] = until
	}
	b.active.Store(int64(len(b.until)))
	b.mu.Unlock()
	b.log.WithFields(logrus.Fields{"event": "endpoint_rests", "endpoint": endpoint, "ms": d.Milliseconds()}).Info()
}

// Remaining is the time until an endpoint may be called; 0 if it may be called now.
func (b *Backoffs) Remaining(endpoint string) time.Duration {
	return max(b.requested(endpoint), b.limits.Delay(endpoint))
}

// requested is the remaining time of the backoff that an endpoint requested.
func (b *Backoffs) requested(endpoint string) time.Duration {
	if b.active.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	until, found := b.until[endpoint]
	if !found {
		return 0
	}
	return max(0, until.Sub(b.clock.Now()))
}

// MinRemaining returns the shortest remaining time of the given items, or 0 if one has none or the
// list is empty.
func MinRemaining[T any](items []T, remaining func(T) time.Duration) time.Duration {
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
func (b *Backoffs) MinRemaining(endpoints []fleet.Endpoint) time.Duration {
	return MinRemaining(endpoints, func(e fleet.Endpoint) time.Duration { return b.Remaining(e.ID) })
}

// Limited reports whether a shared rate limit blocks calls to any of the endpoints.
func (b *Backoffs) Limited(endpoints []fleet.Endpoint) bool {
	return b.limits.Any() && slices.ContainsFunc(endpoints, func(e fleet.Endpoint) bool { return b.limits.Delay(e.ID) > 0 })
}

// RetryAfter suggests when a caller should retry if all endpoints are backing off. It picks at
// random among the backoffs that end within window of the first, so that callers do not all return
// to the same endpoint at the same time.
func (b *Backoffs) RetryAfter(endpoints []fleet.Endpoint, window time.Duration) time.Duration {
	first := b.MinRemaining(endpoints)
	var candidates []time.Duration
	for _, e := range endpoints {
		if remaining := b.Remaining(e.ID); remaining <= first+window {
			candidates = append(candidates, remaining)
		}
	}
	if first == 0 || len(candidates) == 0 {
		return first
	}
	return candidates[rand.IntN(len(candidates))]
}

// Available returns the endpoints that may be called now. It returns the given slice if all may.
func (b *Backoffs) Available(endpoints []fleet.Endpoint) []fleet.Endpoint {
	if b.active.Load() == 0 && !b.limits.Any() {
		return endpoints
	}
	return fleet.Exclude(endpoints, func(e fleet.Endpoint) bool { return b.Remaining(e.ID) > 0 })
}

// List returns the remaining time of each requested backoff.
func (b *Backoffs) List() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	list := make(map[string]time.Duration, len(b.until))
	for endpoint, until := range b.until {
		if now.Before(until) {
			list[endpoint] = until.Sub(now)
		}
	}
	return list
}

// Count returns the number of stored backoffs.
func (b *Backoffs) Count() int { return int(b.active.Load()) }

// Sweep removes expired backoffs.
func (b *Backoffs) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for endpoint, until := range b.until {
		if !now.Before(until) {
			delete(b.until, endpoint)
		}
	}
	b.active.Store(int64(len(b.until)))
}
