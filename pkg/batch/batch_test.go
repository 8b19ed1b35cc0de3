package batch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestBatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "batch")
}

var queue = batch.Queue{Service: "s"}

var _ = Describe("a batcher", func() {
	var (
		e     *fakeEndpoints
		clock *clockwork.FakeClock
		b     *batch.Batcher
		begin time.Time
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		begin = clock.Now()
		e = &fakeEndpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, MemoryBytes: 1000, Retention: 4 * time.Second},
			budget:   100,
			ready:    []fleet.Endpoint{{ID: "a", FailureDomain: "zone"}},
		}
		b = batch.New(e, e, e, clock, metrics.NewSet(), logging.Discard().For("batch"))
	})

	pieces := func(request string, n int, due time.Duration) []batch.Piece {
		list := make([]batch.Piece, n)
		for i := range list {
			list[i] = batch.Piece{Request: request, Index: i, Bytes: 10, Due: begin.Add(due), Deadline: begin.Add(time.Hour)}
		}
		return list
	}

	// submit processes pieces in a separate goroutine.
	submit := func(list []batch.Piece, read func()) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		batcher := b
		go func() { done <- batcher.Process(context.Background(), queue, list, read) }()
		return done
	}

	nextCall := func() *call {
		GinkgoHelper()
		var c *call
		Eventually(e.calls).Should(Receive(&c))
		return c
	}

	expectNoCall := func() {
		GinkgoHelper()
		Consistently(e.calls).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	}

	handles := func(results []batch.Result) []string {
		list := make([]string, len(results))
		for i, r := range results {
			list[i] = r.Handle
		}
		return list
	}

	It("sends queued pieces in full batches when the endpoint is free and returns to each caller its own results", func() {
		first := submit(pieces("r1", 1, time.Hour), nil)
		c := nextCall()
		Expect(c.pieces).To(HaveLen(1))
		second := submit(pieces("r2", 3, time.Hour), nil)
		third := submit(pieces("r3", 3, 2*time.Hour), nil)
		expectNoCall()
		c.complete()
		Expect(handles(<-first)).To(Equal([]string{"a/r1-0-0"}))
		c = nextCall()
		Expect(c.pieces).To(HaveLen(4))
		c.complete()
		Expect(handles(<-second)).To(Equal([]string{"a/r2-0-0", "a/r2-0-1", "a/r2-0-2"}))
		c = nextCall()
		Expect(c.pieces).To(HaveLen(2))
		c.complete()
		Expect(handles(<-third)).To(Equal([]string{"a/r3-0-0", "a/r3-0-1", "a/r3-0-2"}))
	})

	It("orders pieces by due time, with those that can't meet it last", func() {
		submit(pieces("now", 1, time.Hour), nil)
		c := nextCall()
		submit(pieces("late", 2, 100*time.Millisecond), nil)
		submit(pieces("far", 2, time.Hour), nil)
		submit(pieces("soon", 2, time.Minute), nil)
		expectNoCall()
		c.complete()
		c = nextCall()
		Expect([]string{c.pieces[0].Request, c.pieces[1].Request, c.pieces[2].Request, c.pieces[3].Request}).To(Equal([]string{"soon", "soon", "far", "far"}))
	})

	DescribeTable("retries a piece after",
		func(outcome batch.CallOutcome) {
			done := submit(pieces("r", 2, time.Hour), nil)
			nextCall().answer <- reply{nil, outcome}
			expectNoCall()
			clock.Advance(time.Second)
			b.Tick()
			nextCall().complete()
			Expect(handles(<-done)).To(Equal([]string{"a/r-0-0", "a/r-0-1"}))
		},
		Entry("a call that was not sent", batch.NotSent),
		Entry("a call that was rejected", batch.NotRun),
		Entry("a call that was lost", batch.Lost),
		Entry("a call to an address that belongs to another endpoint", batch.WrongEndpoint),
		Entry("a call that was barred", batch.Barred),
	)

	// advanceUntilCall advances the clock and ticks the batcher until a call arrives.
	advanceUntilCall := func() {
		GinkgoHelper()
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return len(e.calls)
		}).Should(BeNumerically(">", 0))
	}

	DescribeTable("counts neither as an attempt nor against the retry budget:",
		func(answer reply) {
			e.budget = 0
			done := submit(pieces("r", 2, time.Hour), nil)
			for range 8 {
				nextCall().answer <- answer
				advanceUntilCall()
			}
			nextCall().complete()
			Expect(handles(<-done)).To(Equal([]string{"a/r-0-0", "a/r-0-1"}))
		},
		Entry("a call that the endpoint rejected", reply{nil, batch.NotRun}),
		Entry("a call that was barred", reply{nil, batch.Barred}),
		Entry("a call for which it had no memory", reply{[]batch.Result{{Reason: batch.NoMemory}, {Reason: batch.NoMemory}}, batch.Made}),
	)

	It("does not probe an endpoint whose calls are barred", func() {
		done := submit(pieces("r", 1, time.Hour), nil)
		nextCall().answer <- reply{nil, batch.Barred}
		advanceUntilCall()
		Expect(e.Probes()).To(BeZero())
		nextCall().complete()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("sends no pieces to an unreachable endpoint until a probe succeeds", func() {
		e.setUnreachable("a", true)
		done := submit(pieces("r", 1, time.Hour), nil)
		nextCall().answer <- reply{nil, batch.NotSent}
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return e.Probes()
		}).Should(BeNumerically(">", 2))
		expectNoCall()
		e.setUnreachable("a", false)
		advanceUntilCall()
		nextCall().complete()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("probes the idle endpoints of a failure domain after one did not respond", func() {
		e.ready = []fleet.Endpoint{{ID: "a", FailureDomain: "cut"}, {ID: "b", FailureDomain: "cut"}}
		e.setUnreachable("b", true)
		done := submit(pieces("r", 1, time.Hour), nil)
		c := nextCall()
		if c.endpoint == "b" {
			e.setUnreachable("a", true)
		}
		clock.Advance(300 * time.Millisecond)
		c.answer <- reply{nil, batch.NotSent}
		Eventually(e.Probes).Should(Equal(1), "the other endpoint is probed at once")
		expectNoCall()
		e.setUnreachable("none", true)
		advanceUntilCall()
		nextCall().complete()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("limits batches while results of other planners take memory, until they expire", func() {
		e.batching.MemoryBytes = 2000
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 400
		}
		done := submit(list, nil)
		nextCall().answer <- reply{[]batch.Result{{Handle: "h1"}, {Reason: batch.NoMemory}, {Reason: batch.NoMemory}, {Reason: batch.NoMemory}}, batch.Made}
		advanceUntilCall()
		c := nextCall()
		Expect(len(c.pieces)).To(BeNumerically("<=", 2))
		c.complete()
		clock.Advance(5 * time.Second)
		advanceUntilCall()
		c = nextCall()
		c.complete()
		Expect(handles(<-done)).To(HaveLen(4))
		full := submit(pieces("r2", 4, time.Hour), nil)
		advanceUntilCall()
		c = nextCall()
		Expect(c.pieces).To(HaveLen(4))
		c.complete()
		<-full
	})

	It("splits requests only if the batch would otherwise be too small", func() {
		e.batching.Size = 6
		submit(pieces("busy", 1, time.Hour), nil)
		c := nextCall()
		submit(pieces("r1", 4, time.Minute), nil)
		submit(pieces("r2", 4, 2*time.Minute), nil)
		submit(pieces("r3", 2, 3*time.Minute), nil)
		expectNoCall()
		c.complete()
		c = nextCall()
		Expect(countByRequest(c.pieces)).To(Equal(map[string]int{"r1": 4, "r3": 2}))
		submit(pieces("r4", 5, 3*time.Minute), nil)
		expectNoCall()
		c.complete()
		c = nextCall()
		Expect(countByRequest(c.pieces)).To(Equal(map[string]int{"r2": 4, "r4": 2}))
	})

	It("processes the pieces of a request in one failure domain if the delay is small", func() {
		e.batching.MemoryBytes = 10_000_000
		e.batching.Size = 2
		e.ready = []fleet.Endpoint{{ID: "a", FailureDomain: "here"}, {ID: "b", FailureDomain: "there"}}
		submit(pieces("x", 2, time.Hour), nil)
		first := nextCall()
		list := pieces("r", 3, time.Hour)
		for i := range list {
			list[i].Bytes = 900_000
		}
		submit(list, nil)
		second := nextCall()
		Expect(second.endpoint).NotTo(Equal(first.endpoint))
		first.complete()
		expectNoCall()
		second.complete()
		Expect(nextCall().endpoint).To(Equal(second.endpoint))
	})

	It("sends no piece whose inputs have expired", func() {
		submit(pieces("busy", 1, time.Hour), nil)
		c := nextCall()
		list := pieces("r", 2, time.Hour)
		for i := range list {
			list[i].InputsUntil = begin.Add(time.Second)
		}
		done := submit(list, nil)
		expectNoCall()
		clock.Advance(2 * time.Second)
		c.complete()
		Expect((<-done)[0].Reason).To(Equal(batch.Gone))
		expectNoCall()
	})

	It("times out a call that takes far too long", func() {
		done := submit(pieces("r", 1, time.Hour), nil)
		nextCall()
		// Call timeouts use the real clock.
		Eventually(func() int {
			clock.Advance(time.Second)
			b.Tick()
			return len(e.calls)
		}).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		nextCall().complete()
		Expect(handles(<-done)).To(Equal([]string{"a/r-0-0"}))
	})

	It("gives up when the retry budget is exhausted", func() {
		e.budget = 0
		done := submit(pieces("r", 1, time.Hour), nil)
		nextCall().answer <- reply{nil, batch.Lost}
		Expect((<-done)[0].Reason).To(Equal(batch.Exhausted))
	})

	It("gives up at the deadline", func() {
		submit(pieces("r1", 1, time.Hour), nil)
		nextCall()
		list := pieces("r2", 1, time.Hour)
		list[0].Deadline = begin.Add(time.Second)
		done := submit(list, nil)
		expectNoCall()
		clock.Advance(2 * time.Second)
		b.Tick()
		Expect((<-done)[0].Reason).To(Equal(batch.Late))
	})

	It("drops abandoned pieces and frees their late results", func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan []batch.Result, 1)
		go func() { done <- b.Process(ctx, queue, pieces("r", 6, time.Hour), nil) }()
		c := nextCall()
		cancel()
		Expect((<-done)[0].Reason).To(Equal(batch.Late))
		c.complete()
		Eventually(func() []string {
			b.Tick()
			return e.Freed()
		}).Should(HaveLen(4))
		expectNoCall()
	})

	It("waits for memory and continues when results are freed", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 240
		}
		done := submit(list, nil)
		nextCall().complete()
		results := <-done
		more := submit([]batch.Piece{{Request: "r2", Bytes: 240, Due: begin.Add(time.Hour), Deadline: begin.Add(time.Hour)}}, nil)
		expectNoCall()
		b.Free(results[:2])
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return len(e.calls)
		}).Should(Equal(1))
		nextCall().complete()
		Expect(handles(<-more)).To(HaveLen(1))
		Expect(e.Freed()).To(ConsistOf(results[0].Handle, results[1].Handle))
	})

	It("limits a batch to the free memory", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 400
		}
		submit(list, nil)
		Expect(nextCall().pieces).To(HaveLen(2))
	})

	It("leaves a margin after a memory shortage", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 250
		}
		done := submit(list, nil)
		c := nextCall()
		results := []batch.Result{{Handle: "h1"}, {Handle: "h2"}, {Handle: "h3"}, {Reason: batch.NoMemory}}
		c.answer <- reply{results, batch.Made}
		expectNoCall()
		b.Free([]batch.Result{{Handle: "h1", Endpoint: "a", Queue: queue}})
		Eventually(func() int {
			b.Tick()
			clock.Advance(100 * time.Millisecond)
			return len(e.calls)
		}).Should(Equal(1))
		nextCall().complete()
		Expect(<-done).To(HaveLen(4))
	})

	// answerOneCall completes one call, so that the endpoint is known to have no calls of other
	// planners.
	answerOneCall := func() {
		GinkgoHelper()
		done := submit(pieces("first", 1, time.Hour), nil)
		nextCall().complete()
		Eventually(done).Should(Receive())
	}

	It("does not treat inputs as read at an endpoint that may be at work for another planner", func() {
		done := submit(pieces("r", 2, time.Hour), func() { Fail("onRead was called") })
		c := nextCall()
		clock.Advance(200 * time.Millisecond)
		c.answer <- reply{nil, batch.Lost}
		Eventually(func() int { clock.Advance(300 * time.Millisecond); b.Tick(); return len(e.calls) }).Should(Equal(1), "the piece is retried")
		nextCall().complete()
		Expect((<-done)[0].Handle).NotTo(BeEmpty())
	})

	It("reports when the inputs have been read and does not retry after that", func() {
		answerOneCall()
		read := make(chan struct{})
		done := submit(pieces("r", 2, time.Hour), func() { close(read) })
		c := nextCall()
		Consistently(read).WithTimeout(30 * time.Millisecond).ShouldNot(BeClosed())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(200 * time.Millisecond)
		Eventually(read).Should(BeClosed())
		c.answer <- reply{nil, batch.Lost}
		Expect((<-done)[0].Reason).To(Equal(batch.Gone))
	})

	It("skips a slow endpoint while others can take the whole queue", func() {
		e.ready = []fleet.Endpoint{{ID: "a"}, {ID: "b"}}
		slow := map[string]int{}
		for n := range 10 {
			done := submit(pieces(fmt.Sprint("r", n), 1, time.Hour), nil)
			c := nextCall()
			slow[c.endpoint]++
			if c.endpoint == "a" {
				clock.Advance(2 * time.Second)
			} else {
				clock.Advance(260 * time.Millisecond)
			}
			c.complete()
			<-done
		}
		Expect(slow["a"]).To(BeNumerically("<=", 2))
	})

	It("keeps large results in the preferred failure domain unless the delay is too long", func() {
		e.batching.MemoryBytes = 10_000_000
		e.ready = []fleet.Endpoint{{ID: "here", FailureDomain: "here"}, {ID: "there", FailureDomain: "there"}}
		large := func(request string) []batch.Piece {
			list := pieces(request, 1, time.Hour)
			list[0].Bytes, list[0].Domain = 800_000, "here"
			return list
		}
		submit(large("r1"), nil)
		c := nextCall()
		Expect(c.endpoint).To(Equal("here"))
		submit(large("r2"), nil)
		expectNoCall()
		small := pieces("r3", 1, time.Hour)
		small[0].Domain = "here"
		submit(small, nil)
		Expect(nextCall().endpoint).To(Equal("there"))
		c.complete()
		Expect(nextCall().endpoint).To(Equal("here"))
	})

	It("processes pieces with large inputs in the domain of the inputs unless the delay is too long", func() {
		e.ready = []fleet.Endpoint{{ID: "here", FailureDomain: "here"}, {ID: "there", FailureDomain: "there"}}
		reading := func(request string, bytes int64) []batch.Piece {
			list := pieces(request, 1, time.Hour)
			list[0].Inputs, list[0].InputBytes, list[0].Domain = []string{"h"}, bytes, "here"
			return list
		}
		submit(reading("r1", 800_000), nil)
		Expect(nextCall().endpoint).To(Equal("here"))
		submit(reading("r2", 800_000), nil)
		expectNoCall()
		submit(reading("r3", 1_000), nil)
		Expect(nextCall().endpoint).To(Equal("there"))
	})

	It("sends to an endpoint that is slower than one without eligible pieces", func() {
		e.batching.MemoryBytes = 1 << 20
		e.ready = []fleet.Endpoint{{ID: "far", FailureDomain: "there"}}
		done := submit(pieces("r1", 1, time.Hour), nil)
		first := nextCall()
		// This call is 26 ms faster than the default expected for the other endpoint.
		clock.Advance(195 * time.Millisecond)
		first.complete()
		Eventually(done).Should(Receive())
		e.mu.Lock()
		e.ready = []fleet.Endpoint{{ID: "far", FailureDomain: "there"}, {ID: "near", FailureDomain: "here"}}
		e.mu.Unlock()
		list := pieces("r2", 1, time.Hour)
		list[0].Domain, list[0].Bytes = "here", 200_000
		submit(list, nil)
		Expect(nextCall().endpoint).To(Equal("near"))
	})

	It("sends nothing to an endpoint that is no longer ready", func() {
		e.mu.Lock()
		e.ready = nil
		e.mu.Unlock()
		done := submit(pieces("r", 1, time.Hour), nil)
		expectNoCall()
		e.mu.Lock()
		e.ready = []fleet.Endpoint{{ID: "b"}}
		e.mu.Unlock()
		b.Tick()
		Expect(nextCall().endpoint).To(Equal("b"))
		_ = done
	})
})
