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

// heldPieces completes pieces when finish is called. Pieces of a released part end as moved.
type heldPieces struct {
	instantPieces
	mu       sync.Mutex
	made     []batch.Piece
	waiting  []heldCall
	released map[pipeline.Part]bool
	// keepReleased keeps released parts released after Resume.
	keepReleased bool
	// noLedgers makes Split return no ledgers.
	noLedgers atomic.Bool
	taken     []batch.Ledger
	adopted   []batch.Result
}

// heldCall is a pending call of Make.
type heldCall struct {
	pieces []batch.Piece
	done   chan []batch.Result
}

func (h *heldPieces) Process(ctx context.Context, at batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	call := heldCall{pieces, make(chan []batch.Result, 1)}
	h.mu.Lock()
	if h.released[pipeline.Part{Number: at.Part, Of: at.Parts}] {
		h.mu.Unlock()
		return resultsWithReason(pieces, batch.Moved)
	}
	h.waiting = append(h.waiting, call)
	h.mu.Unlock()
	select {
	case results := <-call.done:
		return results
	case <-ctx.Done():
		return resultsWithReason(pieces, batch.Late)
	}
}

func resultsWithReason(pieces []batch.Piece, reason batch.Reason) []batch.Result {
	results := make([]batch.Result, len(pieces))
	for i := range results {
		results[i].Reason = reason
	}
	return results
}

// Release ends pending calls: the first piece of each is completed, the others are moved.
func (h *heldPieces) Release(part, parts int) batch.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setReleased(part, parts, true)
	for _, call := range h.waiting {
		results := resultsWithReason(call.pieces, batch.Moved)
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
	h.setReleased(part, parts, h.keepReleased)
}

func (h *heldPieces) setReleased(part, parts int, released bool) {
	if h.released == nil {
		h.released = map[pipeline.Part]bool{}
	}
	h.released[pipeline.Part{Number: part, Of: parts}] = released
}

