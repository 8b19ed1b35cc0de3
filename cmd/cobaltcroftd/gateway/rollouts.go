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

// rolling is what rollouts know of orders and endpoints.
type rolling struct{ follower *discovery.Follower }

var _ rollout.View = rolling{}

// Rollouts implements rollout.View.
func (r rolling) Rollouts() fleet.Rollouts { return r.follower.View().Rollouts() }

// Versions implements rollout.View.
func (r rolling) Versions(order fleet.Rollout) (of, others int) {
	return r.follower.View().Fleet.CountVersions(order)
}

// lacksVersions tells whether a service has endpoints of none but a version that is withheld, since this instance has
// not heard yet that it is proven: it would refuse what others serve.
func (g *Gateway) lacksVersions(view *discovery.View) bool {
	for _, order := range view.Rollouts().Orders {
		of, others := view.Fleet.CountVersions(order)
		withheld := view.Fleet.RolloutState(order.Revision).Exposure == fleet.Withheld
		if withheld && of > 0 && others == 0 && g.rollouts.Awaits(order) {
			return true
		}
	}
	return false
}

// listRollouts tells how the rollouts in force stand here.
func (g *Gateway) listRollouts(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(g.rollouts.List())
}

// Stand implements rollout.View.
func (r rolling) Stand(ctx context.Context, standings fleet.RolloutStates) {
	r.follower.SetRolloutStates(ctx, standings)
}
