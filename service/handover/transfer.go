package handover

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// transferTimeout bounds a call that transfers a part, and a ping.
	transferTimeout = 300 * time.Millisecond
	// minRestartGap is how much later than this instance a member must have started to count as
	// already restarted in a rolling restart.
	minRestartGap = 3 * time.Second
	// minLeaveGap is how much later than this instance a leaving member must have begun to leave to
	// become a successor. Heartbeats report the state with a delay of up to a second.
	minLeaveGap = 500 * time.Millisecond
)

// Leave transfers the parts of this instance to members that stay. It is called repeatedly during
// shutdown; this instance keeps its parts until a successor is reachable.
func (r *Router) Leave() {
	r.owners.leave()
	own := r.claims.own()
	if len(own) == 0 || r.transferring.Swap(true) {
		return
	}
	go func() {
		defer r.transferring.Store(false)
		for _, claim := range own {
			r.transferToFirst(claim.Part, r.owners.successors(claim.Part), "leaving")
		}
	}()
}

// transferToFirst transfers a part to the first successor that accepts it. The cause is logged.
func (r *Router) transferToFirst(part pipeline.Part, successors []ownership.Owner, cause string) {
	for _, successor := range successors {
		// Assign the claim first, so that plans arriving during the release are redirected.
		claim := r.claims.assign(part, successor, cause)
		ledger := r.planner.Release(part)
		if r.transfer(claim, ledger) {
			return
		}
		if holder, _ := r.claims.holder(part); holder != claim {
			// Another instance claimed the part in the meantime.
			return
		}
		r.claim(part, "successor_not_reached")
		r.planner.Acquire(part, ledger)
	}
}

// yield releases a part after another instance claimed it in a later term, and sends its
// ledger to the new owner.
func (r *Router) yield(claim ownership.Claim) {
	go func() {
		ledger := r.planner.Release(claim.Part)
		if r.claims.owns(claim.Part) {
			// This instance became the owner again in the meantime.
			r.planner.Acquire(claim.Part, ledger)
			return
		}
		r.transfer(claim, ledger)
	}()
}

// transfer sends the ledger of a part to its owner and reports whether the owner accepted it.
func (r *Router) transfer(claim ownership.Claim, ledger pipeline.Ledger) bool {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	err := r.client.Call(ctx, claim.Owner.PeerAddress, api.MethodTransfer, api.TransferRequest{Claim: claim, Ledger: ledger}, &struct{}{})
	fields := logrus.Fields{"event": "part_given", "part": claim.Part.Number, "term": claim.Term, "to": claim.Owner.Name, "endpoints": len(ledger.Pieces.Endpoints)}
	if err != nil {
		if !peers.IsPeerError(err) {
			r.owners.suspect(claim.Owner.PeerAddress)
		}
		r.log.WithFields(fields).Warn(err)
		return false
	}
	r.log.WithFields(fields).Info()
	return true
}

// accept accepts a part and the ledger of its previous owner.
func (r *Router) accept(call api.TransferRequest) error {
	if !r.claims.owns(call.Claim.Part) && r.mustDecline() {
		return errLeaving("transfer the part to another instance")
	}
	r.claims.merge([]ownership.Claim{call.Claim}, "handed_over")
	if call.Claim.Owner != r.owners.self.Owner() || !r.claims.owns(call.Claim.Part) {
		return problem.New(problem.Conflict, "send the ledger to the owner named in heartbeats", "part %d of %d is not owned by this instance in term %d", call.Claim.Part.Number, call.Claim.Part.Of, call.Claim.Term)
	}
	r.planner.Acquire(call.Claim.Part, call.Ledger)
	return nil
}

// mustDecline reports whether this instance must not accept a part, because it is leaving while
// another member stays.
func (r *Router) mustDecline() bool {
	return r.owners.leftAt.Load() != nil && !r.owners.noStayingMember()
}

func errLeaving(remedy string) error {
	return problem.New(problem.Unavailable, remedy, "this instance is leaving")
}

// successors returns the members that may take over a part from this instance, in order of
// preference. Among capable machines, recently restarted members come first, since they stay for
// the rest of a rolling restart. If all members are leaving, those that leave later than this
// instance are returned.
func (o *owners) successors(part pipeline.Part) []ownership.Owner {
	list := slices.DeleteFunc(o.ranked(part), func(candidate owner) bool { return candidate.Name == o.self.Name })
	restarted := func(candidate owner) bool { return candidate.Incarnation > o.self.Incarnation+uint64(minRestartGap) }
	slices.SortStableFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.capable, a.capable), compareBool(restarted(b), restarted(a)))
	})
	var successors []ownership.Owner
	for _, candidate := range list {
		successors = append(successors, candidate.Owner())
	}
	if len(list) == 0 {
		for _, m := range o.leavingLater() {
			successors = append(successors, m.Owner())
		}
	}
	return successors
}

// leave records that this instance is leaving.
func (o *owners) leave() {
	now := o.clock.Now()
	o.leftAt.CompareAndSwap(nil, &now)
}

// leavingLater returns the leaving members that began to leave after this instance, the latest
// first. It returns none if this instance is not leaving.
func (o *owners) leavingLater() []membership.Member {
	leftAt := o.leftAt.Load()
	if leftAt == nil {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(o.leavingMembers()), func(m membership.Member) bool {
		return o.suspected(m.PeerAddress) || m.StateSince.Sub(*leftAt) < minLeaveGap
	})
	slices.SortFunc(list, func(a, b membership.Member) int { return b.StateSince.Compare(a.StateSince) })
	return list
}

// noStayingMember reports whether no reachable member stays.
func (o *owners) noStayingMember() bool {
	return !slices.ContainsFunc(o.live(), func(m membership.Member) bool { return !o.suspected(m.PeerAddress) })
}

// reachable reports whether an owner is considered reachable. A remote owner is reachable if it is
// not suspected and no later incarnation of it is known; an owner with this instance's name only if
// the incarnation matches too.
func (o *owners) reachable(owner ownership.Owner) bool {
	if owner.Name == o.self.Name {
		return owner == o.self.Owner()
	}
	if o.suspected(owner.PeerAddress) {
		return false
	}
	m, known := o.member(owner)
	return !known || m.Incarnation <= owner.Incarnation
}

// member returns the live member with an owner's name.
func (o *owners) member(owner ownership.Owner) (membership.Member, bool) {
	for _, m := range o.live() {
		if m.Name == owner.Name {
			return m, true
		}
	}
	return membership.Member{}, false
}

// isolated reports whether no other member is reachable.
func (o *owners) isolated() bool {
	return o.noStayingMember() && !slices.ContainsFunc(o.leavingMembers(), func(m membership.Member) bool { return !o.suspected(m.PeerAddress) })
}

// leavingMembers returns the members that are leaving.
func (o *owners) leavingMembers() []membership.Member {
	if o.leaving == nil {
		return nil
	}
	return o.leaving()
}
