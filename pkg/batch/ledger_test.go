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

var _ = Describe("the work of a part", func() {
	var (
		e     *endpoints
		clock *clockwork.FakeClock
		whole = batch.Queue{Service: "s", Part: 0, Parts: 1}
	)

	newBatcher := func() *batch.Batcher {
		return batch.New(e, e, e, clock, metrics.NewSet(), logging.Discard().For("batch"))
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		e = &endpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, RoomBytes: 1000, Retention: 4 * time.Second},
			budget:   100,
			ready:    []fleet.Endpoint{{ID: "a", FailureDomain: "zone"}},
			reports:  map[string]batch.Report{},
		}
	})

	have := func(b *batch.Batcher, request string, n int) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		list := make([]batch.Piece, n)
		for i := range list {
			list[i] = batch.Piece{Request: request, Index: i, Bytes: 100, Due: clock.Now().Add(time.Hour), Deadline: clock.Now().Add(time.Hour)}
		}
		go func() { done <- b.Make(context.Background(), whole, list, nil) }()
		return done
	}

	next := func() *call {
		GinkgoHelper()
		var c *call
		Eventually(e.calls).Should(Receive(&c))
		return c
	}

	none := func() {
		GinkgoHelper()
		Consistently(e.calls).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	}

	// waiting has pieces of two requests made, of which four are in a call and two wait.
	waiting := func(b *batch.Batcher) (*call, chan []batch.Result, chan []batch.Result) {
		GinkgoHelper()
		first := have(b, "r1", 4)
		c := next()
		second := have(b, "r2", 2)
		none()
		return c, first, second
	}

	It("that is given up begins no call, settles what waits as moved, and keeps what comes", func() {
		b := newBatcher()
		c, first, second := waiting(b)
		b.Release(0, 1)
		var moved []batch.Result
		Eventually(second).Should(Receive(&moved))
		Expect(moved).To(HaveEach(batch.Result{Reason: batch.Moved}))
		c.made()
		var made []batch.Result
		Eventually(first).Should(Receive(&made))
		Expect(made).To(HaveEach(HaveField("Handle", Not(BeEmpty()))))
		Eventually(have(b, "r3", 1)).Should(Receive(HaveEach(batch.Result{Reason: batch.Moved})))
		none()
		b.Resume(0, 1)
		have(b, "r4", 1)
		next()
	})

	It("that another gave up waits for its calls, and counts what it held", func() {
		before := newBatcher()
		c, _, _ := waiting(before)
		c.made()
		Expect(next().pieces).To(HaveLen(2))
		ledger := before.Release(0, 1)
		Expect(ledger.Endpoints).To(HaveLen(1))
		Expect(ledger.Endpoints[0]).To(SatisfyAll(HaveField("Calls", 1), HaveField("Held", HaveLen(4)), HaveField("ReservedBytes", int64(200))))

		after := newBatcher()
		after.Take(0, 1, ledger)
		Expect(after.Capacity(whole).Others).To(BeNumerically(">", 0))
		have(after, "r4", 4)
		none()
		clock.Advance(400 * time.Millisecond)
		after.Tick()
		Expect(next().pieces).To(HaveLen(4), "400 of 1000 bytes are held")
		Expect(after.Capacity(whole).Others).To(BeZero())
	})

	It("that this one planned all the while goes on at endpoints that another was cut off from", func() {
		before := newBatcher()
		have(before, "r1", 1)
		next().answer <- reply{nil, batch.Lost}
		Eventually(func() float64 { return before.Capacity(whole).PerSecond }).Should(BeZero())
		ledger := before.Release(0, 1)
		Expect(ledger.Endpoints[0].Unreached).To(BeTrue())
		By("one that knows nothing of them")
		fresh := newBatcher()
		Expect(fresh.Take(0, 1, ledger)).To(BeFalse())
		have(fresh, "r2", 1)
		none()
		By("one whose calls have ended there")
		after := newBatcher()
		done := have(after, "r3", 1)
		next().made()
		Eventually(done).Should(Receive())
		Expect(after.Take(0, 1, ledger)).To(BeTrue())
		have(after, "r4", 1)
		next()
	})

	It("of which nothing is known begins with what its endpoints report", func() {
		e.reports["a"] = batch.Report{Waiting: 1, Busy: true, FreeBytes: 100}
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		// One call waits, and half of one is left: 480 ms.
		Expect(b.Capacity(whole).Others).To(BeNumerically("~", 6, 0.1))
		have(b, "r1", 4)
		none()
		clock.Advance(490 * time.Millisecond)
		b.Tick()
		Expect(len(next().pieces)).To(BeNumerically("<", 4), "the room of those that died goes bit by bit")
	})

	It("is not inspected while it goes on, and begins at once where an endpoint tells nothing", func() {
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		done := have(b, "r1", 1)
		next().made()
		Eventually(done).Should(Receive())
		e.reports["a"] = batch.Report{Waiting: 3, Busy: true}
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).Others).To(BeZero())
		clock.Advance(3 * time.Second)
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).Others).To(BeNumerically(">", 0))
	})

	It("goes to those of its endpoints that answer, until the others are reached", func() {
		e.ready = append(e.ready, fleet.Endpoint{ID: "b", FailureDomain: "other"})
		e.reports["b"] = batch.Report{FreeBytes: 1000}
		e.setCut("a", true)
		b := newBatcher()
		whole2 := b.Capacity(whole).PerSecond
		b.Inspect(context.Background(), []batch.Queue{whole})
		Expect(b.Capacity(whole).PerSecond).To(BeNumerically("~", whole2/2, 0.1))
		have(b, "r1", 8)
		Expect(next().endpoint).To(Equal("b"))
		none()
		e.setCut("a", false)
		clock.Advance(300 * time.Millisecond)
		b.Tick()
		Expect(next().endpoint).To(Equal("a"))
	})

	It("is counted at most in the room that there is, where endpoints tell it roughly", func() {
		e.reports["a"] = batch.Report{FreeBytes: 1_000_000}
		b := newBatcher()
		b.Inspect(context.Background(), []batch.Queue{whole})
		have(b, "r1", 4)
		Expect(next().pieces).To(HaveLen(4))
	})
})
