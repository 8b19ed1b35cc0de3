package ownership

import (
	"cmp"
	"time"
)

const (
	// endpointsPerPart is how many endpoints of each service a part has at least when the
	// first division is agreed on: with fewer, pieces wait longer for one to be free.
	endpointsPerPart = 5
	// growFrom and shrinkBelow are the endpoints that each part would have, or has, as parts of
	// endpointsPerPart, from which there are to be more parts, and below which fewer. Between
	// them the division stays: a service of which a third is being replaced has a third more
	// endpoints for a while, and half of a failure domain that is gone comes back.
	growFrom    = 1.4
	shrinkBelow = 0.7
	// settledFor is how long the endpoints must ask for another division until it is made. It is
	// longer than replacing a third of a service's endpoints takes (about 20 s).
	settledFor = 30 * time.Second
	// maxParts bounds the parts that are believed: a damaged division does not use memory up.
	maxParts = 1 << 12
)

// Division says into how many equal parts the stage endpoints are cut. Its term grows with each
// change; the zero division, of no term, says that none is agreed on yet.
type Division struct {
	Parts int    `json:"parts"`
	Term  uint64 `json:"term"`
}

// Beats tells whether a division holds against another. Of two of one term, which were made
// by instances that did not reach each other, all choose the same.
func (d Division) Beats(other Division) bool {
	return cmp.Or(cmp.Compare(d.Term, other.Term), cmp.Compare(d.Parts, other.Parts)) > 0
}

func (d Division) valid() bool { return d.Term > 0 && d.Parts >= 1 && d.Parts <= maxParts }

// Divider keeps the division that one instance goes by. Not safe for concurrent use.
//
// Instances that disagree on the division send calls to endpoints that are at work for others,
// and no owner's knowledge outlives a change of it. So it is changed as an owner is: by one
// instance, in a later term, of which all others hear; and rarely. While every instance counted
// for itself, replacing a third of 35 endpoints made 4 parts 8 for 30 s, and plans that were made
// again rose sevenfold for the rest of the day (295 instances; share served in time 0.95 before
// it, 0.74 to 0.84 after it).
type Divider struct {
	agreed Division
	// asked is the number of parts that the endpoints ask for since a time; 0: the agreed one.
	asked int
	since time.Time
}

// Agreed returns the division that is agreed on, as far as is known; the zero one if none is.
func (d *Divider) Agreed() Division { return d.agreed }

// Parts returns how many parts there are: those agreed on, or else those that the endpoints make.
func (d *Divider) Parts(supply Supply) int {
	if d.agreed.Term > 0 {
		return d.agreed.Parts
	}
	return partsFor(supply)
}

// Hear takes in a division that another instance told, and returns whether it holds now.
func (d *Divider) Hear(heard Division) bool {
	if !heard.valid() || heard.Term-min(d.agreed.Term, heard.Term) > maxTermStep || !heard.Beats(d.agreed) {
		return false
	}
	d.agreed = heard
	d.asked = 0
	return true
}

// Look is called now and then by the instance that decides, with the endpoints that there are.
// It returns whether the division has changed: the first is made at once, later ones when the
// endpoints have asked for them for settledFor.
func (d *Divider) Look(now time.Time, supply Supply) bool {
	if supply.All == 0 {
		return false
	}
	if d.agreed.Term == 0 {
		d.change(partsFor(supply))
		return true
	}
	asked := d.partsAsked(supply)
	if asked == d.agreed.Parts {
		d.asked = 0
		return false
	}
	if asked != d.asked {
		d.asked, d.since = asked, now
		return false
	}
	if now.Sub(d.since) < settledFor {
		return false
	}
	d.change(asked)
	return true
}

func (d *Divider) change(parts int) {
	d.agreed = Division{Parts: parts, Term: d.agreed.Term + 1}
	d.asked = 0
}

// partsAsked returns the parts that the endpoints ask for: the agreed ones unless those are far too few or
// far too many.
func (d *Divider) partsAsked(supply Supply) int {
	regions := max(1, len(supply.Regions))
	byRegion := regions > 1 && d.agreed.Parts%regions == 0
	endpoints, parts := supply.All, d.agreed.Parts
	if byRegion {
		endpoints, parts = supply.least(), d.agreed.Parts/regions
	}
	tooFew := float64(endpoints) >= growFrom*endpointsPerPart*float64(2*parts)
	tooMany := float64(endpoints) < shrinkBelow*endpointsPerPart*float64(parts)
	if tooFew || tooMany || !byRegion && supply.least() >= endpointsPerPart {
		return partsFor(supply)
	}
	return d.agreed.Parts
}

// partsFor returns into how many parts the endpoints are cut at first: each region's for itself, if all have enough.
func partsFor(supply Supply) int {
	if least := supply.least(); least >= endpointsPerPart {
		return len(supply.Regions) * powerFor(least)
	}
	parts := powerFor(supply.All)
	if len(supply.Regions) > 1 && parts%len(supply.Regions) == 0 {
		// So many would be cut by region, of which one has too few.
		return 1
	}
	return parts
}

// powerFor returns into how many parts so many endpoints are cut: a power of two, so that instances which count a
// few more or less agree.
func powerFor(endpoints int) int {
	parts := 1
	for 2*parts*endpointsPerPart <= endpoints && parts < maxParts {
		parts *= 2
	}
	return parts
}
