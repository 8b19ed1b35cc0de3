package route

import "slices"

// AllowedRegions returns the regions in which a request may be served and its data stored, and whether
// they are limited. The organisation may restrict the regions of the route further; it may be nil.
func AllowedRegions(r *Route, o *Organisation) (regions []string, limited bool) {
	switch {
	case o == nil || len(o.Regions) == 0:
		return r.Regions, len(r.Regions) > 0
	case len(r.Regions) == 0:
		return o.Regions, true
	}
	return slices.DeleteFunc(slices.Clone(r.Regions), func(region string) bool { return !slices.Contains(o.Regions, region) }), true
}
