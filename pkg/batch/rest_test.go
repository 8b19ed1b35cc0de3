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

var _ = Describe("an endpoint that wants rest", func() {
	var (
		e     *endpoints
		clock *clockwork.FakeClock
		b     *batch.Batcher
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		e = &endpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, RoomBytes: 1000, Retention: 4 * time.Second},
			ready:    []fleet.Endpoint{{ID: "a", FailureDomain: "zone"}, {ID: "b", FailureDomain: "zone"}},
		}
		b = batch.New(e, e, e, clock, metrics.NewSet(), logging.Discard().For("batch"))
	})

	// have has one piece of a request made beside the test.
	have := func(request string) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		due := clock.Now().Add(time.Hour)
		go func() {
			done <- b.Make(context.Background(), queue, []batch.Piece{{Request: request, Bytes: 10, Due: due, Deadline: due}}, nil)
		}()
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

	It("gets no call, and does not count in what can be made", func() {
		e.setRest("a", 2*time.Second)
		have("r1")
		c := next()
		Expect(c.endpoint).To(Equal("b"))
		have("r2")
		none()
		Expect(b.Capacity(queue)).To(SatisfyAll(HaveField("AtOnce", 4), HaveField("Rest", BeZero())), "that of one endpoint")
		c.made()
		Expect(next().endpoint).To(Equal("b"))
		e.setRest("a", 0)
		clock.Advance(2 * time.Second)
		have("r3")
		Expect(next().endpoint).To(Equal("a"))
	})

	It("is asked to free results when it has had its rest", func() {
		e.setRest("a", time.Second)
		made := have("r1")
		next().made()
		results := <-made
		e.setRest("b", time.Second)
		e.setRest("a", 2*time.Second)
		Expect(b.Capacity(queue)).To(SatisfyAll(HaveField("AtOnce", 0), HaveField("Rest", time.Second)))
		e.setRest("a", 0)
		b.Free(results)
		b.Tick()
		Consistently(e.Freed).WithTimeout(50 * time.Millisecond).Should(BeEmpty())
		e.setRest("b", 0)
		b.Tick()
		Eventually(e.Freed).Should(Equal([]string{results[0].Handle}))
	})
})
