package gateway

import (
	"context"

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
	return r.follower.View().Fleet.Versions(order)
}

// Stand implements rollout.View.
func (r rolling) Stand(ctx context.Context, standings fleet.Standings) {
	r.follower.Stand(ctx, standings)
}
