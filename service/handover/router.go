package handover

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	notifyTimeout = 300 * time.Millisecond
	// maxTurns bounds the instances that one plan is handed to.
	maxTurns = 6
	// silentWhenCutOff is how many instances are silent to one plan if this one is taken to be
	// cut off, rather than them to have failed.
	silentWhenCutOff = 2
)

// Router has the stages of requests made by the owner of their part. Safe for concurrent
// use.
type Router struct {
	owners    *owners
	claims    *claims
	client    caller
	planner   *pipeline.Planner
	makers    makers
	divisions *divisions
	clock     clockwork.Clock
	log       *logrus.Entry
	progress  *progress
	// giving says that a part is being handed over.
	giving atomic.Bool
	// busy are the regions that refused a plan lately.
	busy busyRegions
}

var _ gateway.Stages = (*Router)(nil)

// caller calls the methods of peers.
type caller interface {
	// Call calls a method of the peer at an address, and reads its answer into result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message that has no answer. It may be lost.
	Notify(ctx context.Context, address, method string, params any) error
}

var _ caller = (*peers.Client)(nil)

// makers give up results.
type makers interface {
	// Free gives results up where they were made.
	Free(results []batch.Result)
	// Repartition returns results with the queues of their makers among so many parts.
	Repartition(results []batch.Result, parts int) []batch.Result
}

var _ makers = (*batch.Batcher)(nil)

// Options of a router.
type Options struct {
	Self membership.Self
	// Live returns the other live members, Leaving those that leave; nil: none.
	Live    func() []membership.Member
	Leaving func() []membership.Member
	// Contacts are the peer addresses of the settings, which own the parts at first.
	Contacts []string
	Client   caller
	Planner  *pipeline.Planner
	Batcher  *batch.Batcher
	// Supply returns how many endpoints there are; Regions has the region of each failure domain.
	Supply  func() ownership.Supply
	Regions ownership.Regions
	// Tell has all others told at once of an owner or a division that was decided on here; nil: with
	// the next heartbeat.
	Tell  func()
	Clock clockwork.Clock
	Log   *logrus.Entry
}

// NewRouter returns a router.
func NewRouter(o Options) *Router {
	r := &Router{
		owners:   newOwners(o.Clock, o.Self, o.Live, o.Contacts),
		client:   o.Client,
		planner:  o.Planner,
		makers:   o.Batcher,
		clock:    o.Clock,
		log:      o.Log,
		progress: newProgress(),
		busy:     busyRegions{until: map[string]time.Time{}},
	}
	r.owners.leaving, r.owners.regions = o.Leaving, o.Regions
	tell := o.Tell
	if tell == nil {
		tell = func() {}
	}
	r.divisions = &divisions{clock: o.Clock, log: o.Log, supply: o.Supply, regions: o.Regions, home: o.Regions.In(o.Self.FailureDomain), decided: tell, changed: func(d ownership.Division) { go r.divided(d) }}
	r.claims = newClaims(o.Clock, o.Log, o.Self.Owner())
	r.claims.changed, r.claims.lost, r.claims.staysWith = tell, r.superseded, r.owners.staysWith
	r.claims.won = func(won ownership.Claim) { r.planner.Resume(won.Part) }
	return r
}

// Claims returns what the others are told of the owners of parts: of the division in force.
func (r *Router) Claims() []ownership.Claim {
	parts := r.divisions.inForce().Parts
	return slices.DeleteFunc(r.claims.told(), func(c ownership.Claim) bool { return c.Part.Of != parts })
}

// HearClaims takes in what another instance tells of the owners of parts.
func (r *Router) HearClaims(heard []ownership.Claim) { r.claims.hear(heard, "heard") }

// Division returns the division that the others are told of; the zero one if none is agreed on.
func (r *Router) Division() ownership.Division { return r.divisions.agreed() }

// HearDivision takes in the division that another instance goes by.
func (r *Router) HearDivision(heard ownership.Division) { r.divisions.hear(heard, "heard") }

// Run implements gateway.Stages. A plan whose division changes goes on in the next one.
func (r *Router) Run(ctx context.Context, plan pipeline.Plan) pipeline.Outcome {
	if len(plan.AllowedDomains) > 0 {
		// Its owner may stand where nothing of the request may be.
		whole := pipeline.Part{Of: 1}
		r.planner.Resume(whole)
		return r.planner.Run(ctx, whole, plan)
	}
	var refused pipeline.Outcome
	for at, region := range r.divisions.regionsFor(plan.Request) {
		if at > 0 && !r.spills(region) {
			continue
		}
		plan.Region = region
		outcome := r.runPlan(ctx, plan)
		if outcome.Reason != pipeline.Busy {
			return outcome
		}
		r.noteBusy(region)
		refused = outcome
	}
	return refused
}

