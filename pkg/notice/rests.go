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

// Limits tell when this machine may next call an endpoint that takes only so much from all.
type Limits interface {
	// Any tells whether any limit holds.
	Any() bool
	// Left is how long it takes until this machine may next call an endpoint's life; 0: it may now.
	Left(life string) time.Duration
}

// Unlimited are no limits.
type Unlimited struct{}

// Any implements Limits.
func (Unlimited) Any() bool { return false }

// Left implements Limits.
func (Unlimited) Left(string) time.Duration { return 0 }

// Rests are the rests that endpoints want from this machine: those that they asked it for, and those until it may call them
// again by a limit for all. An endpoint that is called sooner turns the call away, and the request loses a try. What an
// endpoint asked one machine for is not told to other instances: it asks each by itself. Safe for concurrent use.
type Rests struct {
	clock  clockwork.Clock
	limits Limits
	log    *logrus.Entry
	// resting is how many rests are kept, so that it costs nothing to ask while there are none.
	resting atomic.Int64

	mu sync.Mutex
	// until has, by the ID of an endpoint's life, when its rest ends.
	until map[string]time.Time
}

// NewRests returns rests of no endpoint but by limits.
func NewRests(clock clockwork.Clock, limits Limits, log *logrus.Entry) *Rests {
	return &Rests{clock: clock, limits: limits, log: log, until: map[string]time.Time{}}
}

// Ask takes in that an endpoint's life wants rest from now on. Of two rests the one that ends later holds:
// each answer was a promise of its own.
func (r *Rests) Ask(endpoint string, rest time.Duration) {
	until := r.clock.Now().Add(rest)
	r.mu.Lock()
	if until.After(r.until[endpoint]) {
		r.until[endpoint] = until
	}
	r.resting.Store(int64(len(r.until)))
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{"event": "endpoint_rests", "endpoint": endpoint, "ms": rest.Milliseconds()}).Info()
}

// Left is how much longer an endpoint's life wants rest; 0: it wants none.
func (r *Rests) Left(endpoint string) time.Duration {
	return max(r.asked(endpoint), r.limits.Left(endpoint))
}

// asked is how much longer an endpoint's life wants the rest that it asked this machine for.
func (r *Rests) asked(endpoint string) time.Duration {
	if r.resting.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, asked := r.until[endpoint]
	if !asked {
		return 0
	}
	return max(0, until.Sub(r.clock.Now()))
}

// Least is how long it takes until the first of several wants no rest, by how much longer each wants one; 0 if one wants none
// now, or if there are none.
func Least[T any](several []T, left func(T) time.Duration) time.Duration {
	least := time.Duration(0)
	for _, one := range several {
		rest := left(one)
		if rest == 0 {
			return 0
		}
		if least == 0 || rest < least {
			least = rest
		}
	}
	return least
}

// Least is how long it takes until the first of several endpoints wants no rest.
func (r *Rests) Least(endpoints []fleet.Endpoint) time.Duration {
	return Least(endpoints, func(e fleet.Endpoint) time.Duration { return r.Left(e.ID) })
}

// Limited tells whether limits for all keep this machine from calling any of several endpoints now.
func (r *Rests) Limited(endpoints []fleet.Endpoint) bool {
	return r.limits.Any() && slices.ContainsFunc(endpoints, func(e fleet.Endpoint) bool { return r.limits.Left(e.ID) > 0 })
}

// Return is when a caller may come back whom all endpoints' rests have turned away: when one of them, drawn at
// random, has had its rest. It is the first or one that ends soon after that, so that not all callers come to the
// first endpoint at one moment.
func (r *Rests) Return(endpoints []fleet.Endpoint, soon time.Duration) time.Duration {
	least := r.Least(endpoints)
	var ends []time.Duration
	for _, e := range endpoints {
		if left := r.Left(e.ID); left <= least+soon {
			ends = append(ends, left)
		}
	}
	if least == 0 || len(ends) == 0 {
		return least
	}
	return ends[rand.IntN(len(ends))]
}

// Awake returns the endpoints that want no rest: the same slice if that is all of them.
func (r *Rests) Awake(endpoints []fleet.Endpoint) []fleet.Endpoint {
	if r.resting.Load() == 0 && !r.limits.Any() {
		return endpoints
	}
	return fleet.Exclude(endpoints, func(e fleet.Endpoint) bool { return r.Left(e.ID) > 0 })
}

// List returns how much longer each endpoint's life wants the rest that it asked this machine for.
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

// Count is how many endpoints asked this machine for rest.
func (r *Rests) Count() int { return int(r.resting.Load()) }

// Sweep drops the rests that are over.
func (r *Rests) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for endpoint, until := range r.until {
		if !now.Before(until) {
			delete(r.until, endpoint)
		}
	}
	r.resting.Store(int64(len(r.until)))
}
