package pipeline_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

func TestPipeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pipeline")
}

// stageCall is one call to Process.
type stageCall struct {
	at     batch.Queue
	pieces []batch.Piece
	read   func()
	done   chan []batch.Result
}

func (m *stageCall) finish(reason batch.Reason) {
	results := make([]batch.Result, len(m.pieces))
	for i, p := range m.pieces {
		results[i] = batch.Result{Reason: reason}
		if reason == "" {
			results[i] = batch.Result{Handle: fmt.Sprintf("%s/%d/%d", p.Request, p.Stage, p.Index), Domain: "made", Bytes: p.Bytes}
		}
	}
	m.done <- results
}

// fakeBatcher implements Batcher for tests.
type fakeBatcher struct {
	stages   chan *stageCall
	capacity batch.Capacity

	mu    sync.Mutex
	freed []string
}

func (m *fakeBatcher) Process(ctx context.Context, at batch.Queue, pieces []batch.Piece, read func()) []batch.Result {
	stage := &stageCall{at, pieces, read, make(chan []batch.Result, 1)}
	m.stages <- stage
	select {
	case results := <-stage.done:
		return results
	case <-ctx.Done():
		return make([]batch.Result, len(pieces))
	}
}

func (m *fakeBatcher) Free(results []batch.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			m.freed = append(m.freed, r.Handle)
		}
	}
}

func (m *fakeBatcher) Freed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.freed...)
}

func (m *fakeBatcher) Inspect(context.Context, []batch.Queue) {}

func (m *fakeBatcher) Release(int, int) batch.Ledger { return batch.Ledger{} }

func (m *fakeBatcher) Acquire(int, int, batch.Ledger) bool { return false }

func (m *fakeBatcher) Resume(int, int) {}

func (m *fakeBatcher) Split(batch.Ledger, int) map[int]batch.Ledger { return nil }

func (m *fakeBatcher) TrackResults([]batch.Result) {}

func (m *fakeBatcher) Capacity(batch.Queue) batch.Capacity { return m.capacity }

