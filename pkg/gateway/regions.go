package gateway

import (
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// A request that is limited to some regions is served in the failure domains of these alone: its endpoints, those of
// its stages and those that it is tried again at are chosen among theirs, and its plan is handed to no other instance.
// The instance that its client has reached may stand elsewhere; it passes the request on and keeps nothing of it.

// allowedDomains returns the failure domains where the request may be served; nil: any. A request that no region is
// left for gets the name of none.
func (u *run) allowedDomains() []string {
	regions, limited := route.Allowed(u.route, u.organisation)
	if !limited {
		return nil
	}
	domains := []string{""}
	for domain, region := range u.Regions {
		if slices.Contains(regions, region) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// ready returns the endpoints of a service where the request may be served.
func (u *run) ready(service string) []fleet.Endpoint { return u.inside(u.View().Fleet.Ready(service)) }

// inside returns those endpoints that stand where the request may be served.
func (u *run) inside(endpoints []fleet.Endpoint) []fleet.Endpoint {
	if u.within == nil {
		return endpoints
	}
	return fleet.Exclude(endpoints, func(e fleet.Endpoint) bool { return !slices.Contains(u.within, e.FailureDomain) })
}
