package traffic

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// limits holds the organisations' limits on this instance. Safe for concurrent use.
type limits struct {
	mu    sync.Mutex
	total int
	max   int
	orgs  map[string]*usage
}

// usage of one organisation.
type usage struct {
	running int
	limiter *rate.Limiter
}

func newLimits(maxInFlight int) *limits {
	return &limits{max: maxInFlight, orgs: map[string]*usage{}}
}

// enter counts a request in, or says why it may not run. The rate of an
// organisation holds over all instances: each grants an equal part.
func (l *limits) enter(o *config.Organisation, instances int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.max {
		return problem.New(problem.Overloaded, "ask again later or at another instance; nothing ran", "%d requests are in flight here", l.total)
	}
	u := l.orgs[o.Name]
	if u == nil {
		u = &usage{limiter: rate.NewLimiter(rate.Inf, 1)}
		l.orgs[o.Name] = u
	}
	if o.MaxConcurrent > 0 && u.running >= int(o.MaxConcurrent) {
		return problem.New(problem.Overloaded, "wait for answers before asking more, or have max_concurrent raised; nothing ran", "organisation %s has %d requests in flight here", o.Name, u.running)
	}
	u.adjust(o, instances)
	if !u.limiter.Allow() {
		return problem.New(problem.Overloaded, "ask more slowly, or have requests_per_second raised; nothing ran", "organisation %s is over its rate of %g requests a second", o.Name, o.RequestsPerSecond)
	}
	u.running++
	l.total++
	return nil
}

// adjust sets the limiter to this instance's part of the organisation's rate.
func (u *usage) adjust(o *config.Organisation, instances int) {
	limit := rate.Inf
	if o.RequestsPerSecond > 0 {
		limit = rate.Limit(o.RequestsPerSecond / float64(max(instances, 1)))
	}
	if limit == u.limiter.Limit() {
		return
	}
	u.limiter.SetLimit(limit)
	u.limiter.SetBurst(max(1, int(limit)))
}

// exit counts a request out.
func (l *limits) exit(o *config.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	u := l.orgs[o.Name]
	u.running--
	if u.running == 0 && u.limiter.Limit() == rate.Inf {
		delete(l.orgs, o.Name)
	}
}

// inFlight returns the number of requests counted in.
func (l *limits) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
