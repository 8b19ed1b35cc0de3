package handover

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// divisions tracks the division of the stage endpoints that this instance uses. Safe for concurrent
// use.
type divisions struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// supply returns the endpoint counts as this instance sees them.
	supply func() ownership.EndpointCounts
	// regions maps failure domains to regions; homeRegion is the region of this instance.
	regions    ownership.Regions
	homeRegion string
	// onChange is called when a new division takes effect, onDecision when this instance made the
	// decision. Neither may block.
	onChange   func(ownership.Division)
	onDecision func()

	mu      sync.Mutex
	divider ownership.Divider
}

// partOf returns the part that a request maps to. If parts are assigned to regions, it is a part of
// the given region.
func (d *divisions) partOf(request, region string) pipeline.Part {
	parts, number := d.current().Parts, xxhash.Sum64String(request)
	if d.regions.AssignsParts(parts) {
		return d.regions.Part(region, number, parts)
	}
	return pipeline.Part{Number: int(number % uint64(parts)), Of: parts}
}

// regionsFor returns the regions that may run a request, in order of preference: the home region,
// then the others in a per-request order. Regions without endpoints for some stage come last. If
// parts are not assigned to regions, the result is a single empty name.
func (d *divisions) regionsFor(request string) []string {
	if !d.regions.AssignsParts(d.current().Parts) {
		return []string{""}
	}
	supply := d.supply().ByRegion
	weight := func(region string) uint64 {
		if region == d.homeRegion {
			return math.MaxUint64
		}
		return xxhash.Sum64String(request + "/" + region)
	}
	regions := slices.Sorted(maps.Keys(supply))
	slices.SortFunc(regions, func(a, b string) int {
		return cmp.Or(compareBool(supply[a] == 0, supply[b] == 0), cmp.Compare(weight(b), weight(a)))
	})
	return regions
}

// current returns the division used by this instance. Its term is 0 if no division has been agreed
// on.
func (d *divisions) current() ownership.Division {
	d.mu.Lock()
	defer d.mu.Unlock()
	agreed := d.divider.Agreed()
	if agreed.Term == 0 {
		agreed.Parts = d.divider.Parts(d.supply())
	}
	return agreed
}

// agreed returns the agreed division, or the zero value if there is none.
func (d *divisions) agreed() ownership.Division {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.divider.Agreed()
}

// merge merges a division received from another instance. The cause is logged.
func (d *divisions) merge(heard ownership.Division, cause string) {
	d.mu.Lock()
	before := d.divider.Agreed()
	holds := d.divider.Merge(heard)
	d.mu.Unlock()
	if holds {
		d.logChange(before, heard, cause)
	}
}

// update re-evaluates the division. Only the instance that owns the first part calls it.
func (d *divisions) update() {
	d.mu.Lock()
	before := d.divider.Agreed()
	holds := d.divider.Update(d.clock.Now(), d.supply())
	after := d.divider.Agreed()
	d.mu.Unlock()
	if holds {
		d.logChange(before, after, "endpoints")
		d.onDecision()
	}
}

func (d *divisions) logChange(before, after ownership.Division, cause string) {
	d.log.WithFields(logrus.Fields{"event": "division", "parts": after.Parts, "term": after.Term, "before": before.Parts, "cause": cause}).Info()
	d.onChange(after)
}

// applyDivision applies a new division. It releases this instance's parts of the old division and
// sends their endpoint state to the owners of the new parts. Parts of the new division that this
// instance owned in an earlier term are resumed.
func (r *Router) applyDivision(after ownership.Division) {
	for _, claim := range r.claims.own() {
		if claim.Part.Of == after.Parts {
			r.planner.Resume(claim.Part)
			continue
		}
		ledger := r.planner.Release(claim.Part)
		for part, share := range r.planner.Split(ledger, after.Parts) {
			r.transferShare(part, share)
		}
	}
}

// transferShare sends the state of some endpoints to the owner of a part. If the part has no
// reachable owner, the preferred candidate becomes the owner.
func (r *Router) transferShare(part pipeline.Part, share pipeline.Ledger) {
	holder, known := r.claims.holder(part)
	if !known || !r.owners.reachable(holder.Owner) {
		holder = r.claims.assign(part, r.owners.preferredOwner(part), "division")
	}
	if r.claims.owns(part) {
		r.planner.Acquire(part, share)
		return
	}
	r.transfer(holder, share)
}

// partChanged reports whether a plan maps to another part because the division changed.
func (r *Router) partChanged(part pipeline.Part, plan *pipeline.Plan) bool {
	return r.divisions.partOf(plan.Request, plan.Region) != part
}
