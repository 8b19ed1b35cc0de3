package handover

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const testToken = "token"

// heldPieces makes pieces when it is told to; those of a part that was given up end as moved.
type heldPieces struct {
	instantPieces
	mu       sync.Mutex
	made     []batch.Piece
	waiting  []heldCall
	released bool
	// stuck says that what was given up is never taken back.
	stuck   bool
	taken   []batch.Ledger
	adopted []batch.Result
}

// heldCall is a stage that waits.
type heldCall struct {
	pieces []batch.Piece
	done   chan []batch.Result
}

func (h *heldPieces) Make(ctx context.Context, _ batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	call := heldCall{pieces, make(chan []batch.Result, 1)}
	h.mu.Lock()
	if h.released {
		h.mu.Unlock()
		return reasons(pieces, batch.Moved)
	}
	h.waiting = append(h.waiting, call)
	h.mu.Unlock()
	select {
	case results := <-call.done:
		return results
	case <-ctx.Done():
		return reasons(pieces, batch.Late)
	}
}

func reasons(pieces []batch.Piece, reason batch.Reason) []batch.Result {
	results := make([]batch.Result, len(pieces))
	for i := range results {
		results[i].Reason = reason
	}
	return results
}

// Release ends what waits: the first piece of each stage has been made, the others move.
func (h *heldPieces) Release(int, int) batch.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, call := range h.waiting {
		results := reasons(call.pieces, batch.Moved)
		results[0] = batch.Result{Handle: "made before", Domain: "made"}
		call.done <- results
	}
	h.waiting = nil
	return batch.Ledger{Endpoints: []batch.EndpointLedger{{Endpoint: "e", Calls: 1}}}
}

func (h *heldPieces) Take(_, _ int, ledger batch.Ledger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = false
	h.taken = append(h.taken, ledger)
}

func (h *heldPieces) Resume(int, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = h.stuck
}

func (h *heldPieces) Adopt(results []batch.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.adopted = append(h.adopted, results...)
}

// finish makes all that waits.
func (h *heldPieces) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, call := range h.waiting {
		results := make([]batch.Result, len(call.pieces))
		for i, piece := range call.pieces {
			results[i] = batch.Result{Handle: fmt.Sprint("made ", piece.Index), Domain: "made"}
		}
		call.done <- results
		h.made = append(h.made, call.pieces...)
	}
	h.waiting = nil
}

// Waiting is how many pieces wait.
func (h *heldPieces) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, call := range h.waiting {
		n += len(call.pieces)
	}
	return n
}

func (h *heldPieces) Made() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.made)
}

func (h *heldPieces) Taken() []batch.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.taken
}

// instance is an instance over real connections, which knows what the test says.
type instance struct {
	self     membership.Self
	router   *Router
	pieces   *heldPieces
	server   *peers.Server
	listener net.Listener
	client   *peers.Client

	mu      sync.Mutex
	members []membership.Member
}

func (i *instance) with(state membership.State) []membership.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	var members []membership.Member
	for _, m := range i.members {
		if m.State == state {
			members = append(members, m)
		}
	}
	return members
}

// sees sets what the instance knows of another.
func (i *instance) sees(other *instance, state membership.State, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.members {
		if i.members[n].Name == other.self.Name {
			i.members[n].State, i.members[n].Since = state, since
		}
	}
}

// GomegaString is what a failed test prints.
func (i *instance) GomegaString() string { return i.self.Name }

// kill ends an instance without a word.
func (i *instance) kill() {
	_ = i.listener.Close()
	i.server.Close()
	i.client.Close()
}

// without returns all of a list but one.
func without(list []*instance, one *instance) []*instance {
	var rest []*instance
	for _, i := range list {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}

// answerer answers runs and parts that are handed over.
type answerer struct{ *Handler }

func newInstance(n int, clock clockwork.Clock) *instance {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	i := &instance{pieces: &heldPieces{}, listener: listener}
	i.self = membership.Self{Name: fmt.Sprint("i", n), Incarnation: uint64(n), PeerAddress: listener.Addr().String(), FailureDomain: fmt.Sprint("zone-", n%2)}
	i.client = peers.NewClient(i.self.Name, testToken)
	i.router = NewRouter(Options{
		Self:      i.self,
		Live:      func() []membership.Member { return i.with(membership.Live) },
		Leaving:   func() []membership.Member { return i.with(membership.Leaving) },
		Client:    i.client,
		Planner:   pipeline.NewPlanner(i.pieces, clock, metrics.NewSet(), logging.Discard().For("pipeline")),
		Endpoints: func() int { return 1 },
		Clock:     clock,
		Log:       logging.Discard().For("handover"),
	})
	i.server = peers.NewServer(answerer{NewHandler(i.router, nil)}, testToken, logging.Discard().For("peers"))
	go i.server.Serve(listener)
	return i
}

// Answer leaves out the question for a configuration, which these instances do not have.
func (a answerer) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	if method != api.MethodRun {
		return a.Handler.Answer(ctx, method, raw)
	}
	call, err := peers.Params[api.Run](method, raw)
	if err != nil {
		return nil, err
	}
	return a.run(ctx, call)
}
