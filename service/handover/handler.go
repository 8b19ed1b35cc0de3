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

// Handler serves the calls of the routers and followers of other instances.
type Handler struct {
	router   *Router
	planner  *pipeline.Planner
	results  resultStore
	follower *discovery.Follower
	rollouts RolloutConductor
	permits  PermitGranter
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

// NewHandler returns a handler that runs plans through the given router.
func NewHandler(router *Router, follower *discovery.Follower, rollouts RolloutConductor, permits PermitGranter) *Handler {
	return &Handler{router: router, planner: router.planner, results: router.results, follower: follower, rollouts: rollouts, permits: permits, clock: router.clock, calls: map[string]context.CancelFunc{}}
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
		call, err := peers.DecodeParams[api.RunRequest](method, raw)
		if err != nil {
			return nil, err
		}
		if h.follower.View().Table == nil {
			return nil, problem.New(problem.Unavailable, "retry with the next candidate owner", "this instance has not received a configuration yet")
		}
		return h.run(ctx, call)
	case api.MethodProgress:
		call, err := peers.DecodeParams[api.Progress](method, raw)
		if err != nil {
			return nil, err
		}
		results := withExpiryTimes([][]batch.Result{call.Results}, h.clock.Now())[0]
		return struct{}{}, h.router.progress.stageCompleted(call.Call, call.Stage, results)
	case api.MethodTransfer:
		call, err := peers.DecodeParams[api.TransferRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return struct{}{}, h.router.accept(call)
	case api.MethodCancel:
		call, err := peers.DecodeParams[api.CancelRequest](method, raw)
		if err != nil {
			return nil, err
		}
		h.cancel(call.Call)
		return struct{}{}, nil
	case api.MethodFree:
		call, err := peers.DecodeParams[api.FreeRequest](method, raw)
		if err != nil {
			return nil, err
		}
		h.results.Free(call.Results)
		return struct{}{}, nil
	case api.MethodReaderFailed:
		call, err := peers.DecodeParams[api.ReaderFailed](method, raw)
		if err != nil {
			return nil, err
		}
		h.planner.ReaderFailed(call.Endpoint)
		return struct{}{}, nil
	case api.MethodFollow:
		call, err := peers.DecodeParams[api.RelayRequest](method, raw)
		if err != nil {
			return nil, err
		}
		wait := min(maxRelayWait, time.Duration(call.WaitMs)*time.Millisecond)
		told := h.follower.Relay(discovery.RelayRequest{Since: call.Since, Document: discovery.DocumentID{Version: call.DocumentVersion, Revision: call.DocumentRevision}, Evacuations: call.Evacuations, Rollouts: call.Rollouts, Wait: wait})
		return h.packer.changes(call.Since, told, call.AcceptsPacked), nil
	case api.MethodPiece:
		call, err := peers.DecodeParams[discovery.PieceRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.follower.Piece(call)
	case api.MethodRollout:
		call, err := peers.DecodeParams[rollout.Report](method, raw)
		if err != nil {
			return nil, err
		}
		return h.rollouts.Answer(call), nil
	case api.MethodPermits:
		call, err := peers.DecodeParams[throttle.PermitRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.permits.HandleRequest(call), nil
	case api.MethodState:
		call, err := peers.DecodeParams[api.StateRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.packer.state(h.follower.LocalState(call.NewerThan), call.AcceptsPacked), nil
	}
	return nil, peers.UnknownMethod(method)
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
