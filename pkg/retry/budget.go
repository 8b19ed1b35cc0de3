// Package retry bounds how often requests are sent again, over all instances together.
package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// buckets is into how many parts the window is cut.
	buckets = 20
	// caution is the part of the budget that is used, so that instances which count
	// each other wrongly stay within it together.
	caution = 0.7
)

// Bounds of a budget: in each window, a service may receive Ratio times its requests
// and Slack more repeats, from all instances together.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts requests and repeats by service. Safe for concurrent use.
type Budget struct {
	clock     clockwork.Clock
	instances func() int

	mu       sync.Mutex
	bounds   Bounds
	services map[string]*window
}

// window holds what happened in each part of the time that has passed.
type window struct {
	start    time.Time
	requests [buckets]float64
	repeats  [buckets]float64
}

// NewBudget returns a budget. The function instances returns how many instances there
// are at most, this one included.
func NewBudget(clock clockwork.Clock, bounds Bounds, instances func() int) *Budget {
	return &Budget{clock: clock, bounds: bounds, instances: instances, services: map[string]*window{}}
}

// SetBounds changes the bounds.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// Count counts n first arrivals at a service.
func (b *Budget) Count(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).requests[0] += float64(n)
}

// Take counts n repeats in if they are within this instance's part, and tells whether
// they are.
func (b *Budget) Take(service string, n int) bool {
	instances := max(1, b.instances())
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	var requests, repeats float64
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := caution * (b.bounds.Ratio*requests + b.bounds.Slack/float64(instances))
	if repeats+float64(n) > allowed {
		return false
	}
	w.repeats[0] += float64(n)
	return true
}

// window returns the counts of a service, moved on to now.
func (b *Budget) window(service string) *window {
	now := b.clock.Now()
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	part := b.bounds.Window / buckets
	passed := int(now.Sub(w.start) / part)
	if passed <= 0 {
		return w
	}
	shift := min(passed, buckets)
	copy(w.requests[shift:], w.requests[:buckets-shift])
	copy(w.repeats[shift:], w.repeats[:buckets-shift])
	for i := range shift {
		w.requests[i] = 0
		w.repeats[i] = 0
	}
	w.start = w.start.Add(time.Duration(passed) * part)
	return w
}