// runPlan has the stages of a plan made in its region.
func (r *Router) runPlan(ctx context.Context, plan pipeline.Plan) pipeline.Outcome {
	for range maxTurns {
		outcome := r.runIn(ctx, r.divisions.partOf(plan.Request, plan.Region), plan)
		if outcome.Reason != batch.Moved {
			return outcome
		}
		plan.Completed = outcome.Completed
		if ctx.Err() != nil {
			break
		}
	}
	r.freeMade(plan.Completed)
	return pipeline.Outcome{Reason: batch.Late}
}

// runIn has the stages of a plan made by the owner of a part. The plan has moved if it falls to
// another part meanwhile.
func (r *Router) runIn(ctx context.Context, part pipeline.Part, plan pipeline.Plan) pipeline.Outcome {
	turned := map[string]bool{}
	silent := 0
	for range maxTurns {
		address := r.next(part, turned)
		if address == r.owners.self.PeerAddress {
			break
		}
		outcome, err := r.handOver(ctx, address, part, plan, false)
		if err != nil {
			turned[address] = true
			silent += choose(peers.Answered(err), 0, 1)
			plan.Completed = outcome.Completed
			continue
		}
		if outcome.Reason != batch.Moved || r.outdated(part, &plan) {
			return outcome
		}
		plan.Completed = outcome.Completed
		if holder, known := r.claims.holder(part); !known || holder.Owner.PeerAddress == address {
			turned[address] = true
		}
	}
	return r.planHere(ctx, part, plan, silent < silentWhenCutOff && r.ownerless(part))
}

// ownerless tells whether this instance should claim a part when it makes a plan of it: nobody
// owns it who is reached, but others are.
func (r *Router) ownerless(part pipeline.Part) bool {
	holder, known := r.claims.holder(part)
	return (!known || !r.owners.reaches(holder.Owner)) && !r.owners.alone()
}

// choose returns one of two values.
func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// next returns the peer address of the instance that a plan is handed to: the owner if it is
// reached, else the first that would own the part.
func (r *Router) next(part pipeline.Part, turned map[string]bool) string {
	if holder, known := r.claims.holder(part); known && r.owners.reaches(holder.Owner) && !turned[holder.Owner.PeerAddress] {
		r.owners.try(holder.Owner.PeerAddress)
		return holder.Owner.PeerAddress
	}
	for _, address := range r.owners.candidates(part) {
		if !turned[address] {
			return address
		}
	}
	return r.owners.self.PeerAddress
}

// planHere has this instance's planner make the stages. It claims the part if it should; an
// instance that is cut off should not, since the owner goes on for the others.
func (r *Router) planHere(ctx context.Context, part pipeline.Part, plan pipeline.Plan, claim bool) pipeline.Outcome {
	for range maxTurns {
		if !r.claims.owns(part) {
			if claim {
				r.claim(part, "owner_not_reached")
			}
			r.planner.Resume(part)
		}
		outcome := r.planner.Run(ctx, part, plan)
		if outcome.Reason != batch.Moved || ctx.Err() != nil || r.outdated(part, &plan) {
			return outcome
		}
		plan.Completed = outcome.Completed
		if holder, known := r.claims.holder(part); known && !r.claims.owns(part) && r.owners.reaches(holder.Owner) {
			if moved, err := r.handOver(ctx, holder.Owner.PeerAddress, part, plan, false); err == nil && moved.Reason != batch.Moved {
				return moved
			}
		}
	}
	r.freeMade(plan.Completed)
	return pipeline.Outcome{Reason: batch.Late}
}

// serve has the stages of another instance's plan made: here if this instance owns the part, or
// is to own it since the owner is not reached. Where another owns it, or the caller goes by an
// older division, the answer says so.
func (r *Router) serve(ctx context.Context, call api.RunRequest) (api.RunResponse, error) {
	part, plan := call.Part, call.Plan
	r.divisions.hear(call.Division, "told_with_plan")
	if division := r.divisions.agreed(); call.Division.Parts > 0 && part.Of != division.Parts && division.Beats(call.Division) {
		return api.RunResponse{Outcome: pipeline.Outcome{Reason: batch.Moved, Completed: plan.Completed}, Division: division}, nil
	}
	r.claims.hear([]ownership.Claim{call.Owner}, "told_with_plan")
	holder, known := r.claims.holder(part)
	if known && !r.claims.owns(part) && r.owners.reaches(holder.Owner) && !call.Relayed {
		if holder != call.Owner {
			return api.RunResponse{Outcome: pipeline.Outcome{Reason: batch.Moved, Completed: plan.Completed}, Owner: holder}, nil
		}
		outcome, err := r.handOver(ctx, holder.Owner.PeerAddress, part, plan, true)
		if err == nil {
			return r.answer(call, outcome), nil
		}
		plan.Completed = outcome.Completed
	}
	if !r.claims.owns(part) {
		if r.leavesOthers() {
			return api.RunResponse{}, refuseLeaving("hand the plan to the next owner")
		}
		r.claim(part, "asked_by_peer")
		r.planner.Resume(part)
	}
	return r.answer(call, r.planner.Run(ctx, part, plan)), nil
}

