// Package reach tracks which endpoints this instance can connect to.
package reach

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// recentConnection is how long an endpoint counts as reached after a connection to it.
const recentConnection = 10 * time.Second

// Tracker records whether connections to endpoints succeed. It is safe for concurrent use.
type Tracker struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu      sync.Mutex
	domains map[string]*domain
}

// domain is what is known of the endpoints of a failure domain.
type domain struct {
	// connectedAt is the time of the last connection to each endpoint.
	connectedAt map[string]time.Time
	// unreached contains the endpoints whose last connection attempt failed, and since when.
	unreached map[string]time.Time
	// logged is the number of unreached endpoints in the last log event.
	logged int
}

// NewTracker returns a tracker without observations that registers its gauge in set.
func NewTracker(clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Tracker {
	t := &Tracker{clock: clock, log: log, domains: map[string]*domain{}}
	set.NewGauge("cobaltcroft_endpoints_unreached", func() float64 { return float64(t.Unreached()) })
	return t
}

// Connected records a connection to an endpoint.
func (t *Tracker) Connected(failureDomain, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(failureDomain)
	d.connectedAt[endpoint] = t.clock.Now()
	delete(d.unreached, endpoint)
}

// Failed records that a connection attempt to an endpoint failed.
func (t *Tracker) Failed(failureDomain, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(failureDomain)
	if _, found := d.unreached[endpoint]; !found {
		d.unreached[endpoint] = t.clock.Now()
	}
}

func (t *Tracker) domain(name string) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{connectedAt: map[string]time.Time{}, unreached: map[string]time.Time{}}
		t.domains[name] = d
	}
	return d
}

// Unreached returns the number of endpoints whose last connection attempt failed.
func (t *Tracker) Unreached() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, d := range t.domains {
		n += len(d.unreached)
	}
	return n
}

// Sweep forgets endpoints that no longer exist, and logs each failure domain in which the number of
// unreached endpoints has changed. It is called once per second.
func (t *Tracker) Sweep(exists func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for name, d := range t.domains {
		d.forget(now, exists)
		if len(d.unreached) != d.logged {
			t.logDomain(now, name, d)
		}
		if len(d.connectedAt) == 0 && len(d.unreached) == 0 {
			delete(t.domains, name)
		}
	}
}

// forget drops endpoints that no longer exist, and connections that are not recent.
func (d *domain) forget(now time.Time, exists func(endpoint string) bool) {
	for endpoint, at := range d.connectedAt {
		if now.Sub(at) > recentConnection || !exists(endpoint) {
			delete(d.connectedAt, endpoint)
		}
	}
	for endpoint := range d.unreached {
		if !exists(endpoint) {
			delete(d.unreached, endpoint)
		}
	}
}

// logDomain logs how many endpoints of a failure domain were reached lately and how many were not.
func (t *Tracker) logDomain(now time.Time, name string, d *domain) {
	reached, longest := 0, time.Duration(0)
	for endpoint := range d.connectedAt {
		if _, lost := d.unreached[endpoint]; !lost {
			reached++
		}
	}
	for _, since := range d.unreached {
		longest = max(longest, now.Sub(since))
	}
	d.logged = len(d.unreached)
	t.log.WithFields(logrus.Fields{"event": "reach", "domain": name, "reached": reached, "unreached": len(d.unreached), "longest_ms": longest.Milliseconds()}).Info()
}
