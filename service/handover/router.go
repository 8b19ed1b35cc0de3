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
	// maxPlacementAttempts bounds the attempts to place one plan.
	maxPlacementAttempts = 6
	// partitionThreshold is how many unresponsive instances make this instance consider itself
	// partitioned, so that it claims no part.
	partitionThreshold = 2
)

// Router runs the stages of requests on the instance that owns their part. Safe for concurrent use.
type Router struct {
	owners    *owners
	claims    *claims
	client    caller
	planner   *pipeline.Planner
	results   resultStore
	divisions *divisions
	clock     clockwork.Clock
	log       *logrus.Entry
	progress  *progress
	// transferring is set while a part is being transferred.
	transferring atomic.Bool
	busy         busyRegions
	engines      engineExchange
}

var _ gateway.Stages = (*Router)(nil)

// caller sends calls to peers.
type caller interface {
	// Call calls a method of a peer and decodes the answer into result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Notify sends a message without an answer. Delivery is not guaranteed.
	Notify(ctx context.Context, address, method string, params any) error
}

var _ caller = (*peers.Client)(nil)

// resultStore manages the results held by endpoints.
type resultStore interface {
	// Free releases results on the endpoints that hold them.
	Free(results []batch.Result)
	// Repartition returns results with their queues mapped to a division into the given number of parts.
	Repartition(results []batch.Result, parts int) []batch.Result
}

var _ resultStore = (*batch.Batcher)(nil)

// Options configure a Router.
type Options struct {
	Self membership.Instance
	// Live returns the other live members, Leaving those that are leaving. Leaving may be nil.
	Live    func() []membership.Member
	Leaving func() []membership.Member
	// Contacts are the configured peer addresses, which own the parts at first.
	Contacts []string
	Client   caller
	Planner  *pipeline.Planner
	Batcher  *batch.Batcher
	// EndpointCounts returns the endpoint counts. Regions maps failure domains to regions.
	EndpointCounts func() ownership.EndpointCounts
	Regions        ownership.Regions
	// Engines holds what this instance has observed of engines, and KnownEndpoint reports whether an
	// endpoint exists. Both may be nil.
	Engines       EngineObserver
	KnownEndpoint func(id string) bool
	// SendHeartbeat triggers a heartbeat after this instance changed an owner or the division. If
	// nil, the change goes out with the next regular heartbeat.
	SendHeartbeat func()
	Clock         clockwork.Clock
	Log           *logrus.Entry
}

// NewRouter returns a router.
func NewRouter(o Options) *Router {
	r := &Router{
		owners:   newOwners(o.Clock, o.Self, o.Live, o.Contacts),
		client:   o.Client,
		planner:  o.Planner,
		results:  o.Batcher,
		clock:    o.Clock,
		log:      o.Log,
		progress: newProgress(),
		busy:     busyRegions{until: map[string]time.Time{}},
		engines:  engineExchange{observer: o.Engines, known: o.KnownEndpoint},
	}
	r.owners.leaving, r.owners.regions = o.Leaving, o.Regions
	broadcast := o.SendHeartbeat
	if broadcast == nil {
		broadcast = func() {}
	}
	r.divisions = &divisions{clock: o.Clock, log: o.Log, supply: o.EndpointCounts, regions: o.Regions, homeRegion: o.Regions.OfDomain(o.Self.FailureDomain), onDecision: broadcast, onChange: func(d ownership.Division) { go r.applyDivision(d) }}
	r.claims = newClaims(o.Clock, o.Log, o.Self.Owner())
	r.claims.onChange, r.claims.onLost, r.claims.prefersOwner = broadcast, r.yield, r.owners.prefersOwner
	r.claims.onWon = func(won ownership.Claim) { r.planner.Resume(won.Part) }
	return r
}

// Claims returns the claims to advertise in heartbeats, limited to the current division.
func (r *Router) Claims() []ownership.Claim {
	parts := r.divisions.current().Parts
	return slices.DeleteFunc(r.claims.advertised(), func(c ownership.Claim) bool { return c.Part.Of != parts })
}

// MergeClaims merges the claims in a heartbeat.
func (r *Router) MergeClaims(heard []ownership.Claim) { r.claims.merge(heard, "heard") }

// Division returns the division to advertise, or the zero value if none is agreed on.
func (r *Router) Division() ownership.Division { return r.divisions.agreed() }

// MergeDivision merges the division in a heartbeat.
func (r *Router) MergeDivision(heard ownership.Division) { r.divisions.merge(heard, "heard") }

// Run implements gateway.Stages. If the division changes, the plan continues under the new one.
func (r *Router) Run(ctx context.Context, plan pipeline.Plan) pipeline.Outcome {
	if len(plan.AllowedDomains) > 0 {
		// The owner may be outside the regions that the request is restricted to.
		whole := pipeline.Part{Of: 1}
		r.planner.Resume(whole)
		return r.runHere(ctx, whole, plan)
	}
	var refused pipeline.Outcome
	for at, region := range r.divisions.regionsFor(plan.Request) {
		if at > 0 && !r.mayOverflowTo(region) {
			continue
		}
		plan.Region = region
		outcome := r.runPlan(ctx, plan)
		if outcome.Reason != pipeline.Busy {
			return outcome
		}
		r.markBusy(region)
		refused = outcome
	}
	return refused
}

