package handover

import (
	"context"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// Look is called each second. The owner of the first part decides whether the endpoints are to be
// cut into other parts, and an owner hands a part over that another instance is better able to own.
func (r *Router) Look() {
	if r.owners.leftAt.Load() != nil || r.clock.Now().Before(r.owners.joined) {
		return
	}
	if r.claims.owns(pipeline.Part{Of: r.divisions.inForce().Parts}) {
		r.divisions.look()
	}
	if !r.settle() {
		r.relieve()
	}
}

// relieve hands a part over, as a planned stop does, if this instance is not able to own any, or
// owns several, while another that is able owns none.
func (r *Router) relieve() {
	parts := r.divisions.inForce().Parts
	own := slices.DeleteFunc(r.claims.own(), func(c ownership.Claim) bool { return c.Part.Of != parts })
	if len(own) == 0 || r.giving.Swap(true) {
		return
	}
	part := own[len(own)-1].Part
	successors := r.owners.relief(part, len(own), r.claims.holders(parts))
	if len(successors) == 0 {
		r.giving.Store(false)
		return
	}
	go func() {
		defer r.giving.Store(false)
		if r.answers(successors[0]) {
			r.giveToFirst(part, successors[:1], "abler")
		}
	}()
}

// answers tells whether an instance is reached. Members of other failure domains are not heard
// often enough to tell that they are cut off; a part that is given to such a one is planned by nobody
// for takeTimeout, and an owner inside a cut would give it again each second.
func (r *Router) answers(owner ownership.Owner) bool {
	reached := r.ping(owner.PeerAddress)
	if !reached {
		r.owners.suspect(owner.PeerAddress)
	}
	return reached
}

// ping tells whether the instance at an address answers within takeTimeout.
func (r *Router) ping(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	return r.client.Call(ctx, address, api.MethodPing, struct{}{}, &struct{}{}) == nil
}

// relief returns the members that should own a part rather than this instance, which owns so many:
// those that are able and own none. There are none if this instance is able itself, of the part's
// region, and owns one; if it is not of the region, those that are.
func (o *owners) relief(part pipeline.Part, owned int, holders map[string]bool) []ownership.Owner {
	var free []ownership.Owner
	able, displaced := false, o.elsewhere(part, owner{Self: o.self})
	for _, candidate := range o.ranked(part) {
		if candidate.Name == o.self.Name {
			able = candidate.able
			continue
		}
		if candidate.able && !holders[candidate.Name] && !(displaced && o.elsewhere(part, candidate)) {
			free = append(free, candidate.Owner())
		}
	}
	if able && owned <= 1 && !displaced {
		return nil
	}
	return free
}
