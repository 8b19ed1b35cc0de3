package batch_test

import (
	"context"
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

var _ = Describe("the work of a partition", func() {
	var (
		e     *fakeEndpoints
		clock *clockwork.FakeClock
		whole = batch.Queue{Service: "s", Part: 0, Parts: 1}
	)

	newBatcher := func() *batch.Batcher {
		return batch.New(e, e, e, clock, metrics.NewSet(), logging.Discard().For("batch"))
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		e = &fakeEndpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, MemoryBytes: 1000, Retention: 4 * time.Second},
			budget:   100,
			ready:    []fleet.Endpoint{{ID: "a", FailureDomain: "zone"}},
			reports:  map[string]batch.Report{},
		}
	})

	submit := func(b *batch.Batcher, request string, n int) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		list := make([]batch.Piece, n)
		for i := range list {
			list[i] = batch.Piece{Request: request, Index: i, Bytes: 100, Due: clock.Now().Add(time.Hour), Deadline: clock.Now().Add(time.Hour)}
		}
		go func() { done <- b.Process(context.Background(), whole, list, nil) }()
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

	// submitTwo submits two requests: four pieces are in a call and two are queued.
	submitTwo := func(b *batch.Batcher) (*call, chan []batch.Result, chan []batch.Result) {
		GinkgoHelper()
		first := submit(b, "r1", 4)
		c := nextCall()
		second := submit(b, "r2", 2)
		expectNoCall()
		return c, first, second
	}

	It("sends no calls after its release, settles queued pieces as moved and keeps results of running calls", func() {
		b := newBatcher()
		c, first, second := submitTwo(b)
		b.Release(0, 1)
		var moved []batch.Result
		Eventually(second).Should(Receive(&moved))
		Expect(moved).To(HaveEach(batch.Result{Reason: batch.Moved}))
		c.complete()
		var made []batch.Result
		Eventually(first).Should(Receive(&made))
		Expect(made).To(HaveEach(HaveField("Handle", Not(BeEmpty()))))
		Eventually(submit(b, "r3", 1)).Should(Receive(HaveEach(batch.Result{Reason: batch.Moved})))
		expectNoCall()
		b.Resume(0, 1)
		submit(b, "r4", 1)
		nextCall()
	})

	It("accounts for running calls and stored results of the previous planner", func() {
		before := newBatcher()
		c, _, _ := submitTwo(before)
		c.complete()
		Expect(nextCall().pieces).To(HaveLen(2))
		ledger := before.Release(0, 1)
		Expect(ledger.Endpoints).To(HaveLen(1))
		Expect(ledger.Endpoints[0]).To(SatisfyAll(HaveField("Calls", 1), HaveField("Held", HaveLen(4)), HaveField("ReservedBytes", int64(200))))

		after := newBatcher()
		after.Acquire(0, 1, ledger)
		Expect(after.Capacity(whole).ExternalBacklog).To(BeNumerically(">", 0))
		submit(after, "r4", 4)
		expectNoCall()
		clock.Advance(400 * time.Millisecond)
		after.Tick()
		Expect(nextCall().pieces).To(HaveLen(4), "400 of 1000 bytes are held")
		Expect(after.Capacity(whole).ExternalBacklog).To(BeZero())
	})

	It("continues at endpoints that it can reach although the other planner could not", func() {
		before := newBatcher()
		submit(before, "r1", 1)
		nextCall().answer <- reply{nil, batch.Lost}
		Eventually(func() float64 { return before.Capacity(whole).PerSecond }).Should(BeZero())
		ledger := before.Release(0, 1)
		Expect(ledger.Endpoints[0].Unreached).To(BeTrue())
		By("a planner without calls to them")
		fresh := newBatcher()
		Expect(fresh.Acquire(0, 1, ledger)).To(BeFalse())
		submit(fresh, "r2", 1)
		expectNoCall()
		By("a planner with a recent successful call")
		after := newBatcher()
		done := submit(after, "r3", 1)
		nextCall().complete()
		Eventually(done).Should(Receive())
		Expect(after.Acquire(0, 1, ledger)).To(BeTrue())
		submit(after, "r4", 1)
		nextCall()
	})

	It("starts from the reports of its endpoints if there is no previous state", func() {
		e.reports["a"] = batch.Report{Waiting: 1, Busy: true, FreeBytes: 100}
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		// One queued call and half of a running one: 480 ms.
		Expect(b.Capacity(whole).ExternalBacklog).To(BeNumerically("~", 6, 0.1))
		submit(b, "r1", 4)
		expectNoCall()
		clock.Advance(490 * time.Millisecond)
		b.Tick()
		Expect(len(nextCall().pieces)).To(BeNumerically("<", 4), "untracked results expire gradually")
	})

	It("is not inspected while active and starts at once if an endpoint reports nothing", func() {
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		done := submit(b, "r1", 1)
		nextCall().complete()
		Eventually(done).Should(Receive())
		e.reports["a"] = batch.Report{Waiting: 3, Busy: true}
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).ExternalBacklog).To(BeZero())
		clock.Advance(3 * time.Second)
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).ExternalBacklog).To(BeNumerically(">", 0))
	})

	It("goes to the endpoints that answer until the others are reached", func() {
		e.ready = append(e.ready, fleet.Endpoint{ID: "b", FailureDomain: "other"})
		e.reports["b"] = batch.Report{FreeBytes: 1000}
		e.setUnreachable("a", true)
		b := newBatcher()
		fullRate := b.Capacity(whole).PerSecond
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).PerSecond).To(BeNumerically("~", fullRate/2, 0.1))
		submit(b, "r1", 8)
		Expect(nextCall().endpoint).To(Equal("b"))
		expectNoCall()
		e.setUnreachable("a", false)
		clock.Advance(300 * time.Millisecond)
		b.Tick()
		Expect(nextCall().endpoint).To(Equal("a"))
	})

	It("goes to an endpoint that answers an inspection before its next probe is due", func() {
		e.reports["a"] = batch.Report{FreeBytes: 1000}
		e.setUnreachable("a", true)
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		for probes := range 6 {
			clock.Advance(5 * time.Second)
			b.Tick()
			Eventually(e.Probes).Should(Equal(probes + 1))
			// The next back-off counts from when the outcome is recorded.
			Eventually(b.Probing).Should(BeFalse())
		}
		e.setUnreachable("a", false)
		clock.Advance(2100 * time.Millisecond)
		b.Inspect(context.Background(), []batch.Queue{whole})
		submit(b, "r1", 1)
		Expect(nextCall().endpoint).To(Equal("a"))
	})

	It("caps reported free memory at the configured memory", func() {
		e.reports["a"] = batch.Report{FreeBytes: 1_000_000}
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		submit(b, "r1", 4)
		Expect(nextCall().pieces).To(HaveLen(4))
	})
})