// runPlan runs the stages of a plan in the plan's region.
func (r *Router) runPlan(ctx context.Context, plan pipeline.Plan) pipeline.Outcome {
	for range maxPlacementAttempts {
		outcome := r.runOnOwner(ctx, r.divisions.partOf(plan.Request, plan.Region), plan)
		if outcome.Reason != batch.Moved {
			return outcome
		}
		plan.Completed = outcome.Completed
		if ctx.Err() != nil {
			break
		}
	}
	r.freeStages(plan.Completed)
	return pipeline.Outcome{Reason: batch.Late}
}

// runOnOwner runs a plan on the owner of a part. It returns batch.Moved if the plan maps to another
// part by now.
func (r *Router) runOnOwner(ctx context.Context, part pipeline.Part, plan pipeline.Plan) pipeline.Outcome {
	excluded := map[string]bool{}
	unresponsive := 0
	for range maxPlacementAttempts {
		address := r.next(part, excluded)
		if address == r.owners.self.PeerAddress {
			break
		}
		outcome, err := r.handOver(ctx, address, part, plan, false)
		if err != nil {
			excluded[address] = true
			unresponsive += choose(peers.IsPeerError(err), 0, 1)
			plan.Completed = outcome.Completed
			continue
		}
		if outcome.Reason != batch.Moved || r.partChanged(part, &plan) {
			return outcome
		}
		plan.Completed = outcome.Completed
		if holder, known := r.claims.holder(part); !known || holder.Owner.PeerAddress == address {
			excluded[address] = true
		}
	}
	return r.runLocally(ctx, part, plan, unresponsive < partitionThreshold && r.shouldClaim(part))
}

// shouldClaim reports whether this instance should claim a part: the part has no reachable owner,
// and this instance is not isolated.
func (r *Router) shouldClaim(part pipeline.Part) bool {
	holder, known := r.claims.holder(part)
	return (!known || !r.owners.reachable(holder.Owner)) && !r.owners.isolated()
}

// choose returns one of two values.
func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// next returns the peer address to try next: the owner if it is reachable, otherwise the first
// remaining candidate.
func (r *Router) next(part pipeline.Part, excluded map[string]bool) string {
	if holder, known := r.claims.holder(part); known && r.owners.reachable(holder.Owner) && !excluded[holder.Owner.PeerAddress] {
		r.owners.startProbe(holder.Owner.PeerAddress)
		return holder.Owner.PeerAddress
	}
	for _, address := range r.owners.candidates(part) {
		if !excluded[address] {
			return address
		}
	}
	return r.owners.self.PeerAddress
}

// runLocally runs a plan with the local planner, claiming the part if claim is set. A partitioned
// instance must not claim the part, since the owner is still in use elsewhere.
func (r *Router) runLocally(ctx context.Context, part pipeline.Part, plan pipeline.Plan, claim bool) pipeline.Outcome {
	for range maxPlacementAttempts {
		if !r.claims.owns(part) {
			if claim {
				r.claim(part, "owner_not_reached")
			}
			r.planner.Resume(part)
		}
		outcome := r.runHere(ctx, part, plan)
		if outcome.Reason != batch.Moved || ctx.Err() != nil || r.partChanged(part, &plan) {
			return outcome
		}
		plan.Completed = outcome.Completed
		if holder, known := r.claims.holder(part); known && !r.claims.owns(part) && r.owners.reachable(holder.Owner) {
			if moved, err := r.handOver(ctx, holder.Owner.PeerAddress, part, plan, false); err == nil && moved.Reason != batch.Moved {
				return moved
			}
		}
	}
	r.freeStages(plan.Completed)
	return pipeline.Outcome{Reason: batch.Late}
}

