// Package reach judges which endpoints this instance can connect to, and connects to the others
// through another instance.
//
// An instance may be partitioned from the endpoints while its clients, the store and the other
// instances reach it. That is a state of its own links, not of the endpoints: without this judgement
// each request finds it out anew, and each endpoint is taken to have failed.
package reach

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Path is how this instance connects to an endpoint.
type Path string

// The paths to an endpoint.
const (
	// Direct: this instance connects to the endpoint itself.
	Direct Path = "direct"
	// Tunneled: other instances connect to the endpoint, this one does not.
	Tunneled Path = "tunneled"
	// None: neither this instance nor others could connect.
	None Path = "none"
)

const (
	// recentConnection is how long an endpoint counts as reached after a connection to it.
	recentConnection = 10 * time.Second
	// minEvidence is the number of endpoints of a failure domain that a judgement about all of them
	// needs, since a single one may have failed itself.
	minEvidence = 2
	// noneTTL is how long the failure of all paths to a single endpoint counts. Where it is found for
	// minEvidence endpoints of a failure domain, probes renew it while it lasts.
	noneTTL = 1500 * time.Millisecond
)

// Tracker records the outcomes of connection attempts and judges the paths to the endpoints of each
// failure domain. It is safe for concurrent use.
type Tracker struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// onReturn is called with a failure domain that is connected to again after no path led there.
	onReturn func(failureDomain string)

	mu      sync.Mutex
	domains map[string]*domain
}

// NewTracker returns a tracker without observations that registers its gauge in set.
func NewTracker(clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Tracker {
	t := &Tracker{clock: clock, log: log, onReturn: func(string) {}, domains: map[string]*domain{}}
	set.NewGauge("cobaltcroft_endpoints_unreached", func() float64 { return float64(t.Unreached()) })
	return t
}

// OnReturn sets what is called with a failure domain that is connected to again after no path led
// there. It must be set before the first connection.
func (t *Tracker) OnReturn(do func(failureDomain string)) { t.onReturn = do }

// Connected records a direct connection to an endpoint. It voids what failures of other endpoints
// of the failure domain say of the links.
func (t *Tracker) Connected(failureDomain, endpoint string) {
	if t.connected(failureDomain, endpoint) {
		t.onReturn(failureDomain)
	}
}

// connected reports whether no path led to the failure domain before.
func (t *Tracker) connected(failureDomain, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(failureDomain)
	returned := d.lost
	d.lost = false
	d.lastConnected = t.clock.Now()
	d.connectedAt[endpoint] = d.lastConnected
	delete(d.outages, endpoint)
	return returned
}

// Failed records that a direct connection attempt to an endpoint failed.
func (t *Tracker) Failed(failureDomain, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, now := t.domain(failureDomain), t.clock.Now()
	o := d.outages[endpoint]
	if o == nil {
		o = &outage{since: now}
		d.outages[endpoint] = o
	}
	o.failedAt = now
}

// TunnelConnected records that another instance connected to an endpoint.
func (t *Tracker) TunnelConnected(failureDomain, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domain(failureDomain)
	if o := d.outages[endpoint]; o != nil {
		o.tunneled, o.unreachedAt = true, time.Time{}
	}
}

// TunnelFailed records that no other instance connected to an endpoint.
func (t *Tracker) TunnelFailed(failureDomain, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, now := t.domain(failureDomain), t.clock.Now()
	if o := d.outages[endpoint]; o != nil {
		o.tunneled, o.unreachedAt = false, now
	}
	d.lost = d.lost || d.judge(now) == None
}

// Path returns the path to an endpoint.
func (t *Tracker) Path(failureDomain, endpoint string) Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domains[failureDomain]
	if d == nil || len(d.outages) == 0 {
		return Direct
	}
	now := t.clock.Now()
	whole := d.judge(now)
	switch {
	case whole == Tunneled || d.tunnels(endpoint):
		return Tunneled
	case d.unreached(now, endpoint, whole):
		return None
	}
	return Direct
}

// Partitioned reports whether the endpoints of a failure domain are only reached through other
// instances.
func (t *Tracker) Partitioned(failureDomain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domains[failureDomain]
	return d != nil && d.judge(t.clock.Now()) == Tunneled
}

// Isolated reports whether this instance has connected to no endpoint of a failure domain since
// connections to others than the given one failed. A refused connection then says nothing of the
// endpoint.
func (t *Tracker) Isolated(failureDomain, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.domains[failureDomain]
	if d == nil {
		return false
	}
	for id, o := range d.outages {
		if id != endpoint && d.current(o) {
			return true
		}
	}
	return false
}

func (t *Tracker) domain(name string) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{connectedAt: map[string]time.Time{}, outages: map[string]*outage{}, path: Direct}
		t.domains[name] = d
	}
	return d
}

// Unreached returns the number of endpoints whose last direct connection attempt failed.
func (t *Tracker) Unreached() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, d := range t.domains {
		n += len(d.outages)
	}
	return n
}

// ProbeCandidates are the endpoints of a failure domain that are worth a probe.
type ProbeCandidates struct {
	FailureDomain string
	// Endpoints are those whose outages may be due to the links.
	Endpoints []string
	// All is set if no path to the failure domain is known, so that its other endpoints should be
	// probed too.
	All bool
}

// ProbeCandidates returns the candidates in each failure domain to which, or to some endpoints of
// which, the path is not direct.
func (t *Tracker) ProbeCandidates() []ProbeCandidates {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []ProbeCandidates
	for name, d := range t.domains {
		path := d.judge(now)
		c := ProbeCandidates{FailureDomain: name, All: path == None}
		for endpoint, o := range d.outages {
			if path != Direct && d.current(o) || d.tunnels(endpoint) {
				c.Endpoints = append(c.Endpoints, endpoint)
			}
		}
		if len(c.Endpoints) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// Sweep forgets endpoints that no longer exist, and logs each failure domain in which the number of
// unreached endpoints has changed. It is called once per second.
func (t *Tracker) Sweep(exists func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for name, d := range t.domains {
		d.forget(now, exists)
		t.logPath(now, name, d)
		if len(d.outages) != d.logged {
			t.logOutages(now, name, d)
		}
		if len(d.connectedAt) == 0 && len(d.outages) == 0 {
			delete(t.domains, name)
		}
	}
}

// logOutages logs how many endpoints of a failure domain were reached lately and how many were not.
func (t *Tracker) logOutages(now time.Time, name string, d *domain) {
	reached, longest := 0, time.Duration(0)
	for endpoint := range d.connectedAt {
		if d.outages[endpoint] == nil {
			reached++
		}
	}
	for _, o := range d.outages {
		longest = max(longest, now.Sub(o.since))
	}
	d.logged = len(d.outages)
	t.log.WithFields(logrus.Fields{"event": "reach", "domain": name, "reached": reached, "unreached": len(d.outages), "longest_ms": longest.Milliseconds()}).Info()
}

// logPath logs a change of the path to a failure domain.
func (t *Tracker) logPath(now time.Time, name string, d *domain) {
	path := d.judge(now)
	if path == d.path {
		return
	}
	d.path = path
	t.log.WithFields(logrus.Fields{"event": "path", "domain": name, "path": string(path), "unreached": len(d.outages)}).Info()
}
