package discovery

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// rolledAfter returns which rollouts are ordered after the orders, where others were known before: those, if
// the orders are older.
func (o orders) rolledAfter(known fleet.Rollouts) fleet.Rollouts {
	if o.at <= known.Revision {
		return known
	}
	if o.since == 0 {
		known = fleet.Rollouts{}
	}
	return known.With(o.at, o.rollouts)
}

// roll takes in which rollouts are ordered, and tells whether that changes anything. What is older than
// what the view knows changes nothing.
func (f *Follower) roll(view *View, r fleet.Rollouts) bool {
	before := view.Rollouts()
	// An endpoint may have waited for word of the orders, so that their revision alone may change something.
	view.change(func(s *fleet.Snapshot) *fleet.Snapshot { return s.Roll(r) })
	after := view.Rollouts()
	if after.Same(before) {
		return false
	}
	for _, order := range after.Orders {
		if known, _ := before.Of(order.Service); known != order {
			f.logRollout("rollout_ordered", order)
		}
	}
	for _, order := range before.Orders {
		if _, still := after.Of(order.Service); !still {
			f.logRollout("rollout_withdrawn", order)
		}
	}
	return true
}

func (f *Follower) logRollout(event string, order fleet.Rollout) {
	f.log.WithFields(logrus.Fields{
		"event": event, "service": order.Service, "version": order.Version, "over_ms": order.OverMs, "order": order.Revision,
	}).Info()
}

// refuseRollouts logs what was written in the place of orders and is none; it changes nothing.
func (f *Follower) refuseRollouts(given []fleet.RolloutOrder) {
	for _, order := range given {
		if order.Refused != "" {
			f.log.WithFields(logrus.Fields{"event": "rollout_refused", "service": order.Service, "order": order.Revision}).Warn(order.Refused)
		}
	}
}

// Stand takes in how rollouts stand, as this instance is to go by. It returns when that is in the view, or
// the context ends.
func (f *Follower) Stand(ctx context.Context, standings fleet.Standings) {
	f.deliver(ctx, standNews(standings))
}

// standNews are how rollouts stand.
type standNews fleet.Standings

func (n standNews) apply(_ *Follower, view *View) func() {
	view.change(func(s *fleet.Snapshot) *fleet.Snapshot { return s.Stand(fleet.Standings(n)) })
	return nil
}
