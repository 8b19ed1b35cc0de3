package discovery

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// update is a change of the view, applied by the goroutine that owns it.
type update interface {
	// apply modifies a copy of the view. It returns the function to call once the view is
	// published, or nil.
	apply(f *Follower, view *View) (then func())
}

// endpointsUpdate contains all endpoints, when the source confirmed them and when it was last heard
// from.
type endpointsUpdate struct {
	state       State
	confirmedAt time.Time
	heardAt     time.Time
}

func (n endpointsUpdate) apply(f *Follower, view *View) func() {
	if n.state.Revision < view.listed.Revision {
		f.logOlder("endpoints", n.state.Revision, view.listed.Revision)
		return nil
	}
	f.dropInvalid(view, n.state.Refused)
	before, endpoints := view.listed.Revision, n.state.Endpoints
	entersEra := view.entersEra(n.state.Revision)
	var changes []fleet.Change
	if entersEra {
		endpoints = slices.Clone(endpoints)
		for i, e := range endpoints {
			endpoints[i] = keepWarmup(view.listed, e)
		}
		f.enterEra(view, n.state.Revision)
		changes = differences(view.entries(), endpoints)
	}
	view.listed = view.listed.Replace(n.state.Revision, f.withholdRemoved(view, entersEra, endpoints))
	f.confirmEndpoints(view, n.confirmedAt, n.heardAt)
	if n.state.Revision == before {
		return nil
	}
	if entersEra {
		f.history.add(before, Changes{Revision: n.state.Revision, Endpoints: changes})
	} else {
		f.history.clear()
	}
	return f.history.notifyWaiters
}

// changesUpdate contains the changes of the endpoints after a revision, when the source confirmed
// them and when it was last heard from.
type changesUpdate struct {
	changes     Changes
	since       revision.Revision
	confirmedAt time.Time
	heardAt     time.Time
}

func (n changesUpdate) apply(f *Follower, view *View) func() {
	before := view.listed.Revision
	if n.since > before || n.changes.Revision < before {
		// The changes start after the view's revision or are outdated, so they confirm nothing.
		return nil
	}
	entersEra := view.entersEra(n.changes.Revision)
	if entersEra && n.since != before {
		// Differences between two eras only apply to what they were taken from.
		return nil
	}
	f.dropInvalid(view, n.changes.Endpoints)
	changes := n.changes.Endpoints
	if entersEra {
		changes = slices.Clone(changes)
		for i, c := range changes {
			changes[i].Endpoint = keepWarmup(view.listed, c.Endpoint)
		}
		f.enterEra(view, n.changes.Revision)
	} else {
		f.removals.note(f.clock.Now(), view.listed, changes)
	}
	view.listed = view.listed.With(n.changes.Revision, f.withholdChanged(view, entersEra, changes))
	f.confirmEndpoints(view, n.confirmedAt, n.heardAt)
	f.history.add(before, Changes{Revision: n.changes.Revision, Endpoints: changes})
	return f.history.notifyWaiters
}

// dropInvalid logs and counts invalid entries, and removes the endpoints known under their names.
// Such endpoints did not expire in an outage, so they must not be retained.
func (f *Follower) dropInvalid(view *View, changes []fleet.Change) {
	for _, c := range changes {
		if c.Refused == "" {
			continue
		}
		f.refusedEntries.Add(1)
		f.log.WithFields(logrus.Fields{"event": "entry_refused", "entry": c.Endpoint.Name(), "error": c.Refused}).Warn()
		view.Fleet = view.Fleet.With(view.Fleet.Revision, []fleet.Change{c})
	}
}

// documentUpdate contains a document that was the newest as of a revision of the source, and when
// that was confirmed.
type documentUpdate struct {
	document Document
	// table is the compiled document, or nil if it is invalid.
	table       *route.Table
	status      DocumentStatus
	confirmedAt time.Time
	from        string
	// orders contains the orders returned by the source. Updates from peers carry them in status.
	orders orders
}

