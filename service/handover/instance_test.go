package handover

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
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
	released map[pipeline.Part]bool
	// stuck says that what was given up is never taken back.
	stuck bool
	// forgetful says that nothing is known of any endpoint.
	forgetful atomic.Bool
	taken     []batch.Ledger
	adopted   []batch.Result
}

// heldCall is a stage that waits.
type heldCall struct {
	pieces []batch.Piece
	done   chan []batch.Result
}

func (h *heldPieces) Process(ctx context.Context, at batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	call := heldCall{pieces, make(chan []batch.Result, 1)}
	h.mu.Lock()
	if h.released[pipeline.Part{Number: at.Part, Of: at.Parts}] {
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
func (h *heldPieces) Release(part, parts int) batch.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReleased(part, parts, true)
	for _, call := range h.waiting {
		results := reasons(call.pieces, batch.Moved)
		results[0] = batch.Result{Handle: "made before", Domain: "made"}
		call.done <- results
	}
	h.waiting = nil
	return batch.Ledger{Endpoints: []batch.EndpointLedger{{Endpoint: "e", Calls: 1}}}
}

func (h *heldPieces) Acquire(part, parts int, ledger batch.Ledger) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReleased(part, parts, false)
	h.taken = append(h.taken, ledger)
	return false
}

func (h *heldPieces) Resume(part, parts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReleased(part, parts, h.stuck)
}

func (h *heldPieces) setReleased(part, parts int, released bool) {
	if h.released == nil {
		h.released = map[pipeline.Part]bool{}
	}
	h.released[pipeline.Part{Number: part, Of: parts}] = released
}

// Split tells all parts of all endpoints.
func (h *heldPieces) Split(ledger batch.Ledger, parts int) map[int]batch.Ledger {
	split := map[int]batch.Ledger{}
	if h.forgetful.Load() {
		return split
	}
	for part := range parts {
		split[part] = ledger
	}
	return split
}

