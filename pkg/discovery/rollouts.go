package discovery

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// applyRollouts returns the rollouts in force after the orders are applied to known. It returns
// known if the orders are older.
func (o orders) applyRollouts(known fleet.Rollouts) fleet.Rollouts {
	if o.at <= known.Revision {
		return known
	}
	if o.since == 0 {
		known = fleet.Rollouts{}
	}
	return known.With(o.at, o.rollouts)
}

// updateRollouts applies rollouts to the view and reports whether they changed. Rollouts older than
// the view's are ignored.
func (f *Follower) updateRollouts(view *View, r fleet.Rollouts) bool {
	before := view.Rollouts()
	f.settleOrders(before.Revision, r.Revision)
	// A newer revision alone may admit endpoints that were withheld until the orders were known.
	view.updateSnapshots(func(s *fleet.Snapshot) *fleet.Snapshot { return s.WithRollouts(r) })
	if len(r.Retained) > 0 && f.adoptsRetained(view.Rollouts().Revision, r.Revision) {
		view.updateSnapshots(func(s *fleet.Snapshot) *fleet.Snapshot { return s.RetainRollouts(r.Retained) })
	}
	after := view.Rollouts()
	if after.Same(before) {
		return false
	}
	for _, order := range after.InForce() {
		if known, _ := before.ForService(order.Service); known.Revision != order.Revision {
			f.logRollout("rollout_ordered", order)
		}
	}
	for _, order := range before.InForce() {
		if _, still := after.ForService(order.Service); !still {
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

// logInvalidRollouts logs invalid rollout orders, which are ignored.
func (f *Follower) logInvalidRollouts(given []fleet.RolloutOrder) {
	for _, order := range given {
		if order.Refused != "" {
			f.log.WithFields(logrus.Fields{"event": "rollout_refused", "service": order.Service, "order": order.Revision}).Warn(order.Refused)
		}
	}
}

// SetRolloutStates applies the states of the rollouts that this instance follows. It returns once
// they are in the view or ctx is done.
func (f *Follower) SetRolloutStates(ctx context.Context, states fleet.RolloutStates) {
	f.deliver(ctx, rolloutStatesUpdate(states))
}

// rolloutStatesUpdate contains the states of the rollouts.
type rolloutStatesUpdate fleet.RolloutStates

func (n rolloutStatesUpdate) apply(_ *Follower, view *View) func() {
	view.updateSnapshots(func(s *fleet.Snapshot) *fleet.Snapshot { return s.WithRolloutStates(fleet.RolloutStates(n)) })
	return nil
}
