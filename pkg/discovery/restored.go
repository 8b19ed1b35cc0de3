package discovery

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// A source that was restored from an older copy lists entries as they were when the copy was made:
// endpoints that have left since, or said so, stand there as ready, and those registered since are
// missing, until they are written again. Until the new era is settled, what this instance knew before
// goes first.

const (
	// settlePeriod is how long after a restore the source may still list what had been removed and lack
	// what had been written. An endpoint that ended does not renew its entry, which then expires after
	// three heartbeats, and the operator writes lost orders again. What was withdrawn unnoticed just before
	// the restore remains in force for as long.
	settlePeriod = 4 * time.Second
	// maxCopyAge is the maximum age of a copy from which a source is restored.
	maxCopyAge = time.Minute
)

// removals maps the IDs of endpoints whose entries were removed to the time of the removal. It is only
// accessed by the goroutine that owns the view.
type removals map[string]time.Time

// note records changes of entries within an era.
func (r removals) note(now time.Time, listed *fleet.Snapshot, changes []fleet.Change) {
	for _, c := range changes {
		if e, known := listed.ByName(c.Endpoint.Name()); c.Gone && known {
			r[e.ID] = now
		}
		if !c.Gone {
			delete(r, c.Endpoint.ID)
		}
	}
	maps.DeleteFunc(r, func(_ string, at time.Time) bool { return now.Sub(at) > maxCopyAge })
}

// entersEra reports whether a revision of the endpoints is of a later era than the view's.
func (v *View) entersEra(at revision.Revision) bool {
	return at.InLaterEraThan(v.listed.Revision)
}

// enterEra prepares the view for the entries of a restored source: endpoints that were leaving remain
// so, and those that the copy lacks are retained until they can have registered again.
func (f *Follower) enterEra(view *View, at revision.Revision) {
	now := f.clock.Now()
	leaving := 0
	for _, e := range view.listed.All() {
		if e.Leaving {
			f.departures.seen[e.ID] = now
			leaving++
		}
	}
	marked := f.departures.prune(now, view.listed)
	view.updateSnapshots(func(s *fleet.Snapshot) *fleet.Snapshot { return s.WithDepartures(marked) })
	f.outageGrace.until = now.Add(reregistrationGrace)
	f.outageGraceEnd = f.clock.After(reregistrationGrace)
	f.settled = f.clock.After(settlePeriod)
	f.log.WithFields(logrus.Fields{
		"event": "source_era", "era": at.Era(), "before": view.listed.Revision.Era(), "revision": at, "known": view.listed.Revision, "leaving": leaving, "removed": len(f.removals),
	}).Warn("the source was restored from an older copy")
	f.onRestore()
}

// withholdRemoved returns the endpoints without those whose entries had been removed before the source
// was restored, which the view keeps apart.
func (f *Follower) withholdRemoved(view *View, entersEra bool, endpoints []fleet.Endpoint) []fleet.Endpoint {
	withheld := map[string]fleet.Endpoint{}
	kept := fleet.Exclude(endpoints, func(e fleet.Endpoint) bool {
		_, removed := f.removals[e.ID]
		_, before := view.withheld[e.Name()]
		if before || entersEra && removed {
			withheld[e.Name()] = e
			return true
		}
		return false
	})
	view.withheld = withheld
	return kept
}

// withholdChanged is withholdRemoved for changes. Within an era, a change of a withheld entry was
// written anew and is believed.
func (f *Follower) withholdChanged(view *View, entersEra bool, changes []fleet.Change) []fleet.Change {
	if !entersEra && len(view.withheld) == 0 {
		return changes
	}
	withheld := maps.Clone(view.withheld)
	if withheld == nil {
		withheld = map[string]fleet.Endpoint{}
	}
	kept := make([]fleet.Change, 0, len(changes))
	for _, c := range changes {
		delete(withheld, c.Endpoint.Name())
		if _, removed := f.removals[c.Endpoint.ID]; entersEra && removed && !c.Gone {
			withheld[c.Endpoint.Name()] = c.Endpoint
			continue
		}
		kept = append(kept, c)
	}
	view.withheld = withheld
	return kept
}

// keepWarmup returns an entry of a restored source under the revision of the warm-up that was known
// before. The same warm-up does not begin again.
func keepWarmup(known *fleet.Snapshot, e fleet.Endpoint) fleet.Endpoint {
	if before, ok := known.Endpoint(e.ID); ok && before.ColdMs == e.ColdMs {
		e.ColdRevision = before.ColdRevision
	}
	return e
}

// differences returns the changes from the entries of one list to those of another.
func differences(before, after []fleet.Endpoint) []fleet.Change {
	known := make(map[string]fleet.Endpoint, len(before))
	for _, e := range before {
		known[e.Name()] = e
	}
	var changes []fleet.Change
	for _, e := range after {
		if known[e.Name()] != e {
			changes = append(changes, fleet.Change{Endpoint: e})
		}
		delete(known, e.Name())
	}
	for _, e := range known {
		changes = append(changes, fleet.Change{Endpoint: e, Gone: true})
	}
	return changes
}

// settleOrders starts the time until retained orders are dropped if orders of a later era than the known
// ones arrive.
func (f *Follower) settleOrders(known, told revision.Revision) {
	if told.InLaterEraThan(known) {
		f.settled = f.clock.After(settlePeriod)
	}
}

// adoptsRetained reports whether this instance has to learn from a peer which orders the source has lost:
// it started after the source was restored, and the peer did not.
func (f *Follower) adoptsRetained(known, told revision.Revision) bool {
	if f.clock.Since(f.startedAt) > settlePeriod || known.Era() != told.Era() {
		return false
	}
	if f.settled == nil {
		f.settled = f.clock.After(settlePeriod)
	}
	return true
}

// entries returns the entries that the source lists, including withheld ones.
func (v *View) entries() []fleet.Endpoint {
	all := v.listed.All()
	for _, e := range v.withheld {
		all = append(all, e)
	}
	return all
}

// settled ends the time after a restore: entries that the source still lists are believed, and orders
// that it still lacks are no longer in force.
type settled struct{}

func (settled) apply(f *Follower, view *View) func() {
	changes := make([]fleet.Change, 0, len(view.withheld))
	for _, e := range view.withheld {
		changes = append(changes, fleet.Change{Endpoint: e})
	}
	f.log.WithFields(logrus.Fields{"event": "source_settled", "era": view.listed.Revision.Era(), "endpoints": len(changes)}).Info()
	view.withheld = nil
	evacuations := view.Evacuations()
	view.listed = view.listed.With(view.listed.Revision, changes).WithoutRetained()
	view.Fleet = f.outageGrace.retain(f.clock.Now(), view.Fleet, view.listed)
	f.evacuationsChanged(view, evacuations)
	return nil
}