// Split returns the whole ledger for each part.
func (h *heldPieces) Split(ledger batch.Ledger, parts int) map[int]batch.Ledger {
	split := map[int]batch.Ledger{}
	if h.noLedgers.Load() {
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

// finish completes all pending pieces.
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

// Waiting returns the number of pending pieces.
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

// instance is an instance with real connections, whose member list is set by the test.
type instance struct {
	self     membership.Instance
	router   *Router
	pieces   *heldPieces
	server   *peers.Server
	listener net.Listener
	client   *peers.Client
	// unreachable has the peer addresses that the instance cannot reach.
	unreachable sync.Map
	// endpoints is the endpoint count that the instance reports.
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

// setState sets the state of a member in the instance's list.
func (i *instance) setState(other *instance, state membership.State, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.members {
		if i.members[n].Name == other.self.Name {
			i.members[n].State, i.members[n].StateSince = state, since
		}
	}
}

// GomegaString implements format.GomegaStringer.
func (i *instance) GomegaString() string { return i.self.Name }

// partitionableCaller is a caller that fails for unreached peers.
type partitionableCaller struct{ i *instance }

func (c partitionableCaller) Call(ctx context.Context, address, method string, params, result any) error {
	if _, cut := c.i.unreachable.Load(address); cut {
		return problem.New(problem.Unavailable, "heal the partition", "peer %s is partitioned", address)
	}
	return c.i.client.Call(ctx, address, method, params, result)
}

func (c partitionableCaller) Notify(ctx context.Context, address, method string, params any) error {
	if _, cut := c.i.unreachable.Load(address); cut {
		return problem.New(problem.Unavailable, "heal the partition", "peer %s is partitioned", address)
	}
	return c.i.client.Notify(ctx, address, method, params)
}

// partition partitions a failure domain from all others.
func (g group) partition(domain string) {
	g.eachPairAcross(domain, func(i, other *instance) { i.unreachable.Store(other.self.PeerAddress, true) })
}

// heal ends the partition of a failure domain.
func (g group) heal(domain string) {
	g.eachPairAcross(domain, func(i, other *instance) { i.unreachable.Delete(other.self.PeerAddress) })
}

// eachPairAcross calls do for each pair of instances with exactly one in the failure domain.
func (g group) eachPairAcross(domain string, do func(i, other *instance)) {
	for _, i := range g {
		for _, other := range g {
			if (i.self.FailureDomain == domain) != (other.self.FailureDomain == domain) {
				do(i, other)
			}
		}
	}
}

// exchangeClaims exchanges claims between some instances, as heartbeats do.
func (g group) exchangeClaims(some []*instance) {
	for _, from := range some {
		for _, to := range some {
			to.router.MergeClaims(from.router.Claims())
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

// kill stops an instance without notice.
func (i *instance) kill() {
	_ = i.listener.Close()
	i.server.Close()
	i.client.Close()
}

// group is a set of instances that know each other.
type group []*instance

func newInstances(n int, clock clockwork.Clock) group {
	GinkgoHelper()
	return newInstancesIn(2, n, clock)
}

// newInstancesIn returns n instances spread over the given number of failure domains.
func newInstancesIn(domains, n int, clock clockwork.Clock) group {
	GinkgoHelper()
	var all group
	for k := range n {
		all = append(all, newInstance(k, k%domains, clock))
	}
	for _, i := range all {
		for _, other := range all.others(i) {
			i.members = append(i.members, membership.Member{Instance: other.self, State: membership.Live})
		}
	}
	return all
}

func (g group) kill() {
	for _, i := range g {
		i.kill()
	}
}

func (g group) others(one *instance) []*instance { return without(g, one) }

// run starts a plan on an instance.
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

// planners returns the instances with pending pieces.
func (g group) planners() []*instance {
	var working []*instance
	for _, i := range g {
		if i.pieces.Waiting() > 0 {
			working = append(working, i)
		}
	}
	return working
}

// ownerOf runs a plan from an instance and returns the instance that planned it.
func (g group) ownerOf(i *instance, request string) *instance {
	GinkgoHelper()
	done := g.run(i, request)
	Eventually(g.planners).Should(HaveLen(1))
	owner := g.planners()[0]
	owner.pieces.finish()
	Expect(outcomeOf(done).Results).To(HaveLen(2))
	return owner
}

// holderOf returns the owner of a part as an instance knows it.
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

// enlarge advertises a large machine for one instance.
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

// waiting returns the number of pending pieces.
func (g group) waiting() int {
	n := 0
	for _, i := range g {
		n += i.pieces.Waiting()
	}
	return n
}

// taken returns the number of accepted ledgers.
func (g group) taken() int {
	n := 0
	for _, i := range g {
		n += len(i.pieces.Taken())
	}
	return n
}

// finish completes all pending pieces.
func (g group) finish() {
	for _, i := range g {
		i.pieces.finish()
	}
}

// restart replaces an instance by a new one with the same name and another address.
func (g group) restart(old *instance) *instance {
	GinkgoHelper()
	var n int
	_, err := fmt.Sscanf(old.self.Name, "i%d", &n)
	Expect(err).NotTo(HaveOccurred())
	restarted := newInstance(n, n%2, old.router.clock)
	restarted.members = old.members
	for k, i := range g {
		if i == old {
			g[k] = restarted
			continue
		}
		i.mu.Lock()
		for m := range i.members {
			if i.members[m].Name == old.self.Name {
				i.members[m] = membership.Member{Instance: restarted.self, State: membership.Live}
			}
		}
		i.mu.Unlock()
	}
	return restarted
}

// firstPartStore maps all results to the first part.
type firstPartStore struct{}

func (firstPartStore) Free([]batch.Result) {}

func (firstPartStore) Repartition(results []batch.Result, parts int) []batch.Result {
	moved := slices.Clone(results)
	for i := range moved {
		moved[i].Queue.Part, moved[i].Queue.Parts = 0, parts
	}
	return moved
}

// without returns a list with one instance removed.
func without(list []*instance, one *instance) []*instance {
	var rest []*instance
	for _, i := range list {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}

// unconfiguredHandler serves plans although the instance has no configuration.
type unconfiguredHandler struct{ *Handler }

func newInstance(n, domain int, clock clockwork.Clock) *instance {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	i := &instance{pieces: &heldPieces{}, listener: listener}
	i.self = membership.Instance{Name: fmt.Sprint("i", n), Incarnation: uint64(n), PeerAddress: listener.Addr().String(), FailureDomain: fmt.Sprint("zone-", domain)}
	i.endpoints.Store(1)
	i.client = peers.NewClient(i.self.Name, testToken, nil)
	i.router = NewRouter(Options{
		Self:           i.self,
		Live:           func() []membership.Member { return i.with(membership.Live) },
		Leaving:        func() []membership.Member { return i.with(membership.Leaving) },
		Client:         partitionableCaller{i},
		Planner:        pipeline.NewPlanner(i.pieces, clock, metrics.NewSet(), logging.Discard().For("pipeline")),
		EndpointCounts: func() ownership.EndpointCounts { return ownership.EndpointCounts{Total: int(i.endpoints.Load())} },
		Clock:          clock,
		Log:            logging.Discard().For("handover"),
	})
	i.server = peers.NewServer(unconfiguredHandler{NewHandler(i.router, Backends{})}, testToken, nil, logging.Discard().For("peers"))
	go i.server.Serve(listener)
	return i
}

// Answer skips the configuration check of runs.
func (a unconfiguredHandler) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	if method != api.MethodRun {
		return a.Handler.Answer(ctx, method, raw)
	}
	call, err := peers.DecodeParams[api.RunRequest](method, raw)
	if err != nil {
		return nil, err
	}
	return a.run(ctx, call)
}
