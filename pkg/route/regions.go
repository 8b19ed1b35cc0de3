package route

import "slices"

// Allowed returns the regions in which a request of a route and an organisation may be served and what belongs to it
// kept, and whether they are limited: an organisation's limit the route's further. The organisation may be nil.
func Allowed(r *Route, o *Organisation) (regions []string, limited bool) {
	switch {
	case o == nil || len(o.Regions) == 0:
		return r.Regions, len(r.Regions) > 0
	case len(r.Regions) == 0:
		return o.Regions, true
	}
	return slices.DeleteFunc(slices.Clone(r.Regions), func(region string) bool { return !slices.Contains(o.Regions, region) }), true
}