var _ = Describe("a planner", func() {
	var (
		m     *fakeBatcher
		clock *clockwork.FakeClock
		p     *pipeline.Planner
	)

	BeforeEach(func() {
		m = &fakeBatcher{
			stages:   make(chan *stageCall, 100),
			capacity: batch.Capacity{PerSecond: 10, AtOnce: 10, CallTime: 300 * time.Millisecond, MemoryBytes: 1000, Size: 4},
		}
		clock = clockwork.NewFakeClock()
		p = pipeline.NewPlanner(m, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	})

	// chain returns a plan with three consecutive stages and an independent one with large results.
	chain := func(request string, left time.Duration) pipeline.Plan {
		return pipeline.Plan{
			Request: request,
			Stages: []pipeline.Stage{
				{Service: "s", Pieces: 2, Bytes: 800},
				{Service: "s", Pieces: 1, Bytes: 1},
				{Service: "t", After: []int{1}, Pieces: 3, Bytes: 100},
				{Service: "u", After: []int{2}, Pieces: 2, Bytes: 1},
			},
			Key:      "key",
			Due:      clock.Now().Add(left),
			Deadline: clock.Now().Add(time.Minute),
			Domain:   "near",
		}
	}

	// inTimeOnly returns a plan that can't be served late, since its deadline is its due time.
	inTimeOnly := func(plan pipeline.Plan) pipeline.Plan {
		plan.Deadline = plan.Due
		return plan
	}

	run := func(plan pipeline.Plan) chan pipeline.Outcome {
		done := make(chan pipeline.Outcome, 1)
		planner := p
		go func() { done <- planner.Run(context.Background(), pipeline.Part{Number: 1, Of: 2}, plan) }()
		return done
	}

	outcomeOf := func(done chan pipeline.Outcome) pipeline.Outcome {
		GinkgoHelper()
		var outcome pipeline.Outcome
		Eventually(done).Should(Receive(&outcome))
		return outcome
	}

	nextStage := func() *stageCall {
		GinkgoHelper()
		var stage *stageCall
		Eventually(m.stages).Should(Receive(&stage))
		return stage
	}

	expectNoStage := func() {
		GinkgoHelper()
		Consistently(m.stages).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
	}

	It("runs each stage after its inputs and an independent one late", func() {
		done := run(chain("r", time.Minute))
		first := nextStage()
		Expect(first.at).To(Equal(batch.Queue{Service: "s", Part: 1, Parts: 2}))
		Expect(first.pieces).To(HaveLen(1))
		Expect(first.pieces[0]).To(SatisfyAll(HaveField("Stage", 1), HaveField("Key", "key"), HaveField("Domain", "near")))
		expectNoStage()
		first.finish("")
		second := nextStage()
		Expect(second.pieces).To(HaveLen(3))
		Expect(second.pieces[0]).To(SatisfyAll(HaveField("Inputs", []string{"r/1/0"}), HaveField("Key", ""), HaveField("Domain", "made")))
		expectNoStage()
		second.finish("")
		last := map[int]*stageCall{}
		for range 2 {
			stage := nextStage()
			last[stage.pieces[0].Stage] = stage
		}
		Expect(last[3].pieces[0].Inputs).To(HaveLen(3))
		Expect(last[0].pieces).To(HaveLen(2))
		last[3].finish("")
		last[0].finish("")
		outcome := outcomeOf(done)
		Expect(outcome.Reason).To(BeEmpty())
		Expect(outcome.Results).To(HaveLen(4))
		Expect(m.Freed()).To(ConsistOf("r/1/0", "r/2/0", "r/2/1", "r/2/2"))
	})

	It("subtracts the time of later stages from the due time", func() {
		plan := chain("r", time.Minute)
		run(plan)
		Expect(nextStage().pieces[0].Due).To(Equal(plan.Due.Add(-600 * time.Millisecond)))
	})

	It("skips stages without pieces", func() {
		plan := chain("r", time.Minute)
		plan.Stages[0].Pieces = 0
		plan.Stages[2].Pieces = 0
		done := run(plan)
		nextStage().finish("")
		stage := nextStage()
		Expect(stage.pieces[0]).To(SatisfyAll(HaveField("Stage", 3), HaveField("Inputs", BeEmpty())))
		stage.finish("")
		Expect(outcomeOf(done).Results).To(HaveLen(2))
	})

	It("forecasts a stage whose endpoints all requested a back-off by the first one to end", func() {
		m.capacity = batch.Capacity{CallTime: 300 * time.Millisecond, Backoff: 1500 * time.Millisecond, MemoryBytes: 1000, Size: 4}
		refused := outcomeOf(run(chain("late", 2*time.Second)))
		Expect(refused.Reason).To(Equal(pipeline.Busy))
		Expect(refused.RetryAfter).To(BeNumerically("<", 1500*time.Millisecond), "the delay is shorter than the forecast for a stage without endpoints")
		run(chain("in time", 2800*time.Millisecond))
		Eventually(m.stages).Should(Receive())
	})

	It("refuses a plan that would be late immediately, with a retry delay", func() {
		// Three pieces wait for t at one per second; three calls alone would be in time.
		m.capacity.PerSecond, m.capacity.AtOnce = 1, 1
		outcome := outcomeOf(run(chain("r", 1500*time.Millisecond)))
		Expect(outcome.Reason).To(Equal(pipeline.Busy))
		Expect(outcome.RetryAfter).To(BeNumerically(">", 500*time.Millisecond))
		expectNoStage()
	})

	It("adds the allowed lateness to the forecast", func() {
		// Three calls of 300 ms and the initial lateness of 100 ms.
		Expect(outcomeOf(run(inTimeOnly(chain("late", 950*time.Millisecond)))).Reason).To(Equal(pipeline.Busy))
		run(inTimeOnly(chain("in time", 1050*time.Millisecond)))
		nextStage()
	})

	It("counts pending pieces until they are settled", func() {
		var admitted []chan pipeline.Outcome
		for n := range 20 {
			admitted = append(admitted, run(chain(fmt.Sprint("r", n), 6500*time.Millisecond)))
		}
		var stages []*stageCall
		for range 20 {
			stages = append(stages, nextStage())
		}
		// 60 pieces with earlier due times wait for u, at ten pieces per second.
		clock.Advance(2 * time.Second)
		Expect(outcomeOf(run(chain("late", 5*time.Second))).Reason).To(Equal(pipeline.Busy))
		for _, stage := range stages {
			stage.finish(batch.Exhausted)
		}
		for _, done := range admitted {
			Expect(outcomeOf(done).Reason).To(Equal(batch.Exhausted))
		}
		run(chain("in time", 5*time.Second))
		nextStage()
	})

	It("admits plans with earlier due times, but no less urgent plans before urgent ones", func() {
		// 60 pieces wait for u, at ten pieces per second.
		for n := range 20 {
			plan := chain(fmt.Sprint("r", n), 6500*time.Millisecond)
			plan.Priority = 1
			run(plan)
			nextStage()
		}
		clock.Advance(2 * time.Second)
		less := chain("less", 2*time.Second)
		less.Priority = 2
		Expect(outcomeOf(run(less)).Reason).To(Equal(pipeline.Busy))
		run(chain("due first", 2*time.Second))
		nextStage()
		Expect(outcomeOf(run(chain("due later", 5*time.Second))).Reason).To(Equal(pipeline.Busy))
	})

	// Otherwise plans with a long call of their own exclude others from a queue that nothing waits in.
	It("affects no others with plans that would be late without any wait", func() {
		m.capacity.PerSecond, m.capacity.AtOnce = 100, 40
		for n := range 100 {
			Expect(outcomeOf(run(inTimeOnly(chain(fmt.Sprint("own time", n), 500*time.Millisecond)))).Reason).To(Equal(pipeline.Busy))
		}
		for n := range 20 {
			less := chain(fmt.Sprint("r", n), time.Minute)
			less.Priority = 2
			run(less)
		}
		for range 20 {
			nextStage()
		}
	})

	It("tracks the lateness of each priority separately", func() {
		for n := range 40 {
			plan := chain(fmt.Sprint("r", n), time.Minute)
			plan.Stages = plan.Stages[:1]
			plan.Priority = 1
			done := run(plan)
			stage := nextStage()
			clock.Advance(2 * time.Second)
			stage.finish("")
			outcomeOf(done)
		}
		late := inTimeOnly(chain("late", 1050*time.Millisecond))
		late.Priority = 1
		Expect(outcomeOf(run(late)).Reason).To(Equal(pipeline.Busy))
		run(inTimeOnly(chain("in time", 1050*time.Millisecond)))
		nextStage()
	})

	Describe("of a plan without enough time of its own", func() {
		It("serves it late, after all that can be in time", func() {
			run(chain("late", 500*time.Millisecond))
			stage := nextStage()
			Expect(stage.pieces[0].Due).To(BeTemporally("<=", clock.Now()))
		})

		It("refuses it if it can't finish by its deadline", func() {
			plan := chain("late", 500*time.Millisecond)
			plan.Deadline = clock.Now().Add(990 * time.Millisecond)
			Expect(outcomeOf(run(plan)).Reason).To(Equal(pipeline.Busy))
			plan.Deadline = clock.Now().Add(1010 * time.Millisecond)
			run(plan)
			nextStage()
		})

		It("refuses it while a queue is contended, also by plans that were refused", func() {
			m.capacity.PerSecond, m.capacity.AtOnce = 2, 1
			for n := range 4 {
				Expect(outcomeOf(run(chain(fmt.Sprint("r", n), 1010*time.Millisecond))).Reason).To(Equal(pipeline.Busy))
			}
			Expect(outcomeOf(run(chain("late", 500*time.Millisecond))).Reason).To(Equal(pipeline.Busy))
			clock.Advance(5 * time.Second)
			run(chain("late again", 500*time.Millisecond))
			nextStage()
		})

		It("refuses it if a stage has no endpoint", func() {
			m.capacity = batch.Capacity{}
			Expect(outcomeOf(run(chain("late", 500*time.Millisecond))).Reason).To(Equal(pipeline.Busy))
		})

		// Otherwise the plans that are served late make others late.
		It("does not count its pieces as ahead of others", func() {
			for n := range 20 {
				plan := chain(fmt.Sprint("late", n), 500*time.Millisecond)
				plan.Priority = n % 3
				run(plan)
				nextStage()
			}
			other := chain("in time", 1050*time.Millisecond)
			other.Priority = 2
			run(other)
			Expect(nextStage().pieces[0].Request).To(Equal("in time"))
		})
	})

	It("frees the results of a failed plan", func() {
		done := run(chain("r", time.Minute))
		nextStage().finish("")
		nextStage().finish(batch.Exhausted)
		Expect(outcomeOf(done).Reason).To(Equal(batch.Exhausted))
		Expect(m.Freed()).To(ConsistOf("r/1/0"))
		expectNoStage()
	})

	It("frees results when they have been read if memory is scarce", func() {
		m.capacity.MemoryBytes = 500
		done := run(chain("r", time.Minute))
		nextStage().finish("")
		second := nextStage()
		Expect(second.read).To(BeNil(), "memory suffices for the results of the first stage")
		second.finish("")
		last := map[int]*stageCall{}
		for range 2 {
			stage := nextStage()
			last[stage.pieces[0].Stage] = stage
		}
		last[0].finish("")
		third := last[3]
		third.read()
		Expect(m.Freed()).To(ConsistOf("r/1/0", "r/2/0", "r/2/1", "r/2/2"))
		third.finish("")
		Expect(outcomeOf(done).Reason).To(BeEmpty())
	})

	It("restarts a plan once when an input is gone", func() {
		done := run(chain("r", time.Minute))
		nextStage().finish("")
		nextStage().finish(batch.Gone)
		again := nextStage()
		Expect(again.pieces[0].Stage).To(Equal(1))
		again.finish(batch.Gone)
		Expect(outcomeOf(done).Reason).To(Equal(batch.Gone))
	})

	// readerOf executes the stages of a plan and returns the endpoint chosen for it.
	readerOf := func(request string, readers ...pipeline.Reader) string {
		GinkgoHelper()
		plan := chain(request, time.Minute)
		plan.Stages = plan.Stages[:1]
		plan.Readers = readers
		done := run(plan)
		nextStage().finish("")
		return outcomeOf(done).Reader
	}

	It("balances readers over the requests of all instances", func() {
		best := pipeline.Reader{Endpoint: "best", Domain: "made", CostMs: 100, ReadingMs: 100}
		second := pipeline.Reader{Endpoint: "second", Domain: "made", CostMs: 150, ReadingMs: 100}
		Expect(readerOf("r1", best, second)).To(Equal("best"))
		Expect(readerOf("r2", best, second)).To(Equal("second"))
		Expect(readerOf("r3", best, second)).To(Equal("best"))
		clock.Advance(time.Second)
		Expect(readerOf("r4", best, second)).To(Equal("best"))
		Expect(readerOf("r5")).To(BeEmpty())
	})

	It("avoids an endpoint for a while after requests failed there", func() {
		best := pipeline.Reader{Endpoint: "best", Domain: "made", CostMs: 100}
		second := pipeline.Reader{Endpoint: "second", Domain: "made", CostMs: 150}
		p.ReaderFailed("best")
		p.ReaderFailed("best")
		Expect(readerOf("r1", best, second)).To(Equal("second"))
		clock.Advance(5 * time.Second)
		Expect(readerOf("r2", best, second)).To(Equal("second"))
		clock.Advance(5 * time.Second)
		Expect(readerOf("r3", best, second)).To(Equal("best"))
	})

	It("chooses an endpoint in the failure domain of large results", func() {
		far := pipeline.Reader{Endpoint: "far", Domain: "far", CostMs: 100}
		near := pipeline.Reader{Endpoint: "near", Domain: "made", CostMs: 150}
		Expect(readerOf("small", far, near)).To(Equal("far"), "the results are only 800 bytes each")
		plan := chain("large", time.Minute)
		plan.Stages = plan.Stages[:1]
		plan.Stages[0].Bytes = 800_000
		plan.Readers = []pipeline.Reader{far, near}
		done := run(plan)
		nextStage().finish("")
		Expect(outcomeOf(done).Reader).To(Equal("near"))
	})

	It("ends when its context is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan pipeline.Outcome, 1)
		go func() { done <- p.Run(ctx, pipeline.Part{Of: 1}, chain("r", time.Minute)) }()
		nextStage()
		cancel()
		Expect(outcomeOf(done).Reason).NotTo(BeEmpty())
	})
})
