package handover

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// Handler answers the calls of other instances' routers and followers.
type Handler struct {
	router   *Router
	planner  *pipeline.Planner
	makers   makers
	follower *discovery.Follower
	rollouts Rollouts
	permits  Permitting
	clock    clockwork.Clock
	packing  packing

	mu    sync.Mutex
	calls map[string]context.CancelFunc
}

var _ peers.Handler = (*Handler)(nil)

// Rollouts are conducted here.
type Rollouts interface {
	// Answer answers the report of an instance.
	Answer(r rollout.Report) rollout.Instruction
}

// Permitting grants calls to endpoints that name a limit for all instances.
type Permitting interface {
	// HandleRequest answers a permit request of another instance.
	HandleRequest(a throttle.PermitRequest) throttle.PermitGrant
}

// NewHandler returns a handler that has stages made as a router says.
func NewHandler(router *Router, follower *discovery.Follower, rollouts Rollouts, permits Permitting) *Handler {
	return &Handler{router: router, planner: router.planner, makers: router.makers, follower: follower, rollouts: rollouts, permits: permits, clock: router.clock, calls: map[string]context.CancelFunc{}}
}

// UnderWay is the number of plans of other instances that are being made.
func (h *Handler) UnderWay() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Answer implements peers.Handler.
func (h *Handler) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case api.MethodRun:
		call, err := peers.Params[api.RunRequest](method, raw)
		if err != nil {
			return nil, err
		}
		if h.follower.View().Table == nil {
			return nil, problem.New(problem.Unavailable, "hand the plan to the next owner", "this instance has no configuration yet")
		}
		return h.run(ctx, call)
	case api.MethodProgress:
		call, err := peers.Params[api.Progress](method, raw)
		if err != nil {
			return nil, err
		}
		results := withTimes([][]batch.Result{call.Results}, h.clock.Now())[0]
		return struct{}{}, h.router.progress.stageMade(call.Call, call.Stage, results)
	case api.MethodTransfer:
		call, err := peers.Params[api.TransferRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return struct{}{}, h.router.take(call)
	case api.MethodCancel:
		call, err := peers.Params[api.CancelRequest](method, raw)
		if err != nil {
			return nil, err
		}
		h.cancel(call.Call)
		return struct{}{}, nil
	case api.MethodFree:
		call, err := peers.Params[api.FreeRequest](method, raw)
		if err != nil {
			return nil, err
		}
		h.makers.Free(call.Results)
		return struct{}{}, nil
	case api.MethodReaderFailed:
		call, err := peers.Params[api.ReaderFailed](method, raw)
		if err != nil {
			return nil, err
		}
		h.planner.ReaderFailed(call.Endpoint)
		return struct{}{}, nil
	case api.MethodFollow:
		call, err := peers.Params[api.RelayRequest](method, raw)
		if err != nil {
			return nil, err
		}
		wait := min(maxRelayWait, time.Duration(call.WaitMs)*time.Millisecond)
		told := h.follower.Relay(discovery.RelaySelect{Since: call.Since, Document: call.DocumentRevision, Evacuations: call.Evacuations, Rollouts: call.Rollouts, Wait: wait})
		return h.packing.changes(call.Since, told, call.AcceptsPacked), nil
	case api.MethodPiece:
		call, err := peers.Params[discovery.PieceSelect](method, raw)
		if err != nil {
			return nil, err
		}
		return h.follower.Piece(call)
	case api.MethodRollout:
		call, err := peers.Params[rollout.Report](method, raw)
		if err != nil {
			return nil, err
		}
		return h.rollouts.Answer(call), nil
	case api.MethodPermits:
		call, err := peers.Params[throttle.PermitRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.permits.HandleRequest(call), nil
	case api.MethodState:
		call, err := peers.Params[api.StateRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.packing.state(h.follower.Known(call.NewerThan), call.AcceptsPacked), nil
	}
	return nil, peers.UnknownMethod(method)
}

// run has stages made until the caller cancels or its connection breaks. What was made
// until then is freed.
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
	call.Plan.Completed = withTimes(call.Plan.Completed, now)
	call.Plan.Progress = h.router.tellProgress(call.ProgressAddress, call.Call)
	return h.router.serve(ctx, call)
}

func (h *Handler) cancel(call string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.calls[call]; cancel != nil {
		cancel()
	}
}

// maxRelayWait bounds how long a call for changes waits.
const maxRelayWait = 2 * time.Second
