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

var _ = Describe("an endpoint that requested a back-off", func() {
	var (
		e     *fakeEndpoints
		clock *clockwork.FakeClock
		b     *batch.Batcher
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		e = &fakeEndpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, MemoryBytes: 1000, Retention: 4 * time.Second},
			ready:    []fleet.Endpoint{{ID: "a", FailureDomain: "zone"}, {ID: "b", FailureDomain: "zone"}},
		}
		b = batch.New(e, e, e, clock, metrics.NewSet(), logging.Discard().For("batch"))
	})

	// submit processes one piece of a request in a separate goroutine.
	submit := func(request string) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		due := clock.Now().Add(time.Hour)
		go func() {
			done <- b.Process(context.Background(), queue, []batch.Piece{{Request: request, Bytes: 10, Due: due, Deadline: due}}, nil)
		}()
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

	It("gets no call and does not count in the capacity", func() {
		e.setBackoff("a", 2*time.Second)
		submit("r1")
		c := nextCall()
		Expect(c.endpoint).To(Equal("b"))
		submit("r2")
		expectNoCall()
		Expect(b.Capacity(queue)).To(SatisfyAll(HaveField("AtOnce", 4), HaveField("Backoff", BeZero())), "the capacity of one endpoint")
		c.complete()
		Expect(nextCall().endpoint).To(Equal("b"))
		e.setBackoff("a", 0)
		clock.Advance(2 * time.Second)
		submit("r3")
		Expect(nextCall().endpoint).To(Equal("a"))
	})

	It("is asked to free results after the back-off", func() {
		e.setBackoff("a", time.Second)
		made := submit("r1")
		nextCall().complete()
		results := <-made
		e.setBackoff("b", time.Second)
		e.setBackoff("a", 2*time.Second)
		Expect(b.Capacity(queue)).To(SatisfyAll(HaveField("AtOnce", 0), HaveField("Backoff", time.Second)))
		e.setBackoff("a", 0)
		b.Free(results)
		b.Tick()
		Consistently(e.Freed).WithTimeout(50 * time.Millisecond).Should(BeEmpty())
		e.setBackoff("b", 0)
		b.Tick()
		Eventually(e.Freed).Should(Equal([]string{results[0].Handle}))
	})
})
