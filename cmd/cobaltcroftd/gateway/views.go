package gateway

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
	"github.com/cobaltcroft/cobaltcroft/platform"
)

// batchView is the batcher's view of services and endpoints.
type batchView struct {
	follower *discovery.Follower
	rests    *notice.Backoffs
}

// Batching implements batch.Known.
func (k batchView) Batching(service string) *route.Batching {
	table := k.follower.View().Table
	if table == nil || table.Service(service) == nil {
		return nil
	}
	return table.Service(service).Batching
}

// Ready implements batch.Known.
func (k batchView) Ready(service string) []fleet.Endpoint {
	return k.follower.View().Fleet.Ready(service)
}

// Endpoint implements batch.Known.
func (k batchView) Endpoint(id string) (fleet.Endpoint, bool) {
	return k.follower.View().Fleet.Endpoint(id)
}

// Backoff implements batch.Known.
func (k batchView) Backoff(id string) time.Duration { return k.rests.Remaining(id) }

// originView is the origin registry's view of the endpoints.
type originView struct{ follower *discovery.Follower }

var _ origin.View = originView{}

// Endpoints implements origin.View.
func (v originView) Endpoints() (endpoints []fleet.Endpoint, confirmed time.Time) {
	view := v.follower.View()
	return view.Fleet.All(), view.Confirmed
}

// originEndpoints asks endpoints for the origin registry.
type originEndpoints struct{ *Gateway }

var _ origin.Endpoints = originEndpoints{}

// Incarnation implements origin.Endpoints.
func (o originEndpoints) Incarnation(ctx context.Context, e fleet.Endpoint) (string, error) {
	return platform.Incarnations{Conns: o.conns, Held: o.held}.Incarnation(ctx, e)
}

// Limited implements origin.Endpoints. A question uses up a permit of an endpoint with a rate limit.
func (o originEndpoints) Limited(e fleet.Endpoint) bool {
	_, limited := o.rateLimits.PerSecond(e.ID)
	return limited
}
