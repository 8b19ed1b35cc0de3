package handover

import (
	"sync"
	"time"
)

// busyFor is how long a region is asked for no plans of others after it refused one: in an overload of all, each
// plan that is refused would be refused in every region.
const busyFor = 300 * time.Millisecond

// busyRegions are those that refused a plan lately. Safe for concurrent use.
type busyRegions struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// noteBusy takes in that a region refused a plan.
func (r *Router) noteBusy(region string) {
	r.busy.mu.Lock()
	defer r.busy.mu.Unlock()
	r.busy.until[region] = r.clock.Now().Add(busyFor)
}

// spills tells whether a plan that its own region refused may be made in another.
func (r *Router) spills(region string) bool {
	r.busy.mu.Lock()
	defer r.busy.mu.Unlock()
	return !r.clock.Now().Before(r.busy.until[region])
}