// answer is an outcome with who owns the part now, and the division that holds if the caller does
// not go by it.
func (r *Router) answer(call api.RunRequest, outcome pipeline.Outcome) api.RunResponse {
	holder, _ := r.claims.holder(call.Part)
	outcome.Completed = withTimesLeft(outcome.Completed, r.clock.Now())
	ran := api.RunResponse{Outcome: outcome, Owner: holder}
	if division := r.divisions.agreed(); division.Beats(call.Division) {
		ran.Division = division
	}
	return ran
}

// handOver has the stages made by the instance at an address, or tells why it did not answer; the
// outcome then has what it told to be made.
func (r *Router) handOver(ctx context.Context, address string, part pipeline.Part, plan pipeline.Plan, relayed bool) (pipeline.Outcome, error) {
	now := r.clock.Now()
	call := api.RunRequest{Call: uuid.NewString(), Part: part, Plan: plan, DueMs: plan.Due.Sub(now).Milliseconds(), DeadlineMs: plan.Deadline.Sub(now).Milliseconds(), Relayed: relayed}
	call.Plan.Completed = withTimesLeft(plan.Completed, now)
	call.Owner, _ = r.claims.holder(part)
	call.ProgressAddress = r.owners.self.PeerAddress
	call.Division = r.divisions.inForce()
	r.progress.begin(call.Call, &plan)
	var ran api.RunResponse
	err := r.client.Call(ctx, address, api.MethodRun, call, &ran)
	made := r.progress.end(call.Call)
	if ctx.Err() != nil {
		r.cancel(address, call.Call)
		return pipeline.Outcome{Reason: batch.Late}, nil
	}
	if err != nil {
		if !peers.Answered(err) {
			r.owners.suspect(address)
		}
		r.log.WithFields(logrus.Fields{"event": "owner_silent", "id": plan.Request, "owner": address, "answered": peers.Answered(err)}).Warn(err)
		return pipeline.Outcome{Completed: made}, err
	}
	r.owners.trust(address)
	r.divisions.hear(ran.Division, "told_with_answer")
	r.claims.hear([]ownership.Claim{ran.Owner}, "told_with_answer")
	ran.Planner = address
	ran.Completed = withTimes(ran.Completed, r.clock.Now())
	return ran.Outcome, nil
}

func (r *Router) cancel(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodCancel, api.CancelRequest{Call: call}); err != nil {
		r.log.WithFields(logrus.Fields{"event": "cancel_not_sent", "owner": address}).Debug(err)
	}
}

// Free implements gateway.Stages: the owner of the part, which counts its makers' room, gives
// results up.
func (r *Router) Free(results []batch.Result) {
	byPart := map[pipeline.Part][]batch.Result{}
	for _, result := range r.rehomed(results) {
		part := pipeline.Part{Number: result.Queue.Part, Of: result.Queue.Parts}
		byPart[part] = append(byPart[part], result)
	}
	for part, own := range byPart {
		holder, known := r.claims.holder(part)
		if !known || r.claims.owns(part) || !r.owners.reaches(holder.Owner) {
			r.makers.Free(own)
			continue
		}
		go r.freeAt(holder.Owner.PeerAddress, own)
	}
}

// rehomed returns results with the queues of the division in force.
func (r *Router) rehomed(results []batch.Result) []batch.Result {
	parts := r.divisions.inForce().Parts
	made := func(result batch.Result) bool { return result.Handle != "" && result.Queue.Parts != parts }
	if !slices.ContainsFunc(results, made) {
		return results
	}
	return r.makers.Repartition(results, parts)
}

func (r *Router) freeMade(stages [][]batch.Result) {
	for _, results := range stages {
		r.Free(results)
	}
}

// ReaderFailed implements gateway.Stages.
func (r *Router) ReaderFailed(planner, endpoint string) {
	if planner == "" {
		r.planner.ReaderFailed(endpoint)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := r.client.Notify(ctx, planner, api.MethodReaderFailed, api.ReaderFailed{Endpoint: endpoint}); err != nil {
			r.log.WithFields(logrus.Fields{"event": "failure_not_told", "owner": planner, "endpoint": endpoint}).Debug(err)
		}
	}()
}

// freeAt has the owner free results, or does so itself if the owner is not reached.
func (r *Router) freeAt(address string, results []batch.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodFree, api.FreeRequest{Results: results}); err != nil {
		r.makers.Free(results)
	}
}
