package handover

import (
	"context"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// Tick runs the periodic ownership checks, once per second. The owner of the first part
// re-evaluates the division; every owner checks whether to transfer a part.
func (r *Router) Tick() {
	if r.owners.leftAt.Load() != nil || r.clock.Now().Before(r.owners.joinedAt) {
		return
	}
	if r.claims.owns(pipeline.Part{Of: r.divisions.current().Parts}) {
		r.divisions.update()
	}
	if !r.settleProvisional() {
		r.rebalance()
	}
}

// rebalance transfers one part if this instance's machine is too small, or if it owns several parts
// while another capable instance owns none.
func (r *Router) rebalance() {
	parts := r.divisions.current().Parts
	own := slices.DeleteFunc(r.claims.own(), func(c ownership.Claim) bool { return c.Part.Of != parts })
	if len(own) == 0 || r.transferring.Swap(true) {
		return
	}
	part := own[len(own)-1].Part
	successors := r.owners.transferTargets(part, len(own), r.claims.holders(parts))
	if len(successors) == 0 {
		r.transferring.Store(false)
		return
	}
	go func() {
		defer r.transferring.Store(false)
		if r.probe(successors[0]) {
			r.transferToFirst(part, successors[:1], "abler")
		}
	}()
}

// probe pings an instance and suspects it if it does not respond. Heartbeats from other failure
// domains are too rare to detect a partition, and a part that is transferred to an unreachable
// instance has no planner for transferTimeout.
func (r *Router) probe(owner ownership.Owner) bool {
	reached := r.ping(owner.PeerAddress)
	if !reached {
		r.owners.suspect(owner.PeerAddress)
	}
	return reached
}

// ping reports whether the instance at an address responds within transferTimeout.
func (r *Router) ping(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	return r.client.Call(ctx, address, api.MethodPing, struct{}{}, &struct{}{}) == nil
}

// transferTargets returns the members to which this instance should transfer a part: capable
// instances that own no part. The result is empty if this instance is capable, is in the part's
// region and owns only one part. If it is outside the region, only instances of the region are
// returned.
func (o *owners) transferTargets(part pipeline.Part, owned int, holders map[string]bool) []ownership.Owner {
	var targets []ownership.Owner
	capable, outside := false, o.outsideRegion(part, owner{Instance: o.self})
	for _, candidate := range o.ranked(part) {
		if candidate.Name == o.self.Name {
			capable = candidate.capable
			continue
		}
		if candidate.capable && !holders[candidate.Name] && !(outside && o.outsideRegion(part, candidate)) {
			targets = append(targets, candidate.Owner())
		}
	}
	if capable && owned <= 1 && !outside {
		return nil
	}
	return targets
}
