package discovery

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// news is something learnt. The goroutine that owns the view applies it.
type news interface {
	// apply changes a copy of the view, and returns what is to be done once that is the view;
	// nil if nothing is.
	apply(f *Follower, view *View) (then func())
}

// stateNews are all endpoints, confirmed at a time, and when the source was heard.
type stateNews struct {
	state State
	at    time.Time
	heard time.Time
}

func (n stateNews) apply(f *Follower, view *View) func() {
	if n.state.Revision < view.listed.Revision {
		return nil
	}
	f.dropRefused(view, n.state.Refused)
	before := view.listed.Revision
	view.listed = view.listed.Replace(n.state.Revision, n.state.Endpoints)
	f.confirmEndpoints(view, n.at, n.heard)
	if n.state.Revision == before {
		return nil
	}
	f.history.restart()
	return f.history.wake
}

// changeNews are changes of the endpoints after a revision, confirmed at a time, and when the source
// was heard.
type changeNews struct {
	changes Changes
	since   uint64
	at      time.Time
	heard   time.Time
}

func (n changeNews) apply(f *Follower, view *View) func() {
	before := view.listed.Revision
	if n.since > before || n.changes.Revision < before {
		// They follow what the view does not have, or it knows more already. They confirm
		// nothing.
		return nil
	}
	f.dropRefused(view, n.changes.Endpoints)
	view.listed = view.listed.With(n.changes.Revision, n.changes.Endpoints)
	f.confirmEndpoints(view, n.at, n.heard)
	f.history.add(before, n.changes)
	return f.history.wake
}

// dropRefused logs and counts the entries that name no endpoint to use, and drops the endpoints that
// were known under their names: those have not lapsed in an outage, after which they would be kept for a
// while.
func (f *Follower) dropRefused(view *View, changes []fleet.Change) {
	for _, c := range changes {
		if c.Refused == "" {
			continue
		}
		f.refusedEntries.Add(1)
		f.log.WithFields(logrus.Fields{"event": "entry_refused", "entry": c.Endpoint.Name(), "error": c.Refused}).Warn()
		view.Fleet = view.Fleet.With(view.Fleet.Revision, []fleet.Change{c})
	}
}

// documentNews is a document that was the newest as of a revision of the source, confirmed
// at a time.
type documentNews struct {
	document Document
	// table is what it compiles to; nil if it does not.
	table *route.Table
	mark  Mark
	at    time.Time
	from  string
	// orders are those that the source told; a peer tells what holds in its mark.
	orders orders
}

func (n documentNews) apply(f *Follower, view *View) func() {
	if !n.orders.follow(view) {
		return nil
	}
	changed := f.evacuate(view, n.orders.after(view.Evacuations()))
	changed = f.evacuate(view, n.mark.Evacuations) || changed
	changed = f.roll(view, n.orders.rolledAfter(view.Rollouts())) || changed
	changed = f.roll(view, n.mark.Rollouts) || changed
	return f.wakeIf(changed, n.takeDocument(f, view))
}

// takeDocument takes the document in, or that there is no newer one.
func (n documentNews) takeDocument(f *Follower, view *View) func() {
	if n.document.Revision > view.Document.Revision {
		return n.putInForce(f, view)
	}
	view.confirmDocument(n.mark, n.at)
	return nil
}

// putInForce takes the document in, unless it does not compile or is an older version.
func (n documentNews) putInForce(f *Follower, view *View) func() {
	fields := logrus.Fields{"event": "configuration_in_force", "revision": n.document.Revision, "from": n.from}
	if n.table == nil {
		view.refuse(n.mark, n.at)
		return nil
	}
	fields["version"] = n.table.Version
	if view.Table != nil && n.table.Version < view.Table.Version {
		view.refuse(n.mark, n.at)
		fields["event"], fields["in_force"] = "configuration_older", view.Table.Version
		f.log.WithFields(fields).Warn()
		return nil
	}
	now := f.clock.Now()
	lacked, _ := view.Lacking(now)
	view.Table, view.Document = n.table, n.document
	view.DocumentAt, view.DocumentConfirmed = max(view.DocumentAt, n.mark.At), n.at
	view.caughtUp(now)
	fields["bytes"], fields["lacked_ms"] = len(n.document.Data), lacked.Milliseconds()
	f.log.WithFields(fields).Info()
	return f.tellDocument
}

// markNews is what a peer told of its document, as of a time.
type markNews struct {
	mark Mark
	at   time.Time
}

func (n markNews) apply(f *Follower, view *View) func() {
	ordered := f.evacuate(view, n.mark.Evacuations)
	ordered = f.roll(view, n.mark.Rollouts) || ordered
	view.confirmDocument(n.mark, n.at)
	now := f.clock.Now()
	had := view.hear(n.mark.Revision, true, now)
	heard := view.hear(n.mark.Newest, false, now)
	return f.wakeIf(ordered, f.spread(had || heard))
}

// rumourNews is the revision of a document that a peer has in force.
type rumourNews uint64

func (n rumourNews) apply(f *Follower, view *View) func() {
	return f.spread(view.hear(uint64(n), true, f.clock.Now()))
}

// spread returns what is to be done when word came of a document that was not heard of
// before: it is told on, and the document taken from a peer.
func (f *Follower) spread(isNew bool) func() {
	if !isNew {
		return nil
	}
	return func() {
		f.history.wake()
		f.wantDocument()
	}
}

// lapseNews says that endpoints kept after an outage are to be taken as gone.
type lapseNews struct{}

func (lapseNews) apply(f *Follower, view *View) func() {
	if lapsed := len(view.Fleet.All()) - len(view.listed.All()); lapsed > 0 {
		f.log.WithFields(logrus.Fields{"event": "endpoints_lapsed", "endpoints": lapsed, "revision": view.listed.Revision}).Info()
	}
	view.Fleet = view.listed
	return nil
}
