package handover

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// Handler serves the calls of the routers and followers of other instances.
type Handler struct {
	router   *Router
	planner  *pipeline.Planner
	results  resultStore
	follower *discovery.Follower
	rollouts RolloutConductor
	permits  PermitGranter
	origins  OriginRegistry
	clock    clockwork.Clock
	packer   endpointPacker

	mu    sync.Mutex
	calls map[string]context.CancelFunc
}

var _ peers.Handler = (*Handler)(nil)

// RolloutConductor handles the rollout reports of other instances.
type RolloutConductor interface {
	// Answer returns the instruction for a report.
	Answer(r rollout.Report) rollout.Instruction
}

// PermitGranter grants calls to endpoints that have a limit shared by all instances.
type PermitGranter interface {
	// HandleRequest returns the grant for a permit request.
	HandleRequest(a throttle.PermitRequest) throttle.PermitGrant
}

// OriginRegistry answers where streams were begun.
type OriginRegistry interface {
	// Answer returns what this instance knows of a stream.
	Answer(q origin.Query) origin.Answer
}

// Backends are the parts of an instance, besides its router, that answer the calls of other instances.
type Backends struct {
	Follower *discovery.Follower
	Rollouts RolloutConductor
	Permits  PermitGranter
	Origins  OriginRegistry
}

// NewHandler returns a handler that runs plans through the given router.
func NewHandler(router *Router, b Backends) *Handler {
	return &Handler{router: router, planner: router.planner, results: router.results, follower: b.Follower, rollouts: b.Rollouts, permits: b.Permits, origins: b.Origins, clock: router.clock, calls: map[string]context.CancelFunc{}}
}

// RunningPlans returns the number of plans of other instances that are running here.
func (h *Handler) RunningPlans() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Answer implements peers.Handler.
func (h *Handler) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case api.MethodRun:
		return answer(method, raw, func(call api.RunRequest) (any, error) { return h.runConfigured(ctx, call) })
	case api.MethodProgress:
		return answer(method, raw, h.progress)
	case api.MethodTransfer:
		return answer(method, raw, func(call api.TransferRequest) (any, error) { return struct{}{}, h.router.accept(call) })
	case api.MethodCancel:
		return answer(method, raw, notice(func(call api.CancelRequest) { h.cancel(call.Call) }))
	case api.MethodFree:
		return answer(method, raw, notice(func(call api.FreeRequest) { h.results.Free(call.Results) }))
	case api.MethodReaderFailed:
		return answer(method, raw, notice(func(call api.ReaderFailed) { h.planner.ReaderFailed(call.Endpoint) }))
	case api.MethodFollow:
		return answer(method, raw, h.follow)
	case api.MethodPiece:
		return answer(method, raw, func(call discovery.PieceRequest) (any, error) { return h.follower.Piece(call) })
	case api.MethodRollout:
		return answer(method, raw, func(call rollout.Report) (any, error) { return h.rollouts.Answer(call), nil })
	case api.MethodPermits:
		return answer(method, raw, func(call throttle.PermitRequest) (any, error) { return h.permits.HandleRequest(call), nil })
	case api.MethodOrigin:
		return answer(method, raw, func(call origin.Query) (any, error) { return h.origins.Answer(call), nil })
	case api.MethodState:
		return answer(method, raw, func(call api.StateRequest) (any, error) {
			return h.packer.state(h.follower.LocalState(call.NewerThan), call.AcceptsPacked), nil
		})
	}
	return nil, peers.UnknownMethod(method)
}

// answer decodes the parameters of a call and returns the result of do.
func answer[P any](method string, raw json.RawMessage, do func(P) (any, error)) (any, error) {
	call, err := peers.DecodeParams[P](method, raw)
	if err != nil {
		return nil, err
	}
	return do(call)
}

// notice adapts a function without a result.
func notice[P any](do func(P)) func(P) (any, error) {
	return func(call P) (any, error) {
		do(call)
		return struct{}{}, nil
	}
}

// progress records the results of a completed stage.
func (h *Handler) progress(call api.Progress) (any, error) {
	results := withExpiryTimes([][]batch.Result{call.Results}, h.clock.Now())[0]
	return struct{}{}, h.router.progress.stageCompleted(call.Call, call.Stage, results)
}

// follow waits for changes that the caller does not have yet.
func (h *Handler) follow(call api.RelayRequest) (any, error) {
	told := h.follower.Relay(discovery.RelayRequest{
		Since:       call.Since,
		Document:    discovery.DocumentID{Version: call.DocumentVersion, Revision: call.DocumentRevision},
		Evacuations: call.Evacuations,
		Rollouts:    call.Rollouts,
		Wait:        min(maxRelayWait, time.Duration(call.WaitMs)*time.Millisecond),
	})
	return h.packer.changes(call.Since, told, call.AcceptsPacked), nil
}

// runConfigured runs a plan if this instance has a configuration.
func (h *Handler) runConfigured(ctx context.Context, call api.RunRequest) (any, error) {
	if h.follower.View().Table == nil {
		return nil, problem.New(problem.Unavailable, "retry with the next candidate owner", "this instance has not received a configuration yet")
	}
	return h.run(ctx, call)
}

// run runs a plan until it ends, the caller cancels it or the connection is lost. Results of an
// abandoned plan are freed.
func (h *Handler) run(ctx context.Context, call api.RunRequest) (api.RunResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.mu.Lock()
	h.calls[call.Call] = cancel
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.calls, call.Call)
		h.mu.Unlock()
	}()
	now := h.clock.Now()
	call.Plan.Due = now.Add(time.Duration(call.DueMs) * time.Millisecond)
	call.Plan.Deadline = now.Add(time.Duration(call.DeadlineMs) * time.Millisecond)
	call.Plan.Completed = withExpiryTimes(call.Plan.Completed, now)
	call.Plan.Progress = h.router.progressReporter(call.ProgressAddress, call.Call)
	h.planner.Observe(call.Observations, h.router.engines.known)
	return h.router.serve(ctx, call)
}

func (h *Handler) cancel(call string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.calls[call]; cancel != nil {
		cancel()
	}
}

// maxRelayWait bounds how long a call that waits for changes may block.
const maxRelayWait = 2 * time.Second
