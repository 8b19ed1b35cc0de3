package handover

import (
	"sync"
	"time"
)

// busyPeriod is how long a region that refused a plan gets no plans of other regions. During a
// global overload every refused plan would otherwise be retried in every region.
const busyPeriod = 300 * time.Millisecond

// busyRegions tracks the regions that refused a plan recently. Safe for concurrent use.
type busyRegions struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// markBusy records that a region refused a plan.
func (r *Router) markBusy(region string) {
	r.busy.mu.Lock()
	defer r.busy.mu.Unlock()
	r.busy.until[region] = r.clock.Now().Add(busyPeriod)
}

// mayOverflowTo reports whether a plan refused by its own region may run in the given region.
func (r *Router) mayOverflowTo(region string) bool {
	r.busy.mu.Lock()
	defer r.busy.mu.Unlock()
	return !r.clock.Now().Before(r.busy.until[region])
}
