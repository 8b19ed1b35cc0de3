package handover

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const notifyTimeout = 300 * time.Millisecond

// Router has the stages of requests made by the owner of their part. Safe for concurrent
// use.
type Router struct {
	owners    owners
	client    *peers.Client
	planner   *pipeline.Planner
	local     *batch.Batcher
	endpoints func() int
	clock     clockwork.Clock
	log       *logrus.Entry

	mu sync.Mutex
	// makers has, by handle, the peer address of the instance that had a result made.
	makers map[string]string
}

var _ gateway.Stages = (*Router)(nil)

// Options of a router.
type Options struct {
	Self membership.Self
	// Live returns the other live members.
	Live func() []membership.Member
	// Contacts are the peer addresses of the settings, which own the parts at first.
	Contacts []string
	Client   *peers.Client
	Planner  *pipeline.Planner
	Batcher  *batch.Batcher
	// Endpoints returns how many endpoints the least service that takes pieces has.
	Endpoints func() int
	Clock     clockwork.Clock
	Log       *logrus.Entry
}

// NewRouter returns a router.
func NewRouter(o Options) *Router {
	return &Router{
		owners:    newOwners(o.Clock, o.Self, o.Live, o.Contacts),
		client:    o.Client,
		planner:   o.Planner,
		local:     o.Batcher,
		endpoints: o.Endpoints,
		clock:     o.Clock,
		log:       o.Log,
		makers:    map[string]string{},
	}
}

// Run implements gateway.Stages.
func (r *Router) Run(ctx context.Context, plan pipeline.Plan) pipeline.Outcome {
	part := partOf(plan.Request, r.endpoints())
	for _, address := range r.owners.candidates(part) {
		if address == r.owners.self.PeerAddress || ctx.Err() != nil {
			break
		}
		outcome, ok := r.handOver(ctx, address, part, plan)
		if ok {
			return outcome
		}
	}
	return r.planner.Run(ctx, part, plan)
}

// handOver has the stages made by the owner at an address, and tells whether it answered.
func (r *Router) handOver(ctx context.Context, address string, part pipeline.Part, plan pipeline.Plan) (pipeline.Outcome, bool) {
	now := r.clock.Now()
	call := api.Run{Call: uuid.NewString(), Part: part, Plan: plan, DueMs: plan.Due.Sub(now).Milliseconds(), DeadlineMs: plan.Deadline.Sub(now).Milliseconds()}
	var outcome pipeline.Outcome
	err := r.client.Call(ctx, address, api.MethodRun, call, &outcome)
	if ctx.Err() != nil {
		r.cancel(address, call.Call)
		return pipeline.Outcome{Reason: batch.Late}, true
	}
	if err != nil {
		r.owners.suspect(address)
		r.log.WithFields(logrus.Fields{"event": "owner_silent", "id": plan.Request, "owner": address}).Warn(err)
		return pipeline.Outcome{}, false
	}
	r.owners.trust(address)
	outcome.Planner = address
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range outcome.Results {
		r.makers[result.Handle] = address
	}
	return outcome, true
}

func (r *Router) cancel(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodCancel, api.Cancel{Call: call}); err != nil {
		r.log.WithFields(logrus.Fields{"event": "cancel_not_sent", "owner": address}).Debug(err)
	}
}

// Free implements gateway.Stages.
func (r *Router) Free(results []batch.Result) {
	byOwner := map[string][]batch.Result{}
	r.mu.Lock()
	for _, result := range results {
		address := r.makers[result.Handle]
		delete(r.makers, result.Handle)
		byOwner[address] = append(byOwner[address], result)
	}
	r.mu.Unlock()
	for address, own := range byOwner {
		if address == "" {
			r.local.Free(own)
			continue
		}
		go r.freeAt(address, own)
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
	if err := r.client.Notify(ctx, address, api.MethodFree, api.Free{Results: results}); err != nil {
		r.local.Free(results)
	}
}
