package handover

import (
	"context"
	"encoding/json"
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
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// instantPieces completes pieces immediately.
type instantPieces struct{}

func (instantPieces) Process(_ context.Context, _ batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	results := make([]batch.Result, len(pieces))
	for i := range results {
		results[i] = batch.Result{Handle: "h", Domain: "made"}
	}
	return results
}

func (instantPieces) Free([]batch.Result) {}

func (instantPieces) Inspect(context.Context, []batch.Queue) {}

func (instantPieces) Release(int, int) batch.Ledger { return batch.Ledger{} }

func (instantPieces) Acquire(int, int, batch.Ledger) bool { return false }

func (instantPieces) Resume(int, int) {}

func (instantPieces) Split(batch.Ledger, int) map[int]batch.Ledger { return nil }

func (instantPieces) TrackResults([]batch.Result) {}

func (instantPieces) Capacity(batch.Queue) batch.Capacity {
	return batch.Capacity{PerSecond: 10, AtOnce: 10, CallTime: time.Millisecond}
}

// slowPieces completes pieces once begin is closed.
type slowPieces struct {
	instantPieces
	begin chan struct{}
}

func (s slowPieces) Process(ctx context.Context, at batch.Queue, pieces []batch.Piece, read func()) []batch.Result {
	<-s.begin
	return s.instantPieces.Process(ctx, at, pieces, read)
}

// newTestRouter returns the router of an instance that knows no peers.
func newTestRouter(planner *pipeline.Planner, clock clockwork.Clock) *Router {
	return NewRouter(Options{Self: self(0), Planner: planner, Clock: clock, Log: logging.Discard().For("handover"), Live: func() []membership.Member { return nil }, EndpointCounts: func() ownership.EndpointCounts { return ownership.EndpointCounts{Total: 1} }})
}

var _ = Describe("plans of other instances", func() {
	It("are counted until they finish, so that a graceful shutdown can wait for them", func() {
		clock := clockwork.NewFakeClock()
		slow := slowPieces{begin: make(chan struct{})}
		planner := pipeline.NewPlanner(slow, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
		h := NewHandler(newTestRouter(planner, clock), Backends{})
		call := api.RunRequest{Call: "c", Part: pipeline.Part{Of: 1}, DueMs: 10_000, DeadlineMs: 10_000}
		call.Plan.Stages = []pipeline.Stage{{Service: "s", Pieces: 1}}
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			_, err := h.run(context.Background(), call)
			Expect(err).NotTo(HaveOccurred())
		}()
		Eventually(h.RunningPlans).Should(Equal(1))
		close(slow.begin)
		Eventually(done).Should(BeClosed())
		Expect(h.RunningPlans()).To(BeZero())
	})
})

var _ = Describe("read failures of an endpoint chosen by a planner", func() {
	var (
		clock   *clockwork.FakeClock
		planner *pipeline.Planner
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		planner = pipeline.NewPlanner(instantPieces{}, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	})

	chosen := func() string {
		plan := pipeline.Plan{
			Stages:  []pipeline.Stage{{Service: "s", Pieces: 1}},
			Due:     clock.Now().Add(time.Minute),
			Readers: []pipeline.Reader{{Endpoint: "best", CostMs: 100}, {Endpoint: "second", CostMs: 200}},
		}
		return planner.Run(context.Background(), pipeline.Part{Of: 1}, plan).Reader
	}

	It("exclude the endpoint when a peer reports them", func() {
		Expect(chosen()).To(Equal("best"))
		raw, err := json.Marshal(api.ReaderFailed{Endpoint: "best"})
		Expect(err).NotTo(HaveOccurred())
		_, err = NewHandler(newTestRouter(planner, clock), Backends{}).Answer(context.Background(), api.MethodReaderFailed, raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(chosen()).To(Equal("second"))
	})

	It("are applied directly if the local planner chose the endpoint", func() {
		newTestRouter(planner, clock).ReaderFailed("", "best")
		Expect(chosen()).To(Equal("second"))
	})
})
