package handover

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// Handler answers the calls of other instances' routers and followers.
type Handler struct {
	local    *batch.Batcher
	follower *discovery.Follower
	clock    clockwork.Clock

	mu    sync.Mutex
	calls map[string]context.CancelFunc
}

var _ peers.Handler = (*Handler)(nil)

// NewHandler returns a handler that has pieces made by a batcher.
func NewHandler(local *batch.Batcher, follower *discovery.Follower, clock clockwork.Clock) *Handler {
	return &Handler{local: local, follower: follower, clock: clock, calls: map[string]context.CancelFunc{}}
}

// Answer implements peers.Handler.
func (h *Handler) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case api.MethodMake:
		call, err := peers.Params[api.Make](method, raw)
		if err != nil {
			return nil, err
		}
		return h.makePieces(ctx, call), nil
	case api.MethodCancel:
		call, err := peers.Params[api.Cancel](method, raw)
		if err != nil {
			return nil, err
		}
		h.cancel(call.Call)
		return struct{}{}, nil
	case api.MethodFree:
		call, err := peers.Params[api.Free](method, raw)
		if err != nil {
			return nil, err
		}
		h.local.Free(call.Queue, call.Results)
		return struct{}{}, nil
	case api.MethodState:
		call, err := peers.Params[api.StateSelect](method, raw)
		if err != nil {
			return nil, err
		}
		return h.state(call), nil
	}
	return nil, peers.UnknownMethod(method)
}

// makePieces has pieces made until the caller cancels or its connection breaks. Results
// that come after that are freed.
func (h *Handler) makePieces(ctx context.Context, call api.Make) api.Made {
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
	return api.Made{Results: h.local.Make(ctx, call.Queue, h.fromWire(call.Pieces))}
}

func (h *Handler) fromWire(wire []api.Piece) []batch.Piece {
	now := h.clock.Now()
	pieces := make([]batch.Piece, len(wire))
	for i, w := range wire {
		pieces[i] = w.Piece
		pieces[i].Due = now.Add(time.Duration(w.DueMs) * time.Millisecond)
		pieces[i].Deadline = now.Add(time.Duration(w.DeadlineMs) * time.Millisecond)
	}
	return pieces
}

func (h *Handler) cancel(call string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.calls[call]; cancel != nil {
		cancel()
	}
}

// state returns what is known here; the state alone is left out if the asker has it.
func (h *Handler) state(call api.StateSelect) api.KnownState {
	state, age := h.follower.State()
	if state.Revision < call.NewerThan {
		return api.KnownState{AgeMs: age.Milliseconds()}
	}
	return api.KnownState{State: state, AgeMs: age.Milliseconds()}
}
