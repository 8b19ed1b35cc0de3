package traffic

import (
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
)

// usage counts the requests in flight, in all and by organisation. Safe for
// concurrent use.
type usage struct {
	mu     sync.Mutex
	total  int
	max    int
	orgs   map[string]int
	shares *ratelimit.Splitter
}

func newUsage(maxInFlight int, shares *ratelimit.Splitter) *usage {
	return &usage{max: maxInFlight, orgs: map[string]int{}, shares: shares}
}

// enter counts a request in, or says why it may not run.
func (u *usage) enter(o *config.Organisation, instances ratelimit.InstanceCounts) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.total >= u.max {
		return problem.New(problem.Overloaded, "ask again later or at another instance; nothing ran", "%d requests are in flight here", u.total)
	}
	if running := u.orgs[o.Name]; o.MaxConcurrent > 0 && running >= int(o.MaxConcurrent) {
		return problem.New(problem.Overloaded, "wait for answers before asking more, or have max_concurrent raised; nothing ran", "organisation %s has %d requests in flight here", o.Name, running)
	}
	if o.RequestsPerSecond > 0 && !u.shares.Allow(o.Name, o.RequestsPerSecond, instances) {
		return problem.New(problem.Overloaded, "ask more slowly, or have requests_per_second raised; nothing ran", "organisation %s is over its rate of %g requests a second", o.Name, o.RequestsPerSecond)
	}
	u.orgs[o.Name]++
	u.total++
	return nil
}

// exit counts a request out.
func (u *usage) exit(o *config.Organisation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total--
	u.orgs[o.Name]--
	if u.orgs[o.Name] == 0 {
		delete(u.orgs, o.Name)
	}
}

// inFlight returns the number of requests counted in.
func (u *usage) inFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}