func (h *heldPieces) TrackResults(results []batch.Result) {
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
	// unreached are the peer addresses that it does not reach.
	unreached sync.Map
	// endpoints is how many the least service has.
	endpoints atomic.Int64

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

// cuttable calls the peers that an instance reaches.
type cuttable struct{ i *instance }

func (c cuttable) Call(ctx context.Context, address, method string, params, result any) error {
	if _, cut := c.i.unreached.Load(address); cut {
		return problem.New(problem.Unavailable, "heal the cut", "peer %s is cut off", address)
	}
	return c.i.client.Call(ctx, address, method, params, result)
}

func (c cuttable) Notify(ctx context.Context, address, method string, params any) error {
	if _, cut := c.i.unreached.Load(address); cut {
		return problem.New(problem.Unavailable, "heal the cut", "peer %s is cut off", address)
	}
	return c.i.client.Notify(ctx, address, method, params)
}

// cut has the instances of a failure domain and all others not reach each other; heal ends that.
func (g group) cut(domain string) {
	g.acrossTo(domain, func(i, other *instance) { i.unreached.Store(other.self.PeerAddress, true) })
}

func (g group) heal(domain string) {
	g.acrossTo(domain, func(i, other *instance) { i.unreached.Delete(other.self.PeerAddress) })
}

// acrossTo does something for each two instances of which one stands in a failure domain.
func (g group) acrossTo(domain string, do func(i, other *instance)) {
	for _, i := range g {
		for _, other := range g {
			if (i.self.FailureDomain == domain) != (other.self.FailureDomain == domain) {
				do(i, other)
			}
		}
	}
}

// beat has some tell each other who owns what, as heartbeats do.
func (g group) beat(some []*instance) {
	for _, from := range some {
		for _, to := range some {
			to.router.HearClaims(from.router.Claims())
		}
	}
}

// in returns the instances of a failure domain.
func (g group) in(domain string) group {
	var some group
	for _, i := range g {
		if i.self.FailureDomain == domain {
			some = append(some, i)
		}
	}
	return some
}

// kill ends an instance without a word.
func (i *instance) kill() {
	_ = i.listener.Close()
	i.server.Close()
	i.client.Close()
}

// group is some instances that know each other.
type group []*instance

func newInstances(n int, clock clockwork.Clock) group {
	GinkgoHelper()
	return newInstancesIn(2, n, clock)
}

// newInstancesIn returns instances in so many failure domains.
func newInstancesIn(domains, n int, clock clockwork.Clock) group {
	GinkgoHelper()
	var all group
	for k := range n {
		all = append(all, newInstance(k, k%domains, clock))
	}
	for _, i := range all {
		for _, other := range all.others(i) {
			i.members = append(i.members, membership.Member{Self: other.self, State: membership.Live})
		}
	}
	return all
}

func (g group) kill() {
	for _, i := range g {
		i.kill()
	}
}

// others returns all but one.
func (g group) others(one *instance) []*instance { return without(g, one) }

// run has a request of an instance made.
func (g group) run(i *instance, request string) chan pipeline.Outcome {
	done := make(chan pipeline.Outcome, 1)
	due := i.router.clock.Now().Add(10 * time.Minute)
	plan := pipeline.Plan{Request: request, Stages: []pipeline.Stage{{Service: "s", Pieces: 2}}, Due: due, Deadline: due}
	go func() { done <- i.router.Run(context.Background(), plan) }()
	return done
}

func outcomeOf(done chan pipeline.Outcome) pipeline.Outcome {
	GinkgoHelper()
	var outcome pipeline.Outcome
	Eventually(done).WithTimeout(5 * time.Second).Should(Receive(&outcome))
	return outcome
}

// planners returns those that have work.
func (g group) planners() []*instance {
	var working []*instance
	for _, i := range g {
		if i.pieces.Waiting() > 0 {
			working = append(working, i)
		}
	}
	return working
}

// ownerOf has a request of an instance planned, and returns who plans it.
func (g group) ownerOf(i *instance, request string) *instance {
	GinkgoHelper()
	done := g.run(i, request)
	Eventually(g.planners).Should(HaveLen(1))
	owner := g.planners()[0]
	owner.pieces.finish()
	Expect(outcomeOf(done).Results).To(HaveLen(2))
	return owner
}

// holderOf returns who owns a part, as an instance knows.
func (g group) holderOf(i *instance, part pipeline.Part) *instance {
	GinkgoHelper()
	holder, known := i.router.claims.holder(part)
	Expect(known).To(BeTrue())
	for _, other := range g {
		if other.self.Owner() == holder.Owner {
			return other
		}
	}
	Fail("no instance owns the part")
	return nil
}

// enlarge has all know that one of them runs on a large machine.
func (g group) enlarge(one *instance) {
	machine := membership.Machine{Cores: 0.8, LinkMbps: 200}
	one.router.owners.self.Machine = machine
	for _, i := range g.others(one) {
		i.mu.Lock()
		for m := range i.members {
			if i.members[m].Name == one.self.Name {
				i.members[m].Machine = machine
			}
		}
		i.mu.Unlock()
	}
}

// waiting is how many pieces wait.
func (g group) waiting() int {
	n := 0
	for _, i := range g {
		n += i.pieces.Waiting()
	}
	return n
}

// taken is how many ledgers were taken over.
func (g group) taken() int {
	n := 0
	for _, i := range g {
		n += len(i.pieces.Taken())
	}
	return n
}

// finish makes all that waits.
func (g group) finish() {
	for _, i := range g {
		i.pieces.finish()
	}
}

// restart has an instance live a second time, known to all, at another address.
func (g group) restart(old *instance) *instance {
	GinkgoHelper()
	var n int
	_, err := fmt.Sscanf(old.self.Name, "i%d", &n)
	Expect(err).NotTo(HaveOccurred())
	young := newInstance(n, n%2, old.router.clock)
	young.members = old.members
	for k, i := range g {
		if i == old {
			g[k] = young
			continue
		}
		for m := range i.members {
			if i.members[m].Name == old.self.Name {
				i.members[m] = membership.Member{Self: young.self, State: membership.Live}
			}
		}
	}
	return young
}

// rehoming moves results to the first part.
type rehoming struct{}

func (rehoming) Free([]batch.Result) {}

func (rehoming) Repartition(results []batch.Result, parts int) []batch.Result {
	moved := slices.Clone(results)
	for i := range moved {
		moved[i].Queue.Part, moved[i].Queue.Parts = 0, parts
	}
	return moved
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

func newInstance(n, domain int, clock clockwork.Clock) *instance {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	i := &instance{pieces: &heldPieces{}, listener: listener}
	i.self = membership.Self{Name: fmt.Sprint("i", n), Incarnation: uint64(n), PeerAddress: listener.Addr().String(), FailureDomain: fmt.Sprint("zone-", domain)}
	i.endpoints.Store(1)
	i.client = peers.NewClient(i.self.Name, testToken, nil)
	i.router = NewRouter(Options{
		Self:    i.self,
		Live:    func() []membership.Member { return i.with(membership.Live) },
		Leaving: func() []membership.Member { return i.with(membership.Leaving) },
		Client:  cuttable{i},
		Planner: pipeline.NewPlanner(i.pieces, clock, metrics.NewSet(), logging.Discard().For("pipeline")),
		Supply:  func() ownership.Supply { return ownership.Supply{All: int(i.endpoints.Load())} },
		Clock:   clock,
		Log:     logging.Discard().For("handover"),
	})
	i.server = peers.NewServer(answerer{NewHandler(i.router, nil, nil, nil)}, testToken, nil, logging.Discard().For("peers"))
	go i.server.Serve(listener)
	return i
}

// Answer leaves out the question for a configuration, which these instances do not have.
func (a answerer) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	if method != api.MethodRun {
		return a.Handler.Answer(ctx, method, raw)
	}
	call, err := peers.Params[api.RunRequest](method, raw)
	if err != nil {
		return nil, err
	}
	return a.run(ctx, call)
}
