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

// divisions has the division of the stage endpoints that this instance goes by. Safe for
// concurrent use.
type divisions struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// supply returns how many endpoints there are, of this instance's view.
	supply func() ownership.Supply
	// regions has the region of each failure domain, and home is this instance's.
	regions ownership.Regions
	home    string
	// changed is called when another division holds, decided when this instance decided on it.
	// Neither may block.
	changed func(ownership.Division)
	decided func()

	mu      sync.Mutex
	divider ownership.Divider
}

// partOf returns the part that a request falls to; if parts are cut by region one of a region.
func (d *divisions) partOf(request, region string) pipeline.Part {
	parts, number := d.inForce().Parts, xxhash.Sum64String(request)
	if d.regions.Cut(parts) {
		return d.regions.Part(region, number, parts)
	}
	return pipeline.Part{Number: int(number % uint64(parts)), Of: parts}
}

// regionsFor returns the regions whose parts may make a request's stages, the best first: this instance's own, and others
// by turns. Those that lack endpoints of a stage come last. It is one, of no name, if parts are not cut by region.
func (d *divisions) regionsFor(request string) []string {
	if !d.regions.Cut(d.inForce().Parts) {
		return []string{""}
	}
	supply := d.supply().Regions
	weight := func(region string) uint64 {
		if region == d.home {
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

// inForce returns the division that is gone by here; its term is 0 if it is not agreed on.
func (d *divisions) inForce() ownership.Division {
	d.mu.Lock()
	defer d.mu.Unlock()
	agreed := d.divider.Agreed()
	if agreed.Term == 0 {
		agreed.Parts = d.divider.Parts(d.supply())
	}
	return agreed
}

// agreed returns the division that is agreed on; the zero one if none is.
func (d *divisions) agreed() ownership.Division {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.divider.Agreed()
}

// hear takes in a division that another instance told. The cause is for the log.
func (d *divisions) hear(heard ownership.Division, cause string) {
	d.mu.Lock()
	before := d.divider.Agreed()
	holds := d.divider.Hear(heard)
	d.mu.Unlock()
	if holds {
		d.note(before, heard, cause)
	}
}

// look has this instance, which decides, look whether the endpoints ask for another division.
func (d *divisions) look() {
	d.mu.Lock()
	before := d.divider.Agreed()
	holds := d.divider.Look(d.clock.Now(), d.supply())
	after := d.divider.Agreed()
	d.mu.Unlock()
	if holds {
		d.note(before, after, "endpoints")
		d.decided()
	}
}

func (d *divisions) note(before, after ownership.Division, cause string) {
	d.log.WithFields(logrus.Fields{"event": "division", "parts": after.Parts, "term": after.Term, "before": before.Parts, "cause": cause}).Info()
	d.changed(after)
}

// divided gives up the parts of this instance that another division had, and tells the owners of
// the parts that hold now what is known of their endpoints. Parts of the one that holds now which
// this instance owned in an earlier term are planned here again.
func (r *Router) divided(after ownership.Division) {
	for _, claim := range r.claims.own() {
		if claim.Part.Of == after.Parts {
			r.planner.Resume(claim.Part)
			continue
		}
		ledger := r.planner.Release(claim.Part)
		for part, share := range r.planner.Split(ledger, after.Parts) {
			r.giveShare(part, share)
		}
	}
}

// giveShare tells the owner of a part what is known of some of its endpoints. Where it has no
// owner that is reached, the first that would own it becomes the owner.
func (r *Router) giveShare(part pipeline.Part, share pipeline.Ledger) {
	holder, known := r.claims.holder(part)
	if !known || !r.owners.reaches(holder.Owner) {
		holder = r.claims.assign(part, r.owners.first(part), "division")
	}
	if r.claims.owns(part) {
		r.planner.Acquire(part, share)
		return
	}
	r.give(holder, share)
}

// outdated tells whether a plan of a part falls to another part now, since the division changed.
func (r *Router) outdated(part pipeline.Part, plan *pipeline.Plan) bool {
	return r.divisions.partOf(plan.Request, plan.Region) != part
}
