package discovery

import (
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// orders contains the evacuations and rollouts that the source returned as of a revision: those
// given after since, or all that are in force if since is 0. The zero value contains none.
type orders struct {
	since       revision.Revision
	at          revision.Revision
	evacuations []fleet.Evacuation
	rollouts    []fleet.RolloutOrder
}

// contiguous reports whether no order is missing between the view's orders and these.
func (o orders) contiguous(known *View) bool { return o.since <= known.ordersRevision() }

// applyEvacuations returns the evacuations in force after the orders are applied to known. It
// returns known if the orders are older.
func (o orders) applyEvacuations(known fleet.Evacuations) fleet.Evacuations {
	if o.at <= known.Revision {
		return known
	}
	if o.since == 0 {
		known = fleet.Evacuations{}
	}
	return known.With(o.at, o.evacuations)
}

// updateEvacuations applies evacuations to the view and reports whether they changed. Evacuations
// older than the view's are ignored.
func (f *Follower) updateEvacuations(view *View, e fleet.Evacuations) bool {
	before := view.Evacuations()
	f.settleOrders(before.Revision, e.Revision)
	view.listed = view.listed.WithEvacuations(e)
	if len(e.Retained) > 0 && f.adoptsRetained(view.Evacuations().Revision, e.Revision) {
		view.listed = view.listed.RetainEvacuations(e.Retained)
	}
	return f.evacuationsChanged(view, before)
}

// evacuationsChanged logs how the evacuations differ from those before, updates the retained endpoints
// and reports whether there is a difference.
func (f *Follower) evacuationsChanged(view *View, before fleet.Evacuations) bool {
	evacuated, returned := view.Evacuations().Changed(before)
	if len(evacuated) == 0 && len(returned) == 0 {
		return false
	}
	view.Fleet = f.outageGrace.retain(f.clock.Now(), view.Fleet, view.listed)
	for _, domain := range evacuated {
		f.logEvacuation("domain_evacuated", domain, view)
	}
	for _, domain := range returned {
		f.logEvacuation("domain_returned", domain, view)
	}
	return true
}

// logEvacuation logs a change of a failure domain. The number of endpoints helps to spot a misspelt
// name.
func (f *Follower) logEvacuation(event, domain string, view *View) {
	f.log.WithFields(logrus.Fields{
		"event": event, "domain": domain, "endpoints": view.listed.CountInDomain(domain), "revision": view.Evacuations().Revision,
	}).Info()
}

// logInvalidEvacuations logs orders without a failure domain, which are ignored.
func (f *Follower) logInvalidEvacuations(given []fleet.Evacuation, at revision.Revision) {
	for _, order := range given {
		if order.Domain == "" {
			f.log.WithFields(logrus.Fields{"event": "evacuation_refused", "revision": at}).Warn("evacuation order names no failure domain; remove it and create one that does")
		}
	}
}

// notifyIf returns the function to call after an update. If the update changed data that is relayed
// to other instances, the function notifies the waiting requests first.
func (f *Follower) notifyIf(changed bool, then func()) func() {
	if !changed {
		return then
	}
	return func() {
		f.history.notifyWaiters()
		if then != nil {
			then()
		}
	}
}
