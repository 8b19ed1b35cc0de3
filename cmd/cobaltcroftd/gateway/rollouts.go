package gateway

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// rolloutView is the rollout manager's view of orders and endpoints.
type rolloutView struct{ follower *discovery.Follower }

var _ rollout.View = rolloutView{}

// Rollouts implements rollout.View.
func (r rolloutView) Rollouts() fleet.Rollouts { return r.follower.View().Rollouts() }

// Versions implements rollout.View.
func (r rolloutView) Versions(order fleet.Rollout) (of, others int) {
	return r.follower.View().Fleet.CountVersions(order)
}

// awaitsInstruction reports whether a service has only endpoints of a version that is still
// withheld because this instance has not received the first instruction. Other instances may serve
// it already.
func (g *Gateway) awaitsInstruction(view *discovery.View) bool {
	for _, order := range view.Rollouts().InForce() {
		of, others := view.Fleet.CountVersions(order)
		withheld := view.Fleet.RolloutState(order.Revision).Exposure == fleet.Withheld
		if withheld && of > 0 && others == 0 && g.rollouts.AwaitsInstruction(order) {
			return true
		}
	}
	return false
}

// listRollouts serves the status of the rollouts in force.
func (g *Gateway) listRollouts(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(g.rollouts.List())
}

// SetStandings implements rollout.View.
func (r rolloutView) SetStandings(ctx context.Context, standings fleet.RolloutStates) {
	r.follower.SetRolloutStates(ctx, standings)
}
