// Package retry limits the retries to a service across all instances.
package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 20
	// safetyFactor is the fraction of the budget that is used, so that the total stays within the
	// budget even if the instances disagree on their number.
	safetyFactor = 0.7
)

// Bounds limits the retries to a service. Within each window, all instances together may send
// Ratio retries per request plus Slack.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts requests and retries per service. It is safe for concurrent use.
type Budget struct {
	clock     clockwork.Clock
	instances func() int

	mu       sync.Mutex
	bounds   Bounds
	services map[string]*window
}

// window holds the counts of the sliding window; index 0 is the current bucket.
type window struct {
	start    time.Time
	requests [buckets]float64
	retries  [buckets]float64
}

// NewBudget returns a budget. The function instances returns an upper bound of the number of
// instances, including this one.
func NewBudget(clock clockwork.Clock, bounds Bounds, instances func() int) *Budget {
	return &Budget{clock: clock, bounds: bounds, instances: instances, services: map[string]*window{}}
}

// SetBounds changes the bounds.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// AddRequests counts n first attempts at a service.
func (b *Budget) AddRequests(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).requests[0] += float64(n)
}

// TryRetry reports whether n retries are within this instance's part of the budget, and counts
// them if so.
func (b *Budget) TryRetry(service string, n int) bool {
	instances := max(1, b.instances())
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	var requests, retries float64
	for i := range buckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := safetyFactor * (b.bounds.Ratio*requests + b.bounds.Slack/float64(instances))
	if retries+float64(n) > allowed {
		return false
	}
	w.retries[0] += float64(n)
	return true
}

// window returns the window of a service, advanced to the current time.
func (b *Budget) window(service string) *window {
	now := b.clock.Now()
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	width := b.bounds.Window / buckets
	passed := int(now.Sub(w.start) / width)
	if passed <= 0 {
		return w
	}
	shift := min(passed, buckets)
	copy(w.requests[shift:], w.requests[:buckets-shift])
	copy(w.retries[shift:], w.retries[:buckets-shift])
	for i := range shift {
		w.requests[i] = 0
		w.retries[i] = 0
	}
	w.start = w.start.Add(time.Duration(passed) * width)
	return w
}
