package batch_test

import (
	"bytes"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

var _ = Describe("a queue with pieces that prefer another failure domain", func() {
	var (
		e     *fakeEndpoints
		clock *clockwork.FakeClock
		set   *metrics.Set
		lines *test.Hook
		b     *batch.Batcher
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		e = &fakeEndpoints{
			calls: make(chan *call, 100),
			// Call timeouts use the real clock: calls are long so that none ends during a spec.
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 10 * time.Second, PerPiece: 20 * time.Millisecond, MemoryBytes: 1000, Retention: time.Minute},
			ready:    []fleet.Endpoint{{ID: "near", FailureDomain: "here"}, {ID: "far", FailureDomain: "there"}},
		}
		set = metrics.NewSet()
		logger, hook := test.NewNullLogger()
		lines = hook
		b = batch.New(e, e, e, clock, set, logrus.NewEntry(logger))
	})

	submit := func(request, domain string, n int, allowed ...string) {
		pieces := make([]batch.Piece, n)
		for i := range pieces {
			// Transferring the inputs is accepted only in place of a wait of over a minute.
			pieces[i] = batch.Piece{
				Request: request, Index: i, Domain: domain, AllowedDomains: allowed, Inputs: []string{"h"}, InputBytes: 125_000_000,
				Bytes: 10, Due: clock.Now().Add(time.Hour), Deadline: clock.Now().Add(time.Hour),
			}
		}
		go b.Process(context.Background(), queue, pieces, nil)
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

	// occupy starts a call at each endpoint and returns the one at "near".
	occupy := func() *call {
		GinkgoHelper()
		submit("1", "there", 1)
		Expect(nextCall().endpoint).To(Equal("far"))
		submit("2", "here", 1)
		c := nextCall()
		Expect(c.endpoint).To(Equal("near"))
		return c
	}

	crossed := func() string {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		return text.String()
	}

	It("fills a call with them in order instead of sending it nearly empty while a full batch is queued", func() {
		first := occupy()
		submit("3", "there", 4)
		submit("4", "here", 1)
		expectNoCall()
		first.complete()
		c := nextCall()
		Expect(c.endpoint).To(Equal("near"))
		Expect(countByRequest(c.pieces)).To(Equal(map[string]int{"3": 3, "4": 1}))
		Expect(crossed()).To(ContainSubstring("cobaltcroft_stage_pieces_crossed_total 3\n"))
		c.complete()
		Eventually(func() any { return lines.LastEntry().Data["crossed"] }).Should(Equal(3), "the stage_call line has the crossed pieces")
	})

	It("leaves them to their failure domain while less than a full batch is queued", func() {
		first := occupy()
		submit("3", "there", 2)
		submit("4", "here", 1)
		expectNoCall()
		first.complete()
		Expect(countByRequest(nextCall().pieces)).To(Equal(map[string]int{"4": 1}))
		Expect(crossed()).To(ContainSubstring("cobaltcroft_stage_pieces_crossed_total 0\n"))
	})

	It("leaves them to their failure domain while a call is half full without them", func() {
		first := occupy()
		submit("3", "there", 4)
		submit("4", "here", 2)
		expectNoCall()
		first.complete()
		Expect(countByRequest(nextCall().pieces)).To(Equal(map[string]int{"4": 2}))
	})

	It("leaves them to their failure domain while less than a full batch is queued for each free endpoint", func() {
		e.ready = append(e.ready, fleet.Endpoint{ID: "nearby", FailureDomain: "here"})
		e.setBackoff("near", time.Second)
		e.setBackoff("nearby", time.Second)
		submit("1", "there", 1)
		Expect(nextCall().endpoint).To(Equal("far"))
		submit("2", "there", 4)
		submit("3", "there", 3)
		expectNoCall()
		e.setBackoff("near", 0)
		e.setBackoff("nearby", 0)
		clock.Advance(time.Second)
		b.Tick()
		expectNoCall()
		submit("4", "there", 1)
		for range 2 {
			c := nextCall()
			Expect(c.endpoint).To(HavePrefix("near"))
			Expect(c.pieces).To(HaveLen(4))
		}
	})

	It("never takes pieces to a failure domain that is not allowed, nor counts them as a full batch", func() {
		first := occupy()
		submit("3", "there", 4, "there")
		submit("4", "there", 2)
		submit("5", "here", 1)
		expectNoCall()
		first.complete()
		c := nextCall()
		Expect(countByRequest(c.pieces)).To(Equal(map[string]int{"5": 1}))
		submit("6", "there", 4)
		expectNoCall()
		c.complete()
		Expect(countByRequest(nextCall().pieces)).To(Equal(map[string]int{"4": 2, "6": 2}))
	})

	It("fills a call only as far as memory allows", func() {
		e.batching.MemoryBytes = 30
		first := occupy()
		submit("3", "there", 4)
		expectNoCall()
		first.complete()
		Expect(nextCall().pieces).To(HaveLen(2), "the first result still takes a third of the memory")
	})
})
