package gateway

import (
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// A request limited to some regions uses only endpoints in failure domains of these regions: for
// itself, its stages and its retries. Its plan is not handed to another instance. An instance
// outside these regions only forwards the request and stores nothing of it.

// findAllowedDomains returns the failure domains that may serve the request; nil means any. If no
// region is allowed, the result contains no real failure domain.
func (u *run) findAllowedDomains() []string {
	regions, limited := route.AllowedRegions(u.route, u.organisation)
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

// ready returns the endpoints of a service that may get the request: those that are ready, in the allowed
// failure domains and, once the request is bound to the origin of a stream, of that origin.
func (u *run) ready(service string) []fleet.Endpoint {
	snapshot := u.View().Fleet
	if u.origin != nil && u.origin.Service == service {
		return u.filterAllowed(u.filterByOrigin(snapshot))
	}
	return u.filterAllowed(snapshot.Ready(service))
}

// filterAllowed returns the endpoints in the allowed failure domains.
func (u *run) filterAllowed(endpoints []fleet.Endpoint) []fleet.Endpoint {
	if u.allowedDomains == nil {
		return endpoints
	}
	return fleet.Exclude(endpoints, func(e fleet.Endpoint) bool { return !slices.Contains(u.allowedDomains, e.FailureDomain) })
}