// serve runs a plan of another instance. It runs locally if this instance owns the part, or claims
// it because the owner is unreachable. If the part has another owner, or the caller uses an older
// division, the answer redirects the caller.
func (r *Router) serve(ctx context.Context, call api.RunRequest) (api.RunResponse, error) {
	part, plan := call.Part, call.Plan
	r.divisions.merge(call.Division, "told_with_plan")
	if division := r.divisions.agreed(); call.Division.Parts > 0 && part.Of != division.Parts && division.Supersedes(call.Division) {
		return api.RunResponse{Outcome: pipeline.Outcome{Reason: batch.Moved, Completed: plan.Completed}, Division: division}, nil
	}
	r.claims.merge([]ownership.Claim{call.Owner}, "told_with_plan")
	holder, known := r.claims.holder(part)
	if known && !r.claims.owns(part) && r.owners.reachable(holder.Owner) && !call.Relayed {
		if holder != call.Owner {
			return api.RunResponse{Outcome: pipeline.Outcome{Reason: batch.Moved, Completed: plan.Completed}, Owner: holder}, nil
		}
		outcome, err := r.handOver(ctx, holder.Owner.PeerAddress, part, plan, true)
		if err == nil {
			return r.response(call, outcome), nil
		}
		plan.Completed = outcome.Completed
	}
	if !r.claims.owns(part) {
		if r.mustDecline() {
			return api.RunResponse{}, errLeaving("retry with the next candidate owner")
		}
		r.claim(part, "asked_by_peer")
		r.planner.Resume(part)
	}
	ran := r.response(call, r.planner.Run(ctx, part, plan))
	ran.Engines = r.planner.Engines(plan.Readers)
	return ran, nil
}

// response adds the current owner of the part to an outcome, and the current division if the
// caller's is older.
func (r *Router) response(call api.RunRequest, outcome pipeline.Outcome) api.RunResponse {
	holder, _ := r.claims.holder(call.Part)
	outcome.Completed = withRemainingTimes(outcome.Completed, r.clock.Now())
	ran := api.RunResponse{Outcome: outcome, Owner: holder}
	if division := r.divisions.agreed(); division.Supersedes(call.Division) {
		ran.Division = division
	}
	return ran
}

// handOver runs a plan on the instance at an address. On failure it returns the error along with
// the results reported so far.
func (r *Router) handOver(ctx context.Context, address string, part pipeline.Part, plan pipeline.Plan, relayed bool) (pipeline.Outcome, error) {
	now := r.clock.Now()
	call := api.RunRequest{Call: uuid.NewString(), Part: part, Plan: plan, DueMs: plan.Due.Sub(now).Milliseconds(), DeadlineMs: plan.Deadline.Sub(now).Milliseconds(), Relayed: relayed}
	call.Plan.Completed = withRemainingTimes(plan.Completed, now)
	call.Owner, _ = r.claims.holder(part)
	call.ProgressAddress = r.owners.self.PeerAddress
	call.Division = r.divisions.current()
	call.Observations = r.engines.observations(address, &plan)
	r.progress.begin(call.Call, &plan)
	var ran api.RunResponse
	err := r.client.Call(ctx, address, api.MethodRun, call, &ran)
	made := r.progress.end(call.Call)
	if ctx.Err() != nil {
		r.cancel(address, call.Call)
		return pipeline.Outcome{Reason: batch.Late}, nil
	}
	if err != nil {
		if !peers.IsPeerError(err) {
			r.owners.suspect(address)
		}
		r.log.WithFields(logrus.Fields{"event": "owner_silent", "id": plan.Request, "owner": address, "answered": peers.IsPeerError(err)}).Warn(err)
		return pipeline.Outcome{Completed: made}, err
	}
	r.owners.clearSuspicion(address)
	r.divisions.merge(ran.Division, "told_with_answer")
	r.claims.merge([]ownership.Claim{ran.Owner}, "told_with_answer")
	r.engines.learn(&plan, ran.Engines)
	ran.Planner = address
	ran.Completed = withExpiryTimes(ran.Completed, r.clock.Now())
	return ran.Outcome, nil
}

func (r *Router) cancel(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodCancel, api.CancelRequest{Call: call}); err != nil {
		r.log.WithFields(logrus.Fields{"event": "cancel_not_sent", "owner": address}).Debug(err)
	}
}

// Free implements gateway.Stages. Results are released through the owner of their part, which
// accounts for the endpoints' capacity.
func (r *Router) Free(results []batch.Result) {
	byPart := map[pipeline.Part][]batch.Result{}
	for _, result := range r.withCurrentQueues(results) {
		part := pipeline.Part{Number: result.Queue.Part, Of: result.Queue.Parts}
		byPart[part] = append(byPart[part], result)
	}
	for part, own := range byPart {
		holder, known := r.claims.holder(part)
		if !known || r.claims.owns(part) || !r.owners.reachable(holder.Owner) {
			r.results.Free(own)
			continue
		}
		go r.freeThrough(holder.Owner.PeerAddress, own)
	}
}

// withCurrentQueues returns results with their queues mapped to the current division.
func (r *Router) withCurrentQueues(results []batch.Result) []batch.Result {
	parts := r.divisions.current().Parts
	outdated := func(result batch.Result) bool { return result.Handle != "" && result.Queue.Parts != parts }
	if !slices.ContainsFunc(results, outdated) {
		return results
	}
	return r.results.Repartition(results, parts)
}

func (r *Router) freeStages(stages [][]batch.Result) {
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

// freeThrough releases results through the owner at an address, or directly if the owner is
// unreachable.
func (r *Router) freeThrough(address string, results []batch.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodFree, api.FreeRequest{Results: results}); err != nil {
		r.results.Free(results)
	}
}
