package traffic

import (
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
)

// usage counts the requests in flight, in total and per organisation, and enforces
// the limits on them. Safe for concurrent use.
type usage struct {
	mu     sync.Mutex
	total  int
	limit  int
	byOrg  map[string]int
	shares *ratelimit.Splitter
}

func newUsage(maxInFlight int, shares *ratelimit.Splitter) *usage {
	return &usage{limit: maxInFlight, byOrg: map[string]int{}, shares: shares}
}

// enter counts a request, or returns why a limit rejects it.
func (u *usage) enter(o *config.Organisation, instances ratelimit.InstanceCounts) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.total >= u.limit {
		return problem.New(problem.Overloaded, "retry later or at another instance; nothing ran", "%d requests are in flight at this instance", u.total)
	}
	if running := u.byOrg[o.Name]; o.MaxConcurrent > 0 && running >= int(o.MaxConcurrent) {
		return problem.New(problem.Overloaded, "wait for responses before sending more requests, or have max_concurrent raised; nothing ran", "organisation %s has %d requests in flight at this instance", o.Name, running)
	}
	if o.RequestsPerSecond > 0 && !u.shares.Allow(o.Name, o.RequestsPerSecond, instances) {
		return problem.New(problem.Overloaded, "lower the request rate, or have requests_per_second raised; nothing ran", "organisation %s exceeds its rate limit of %g requests per second", o.Name, o.RequestsPerSecond)
	}
	u.byOrg[o.Name]++
	u.total++
	return nil
}

// exit removes a request from the counts.
func (u *usage) exit(o *config.Organisation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total--
	u.byOrg[o.Name]--
	if u.byOrg[o.Name] == 0 {
		delete(u.byOrg, o.Name)
	}
}

// inFlight returns the total number of requests in flight.
func (u *usage) inFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}
