package reach

import "time"

// domain is what is known of the endpoints of a failure domain.
type domain struct {
	// connectedAt is the time of the last direct connection to each endpoint, lastConnected the latest.
	connectedAt   map[string]time.Time
	lastConnected time.Time
	// outages contains the endpoints whose last direct connection attempt failed.
	outages map[string]*outage
	// lost is set after no path led to the failure domain, until a direct connection succeeds.
	lost bool
	// logged is the number of outages in the last log event, path the path that was last logged.
	logged int
	path   Path
}

// outage is the time in which direct connections to an endpoint have failed.
type outage struct {
	since    time.Time
	failedAt time.Time
	// tunneled is set if another instance has connected to the endpoint, unreachedAt is when others
	// last failed to.
	tunneled    bool
	unreachedAt time.Time
}

// judge returns the path to the failure domain as a whole. None is a suspicion: single endpoints may
// still be reached.
func (d *domain) judge(now time.Time) Path {
	tunneled, unreached := 0, 0
	for _, o := range d.outages {
		switch {
		case !d.current(o):
		case o.tunneled:
			tunneled++
		case o.tunnelsFailed(now):
			unreached++
		}
	}
	switch {
	case tunneled >= minEvidence:
		return Tunneled
	case tunneled == 0 && unreached >= minEvidence:
		return None
	}
	return Direct
}

// current reports whether an outage may be due to the links, because no direct connection into the
// failure domain has succeeded since.
func (d *domain) current(o *outage) bool { return !o.failedAt.Before(d.lastConnected) }

// tunnelsFailed reports whether other instances lately could not connect to the endpoint either.
func (o *outage) tunnelsFailed(now time.Time) bool { return now.Sub(o.unreachedAt) < noneTTL }

// unreached reports whether no path to an endpoint is left. While probes find none to the failure domain
// as a whole, this lasts until one does, since a probe meets each endpoint only now and then.
func (d *domain) unreached(now time.Time, endpoint string, whole Path) bool {
	o := d.outages[endpoint]
	if o == nil || !d.current(o) || o.unreachedAt.IsZero() {
		return false
	}
	return o.tunnelsFailed(now) || whole == None
}

// tunnels reports whether an endpoint itself is reached through other instances.
func (d *domain) tunnels(endpoint string) bool {
	o := d.outages[endpoint]
	return o != nil && o.tunneled && d.current(o)
}

// forget drops endpoints that no longer exist, and connections that are not recent.
func (d *domain) forget(now time.Time, exists func(endpoint string) bool) {
	for endpoint, at := range d.connectedAt {
		if now.Sub(at) > recentConnection || !exists(endpoint) {
			delete(d.connectedAt, endpoint)
		}
	}
	for endpoint := range d.outages {
		if !exists(endpoint) {
			delete(d.outages, endpoint)
		}
	}
}
