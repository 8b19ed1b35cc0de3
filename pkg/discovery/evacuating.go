package discovery

import (
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// orders are what the source told of evacuations and rollouts, as of a revision: those that were given
// since an earlier one, or if that is 0 all that are in force. The zero value tells nothing.
type orders struct {
	since    uint64
	at       uint64
	given    []fleet.Evacuation
	rollouts []fleet.RolloutOrder
}

// follow tells whether the orders follow what is known: not if some before them are not known.
func (o orders) follow(known *View) bool { return o.since <= known.knownOrders() }

// after returns what holds after the orders, where others were known before: those, if the orders
// are older.
func (o orders) after(known fleet.Evacuations) fleet.Evacuations {
	if o.at <= known.Revision {
		return known
	}
	if o.since == 0 {
		known = fleet.Evacuations{}
	}
	return known.With(o.at, o.given)
}

// evacuate takes in which failure domains are evacuated, and tells whether that changes anything.
// What is older than what the view knows changes nothing.
func (f *Follower) evacuate(view *View, e fleet.Evacuations) bool {
	before := view.Evacuations()
	view.listed = view.listed.Evacuate(e)
	after := view.Evacuations()
	if after.Same(before) {
		return false
	}
	view.Fleet = f.lapses.keep(f.clock.Now(), view.Fleet, view.listed)
	evacuated, returned := after.Changed(before)
	for _, domain := range evacuated {
		f.logEvacuation("domain_evacuated", domain, view)
	}
	for _, domain := range returned {
		f.logEvacuation("domain_returned", domain, view)
	}
	return true
}

// logEvacuation logs a change of a failure domain. One without endpoints may be misspelt.
func (f *Follower) logEvacuation(event, domain string, view *View) {
	f.log.WithFields(logrus.Fields{
		"event": event, "domain": domain, "endpoints": view.listed.In(domain), "revision": view.Evacuations().Revision,
	}).Info()
}

// refuseMalformed logs orders that name no failure domain; they change nothing.
func (f *Follower) refuseMalformed(given []fleet.Evacuation, revision uint64) {
	for _, order := range given {
		if order.Domain == "" {
			f.log.WithFields(logrus.Fields{"event": "evacuation_refused", "revision": revision}).Warn("the order names no failure domain; remove it and give one that does")
		}
	}
}

// wakeIf returns what is to be done after news: if they changed what others rely on this instance
// for, those are told first.
func (f *Follower) wakeIf(changed bool, then func()) func() {
	if !changed {
		return then
	}
	return func() {
		f.history.wake()
		if then != nil {
			then()
		}
	}
}