func (n documentUpdate) apply(f *Follower, view *View) func() {
	if !n.orders.contiguous(view) {
		return nil
	}
	if n.orders.at > 0 && n.orders.at < view.ordersRevision() {
		f.logOlder("document", n.orders.at, view.ordersRevision())
	}
	changed := f.updateEvacuations(view, n.orders.applyEvacuations(view.Evacuations()))
	changed = f.updateEvacuations(view, n.status.Evacuations) || changed
	changed = f.updateRollouts(view, n.orders.applyRollouts(view.Rollouts())) || changed
	changed = f.updateRollouts(view, n.status.Rollouts) || changed
	return f.notifyIf(changed, n.applyDocument(f, view))
}

// applyDocument activates a newer document or confirms the current one.
func (n documentUpdate) applyDocument(f *Follower, view *View) func() {
	if n.document.Revision > view.Document.Revision || n.replaces(view) {
		return n.activate(f, view)
	}
	view.confirmDocument(n.status, n.confirmedAt)
	return nil
}

// replaces reports whether the document is valid and newer than the one in force.
func (n documentUpdate) replaces(view *View) bool {
	return n.table != nil && DocumentID{Version: n.table.Version, Revision: n.document.Revision}.newerThan(view.InForce())
}

// activate puts the document in force unless it is invalid or has an older version.
func (n documentUpdate) activate(f *Follower, view *View) func() {
	fields := logrus.Fields{"event": "configuration_in_force", "revision": n.document.Revision, "from": n.from}
	if n.table == nil {
		view.reject(n.status, n.confirmedAt)
		return nil
	}
	fields["version"] = n.table.Version
	if view.Table != nil && n.table.Version < view.Table.Version {
		view.reject(n.status, n.confirmedAt)
		fields["event"], fields["in_force"] = "configuration_older", view.Table.Version
		f.log.WithFields(fields).Warn()
		return nil
	}
	now := f.clock.Now()
	lacked, _ := view.Lacking(now)
	view.Table, view.Document = n.table, n.document
	view.DocumentAt, view.DocumentConfirmed = max(view.DocumentAt, n.status.At), n.confirmedAt
	view.documentActivated(now)
	fields["bytes"], fields["lacked_ms"] = len(n.document.Data), lacked.Milliseconds()
	f.log.WithFields(fields).Info()
	return f.announceDocument
}

// statusUpdate contains a peer's document status as of a time.
type statusUpdate struct {
	status DocumentStatus
	at     time.Time
}

func (n statusUpdate) apply(f *Follower, view *View) func() {
	ordered := f.updateEvacuations(view, n.status.Evacuations)
	ordered = f.updateRollouts(view, n.status.Rollouts) || ordered
	view.confirmDocument(n.status, n.at)
	now := f.clock.Now()
	had := view.noteDocument(n.status.id(), true, now)
	heard := view.noteDocument(n.status.newest(), false, now)
	return f.notifyIf(ordered, f.notifyIfNew(had || heard))
}

// peerDocumentUpdate identifies the document that a peer has in force.
type peerDocumentUpdate DocumentID

func (n peerDocumentUpdate) apply(f *Follower, view *View) func() {
	return f.notifyIfNew(view.noteDocument(DocumentID(n), true, f.clock.Now()))
}

// notifyIfNew returns a function that announces a newly discovered document and starts to
// fetch the document from a peer. It returns nil if the document is not new.
func (f *Follower) notifyIfNew(isNew bool) func() {
	if !isNew {
		return nil
	}
	return func() {
		f.history.notifyWaiters()
		f.wakeDocumentFetcher()
	}
}

// outageGraceExpired drops the endpoints retained after an outage.
type outageGraceExpired struct{}

func (outageGraceExpired) apply(f *Follower, view *View) func() {
	if lapsed := len(view.Fleet.All()) - len(view.listed.All()); lapsed > 0 {
		f.log.WithFields(logrus.Fields{"event": "endpoints_lapsed", "endpoints": lapsed, "revision": view.listed.Revision}).Info()
	}
	view.Fleet = view.listed
	return nil
}
