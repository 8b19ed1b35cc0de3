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
	// takeTimeout bounds how long a successor may take to answer.
	takeTimeout = 300 * time.Millisecond
	// restartedAfter is by how much later than the others an instance has started that was
	// restarted since: in a rolling restart its turn is over.
	restartedAfter = 3 * time.Second
	// laterBy is by how much later an instance must have begun to leave to own a part for
	// another that leaves: heartbeats tell of it up to a second late.
	laterBy = 500 * time.Millisecond
)

// Leave has the parts of this instance handed over to others that stay. It is called again and
// again while the instance stops: as long as no other is reached, it goes on owning.
func (r *Router) Leave() {
	r.owners.leave()
	own := r.claims.own()
	if len(own) == 0 || r.giving.Swap(true) {
		return
	}
	go func() {
		defer r.giving.Store(false)
		for _, claim := range own {
			r.giveToFirst(claim.Part, r.owners.successors(claim.Part), "leaving")
		}
	}()
}

// giveToFirst hands a part over to the first of some instances that takes it. The cause is for the
// log.
func (r *Router) giveToFirst(part pipeline.Part, successors []ownership.Owner, cause string) {
	for _, successor := range successors {
		// First the claim: who asks for a plan while the part is given up is sent on.
		claim := r.claims.assign(part, successor, cause)
		ledger := r.planner.Release(part)
		if r.give(claim, ledger) {
			return
		}
		if holder, _ := r.claims.holder(part); holder != claim {
			// Another has claimed the part meanwhile.
			return
		}
		r.claim(part, "successor_not_reached")
		r.planner.Acquire(part, ledger)
	}
}

// superseded gives up a part that another instance has claimed in a later term, and hands over
// what is known of it.
func (r *Router) superseded(claim ownership.Claim) {
	go func() {
		ledger := r.planner.Release(claim.Part)
		if r.claims.owns(claim.Part) {
			// It came back meanwhile.
			r.planner.Acquire(claim.Part, ledger)
			return
		}
		r.give(claim, ledger)
	}()
}

// give tells the owner of a part what is known of it, and whether it took that.
func (r *Router) give(claim ownership.Claim, ledger pipeline.Ledger) bool {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	err := r.client.Call(ctx, claim.Owner.PeerAddress, api.MethodTransfer, api.TransferRequest{Claim: claim, Ledger: ledger}, &struct{}{})
	fields := logrus.Fields{"event": "part_given", "part": claim.Part.Number, "term": claim.Term, "to": claim.Owner.Name, "endpoints": len(ledger.Pieces.Endpoints)}
	if err != nil {
		if !peers.Answered(err) {
			r.owners.suspect(claim.Owner.PeerAddress)
		}
		r.log.WithFields(fields).Warn(err)
		return false
	}
	r.log.WithFields(fields).Info()
	return true
}

// take begins to own a part with what its owner before knew of it.
func (r *Router) take(call api.TransferRequest) error {
	if !r.claims.owns(call.Claim.Part) && r.leavesOthers() {
		return refuseLeaving("hand the part to another")
	}
	r.claims.hear([]ownership.Claim{call.Claim}, "handed_over")
	if call.Claim.Owner != r.owners.self.Owner() || !r.claims.owns(call.Claim.Part) {
		return problem.New(problem.Conflict, "tell it to the owner that the heartbeats name", "part %d of %d is not this instance's in term %d", call.Claim.Part.Number, call.Claim.Part.Of, call.Claim.Term)
	}
	r.planner.Acquire(call.Claim.Part, call.Ledger)
	return nil
}

// leavesOthers tells whether this instance leaves while another stays, which is to own its parts.
func (r *Router) leavesOthers() bool {
	return r.owners.leftAt.Load() != nil && !r.owners.noneStays()
}

func refuseLeaving(remedy string) error {
	return problem.New(problem.Unavailable, remedy, "this instance is leaving")
}

// successors returns the members that may own a part after this instance, which leaves: of those
// that are able, the ones that were restarted lately first, since in a rolling restart they stay;
// else as others would choose the next owner.
func (o *owners) successors(part pipeline.Part) []ownership.Owner {
	list := slices.DeleteFunc(o.ranked(part), func(candidate owner) bool { return candidate.Name == o.self.Name })
	restarted := func(candidate owner) bool { return candidate.Incarnation > o.self.Incarnation+uint64(restartedAfter) }
	slices.SortStableFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.able, a.able), compareBool(restarted(b), restarted(a)))
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

// leave notes that this instance leaves.
func (o *owners) leave() {
	now := o.clock.Now()
	o.leftAt.CompareAndSwap(nil, &now)
}

// leavingLater returns the members that have more time left than this instance, which leaves
// too, the one with the most first; none if this one stays.
func (o *owners) leavingLater() []membership.Member {
	leftAt := o.leftAt.Load()
	if leftAt == nil {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(o.others()), func(m membership.Member) bool {
		return o.suspected(m.PeerAddress) || m.Since.Sub(*leftAt) < laterBy
	})
	slices.SortFunc(list, func(a, b membership.Member) int { return b.Since.Compare(a.Since) })
	return list
}

// noneStays tells whether no other instance is reached that does not leave.
func (o *owners) noneStays() bool {
	return !slices.ContainsFunc(o.live(), func(m membership.Member) bool { return !o.suspected(m.PeerAddress) })
}

// reaches tells whether an owner is taken to be reached: it is this life of this instance, or it
// did not fail to answer lately and has not been succeeded by another life.
func (o *owners) reaches(owner ownership.Owner) bool {
	if owner.Name == o.self.Name {
		return owner == o.self.Owner()
	}
	if o.suspected(owner.PeerAddress) {
		return false
	}
	m, known := o.member(owner)
	return !known || m.Incarnation <= owner.Incarnation
}

// member returns the live member that has an owner's name.
func (o *owners) member(owner ownership.Owner) (membership.Member, bool) {
	for _, m := range o.live() {
		if m.Name == owner.Name {
			return m, true
		}
	}
	return membership.Member{}, false
}

// alone tells whether no other instance is reached.
func (o *owners) alone() bool {
	return o.noneStays() && !slices.ContainsFunc(o.others(), func(m membership.Member) bool { return !o.suspected(m.PeerAddress) })
}

// others returns the members that leave.
func (o *owners) others() []membership.Member {
	if o.leaving == nil {
		return nil
	}
	return o.leaving()
}
