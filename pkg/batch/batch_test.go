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
		e     *endpoints
		clock *clockwork.FakeClock
		b     *batch.Batcher
		begin time.Time
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		begin = clock.Now()
		e = &endpoints{
			calls:    make(chan *call, 100),
			batching: route.Batching{Slots: 1, Size: 4, PerCall: 240 * time.Millisecond, PerPiece: 20 * time.Millisecond, RoomBytes: 1000, Retention: 4 * time.Second},
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

	// make has pieces made beside the test.
	have := func(list []batch.Piece, read func()) chan []batch.Result {
		done := make(chan []batch.Result, 1)
		batcher := b
		go func() { done <- batcher.Make(context.Background(), queue, list, read) }()
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

	handles := func(results []batch.Result) []string {
		list := make([]string, len(results))
		for i, r := range results {
			list[i] = r.Handle
		}
		return list
	}

	It("sends what waits in full calls when the endpoint is free, and gives each its own result", func() {
		first := have(pieces("r1", 1, time.Hour), nil)
		c := next()
		Expect(c.pieces).To(HaveLen(1))
		second := have(pieces("r2", 3, time.Hour), nil)
		third := have(pieces("r3", 3, 2*time.Hour), nil)
		none()
		c.made()
		Expect(handles(<-first)).To(Equal([]string{"a/r1-0-0"}))
		c = next()
		Expect(c.pieces).To(HaveLen(4))
		c.made()
		Expect(handles(<-second)).To(Equal([]string{"a/r2-0-0", "a/r2-0-1", "a/r2-0-2"}))
		c = next()
		Expect(c.pieces).To(HaveLen(2))
		c.made()
		Expect(handles(<-third)).To(Equal([]string{"a/r3-0-0", "a/r3-0-1", "a/r3-0-2"}))
	})

	It("takes the soonest due first, but what can't be in time after the others", func() {
		have(pieces("now", 1, time.Hour), nil)
		c := next()
		have(pieces("late", 2, 100*time.Millisecond), nil)
		have(pieces("far", 2, time.Hour), nil)
		have(pieces("soon", 2, time.Minute), nil)
		none()
		c.made()
		c = next()
		Expect([]string{c.pieces[0].Request, c.pieces[1].Request, c.pieces[2].Request, c.pieces[3].Request}).To(Equal([]string{"soon", "soon", "far", "far"}))
	})

	DescribeTable("has a piece made again after",
		func(outcome batch.CallOutcome) {
			done := have(pieces("r", 2, time.Hour), nil)
			next().answer <- reply{nil, outcome}
			none()
			clock.Advance(time.Second)
			b.Tick()
			next().made()
			Expect(handles(<-done)).To(Equal([]string{"a/r-0-0", "a/r-0-1"}))
		},
		Entry("a call that was not sent", batch.NotSent),
		Entry("a call that was not run", batch.NotRun),
		Entry("a call that was lost", batch.Lost),
		Entry("a call to an address that another has", batch.Wrong),
		Entry("a call that may not be made now", batch.Barred),
	)

	// pass lets time pass, with looks at what waits, until a call comes.
	pass := func() {
		GinkgoHelper()
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return len(e.calls)
		}).Should(BeNumerically(">", 0))
	}

	DescribeTable("does not count as a try, nor against the budget,",
		func(answer reply) {
			e.budget = 0
			done := have(pieces("r", 2, time.Hour), nil)
			for range 8 {
				next().answer <- answer
				pass()
			}
			next().made()
			Expect(handles(<-done)).To(Equal([]string{"a/r-0-0", "a/r-0-1"}))
		},
		Entry("a call that the endpoint did not take", reply{nil, batch.NotRun}),
		Entry("a call that may not be made now", reply{nil, batch.Barred}),
		Entry("a call for which it had no room", reply{[]batch.Result{{Reason: batch.NoRoom}, {Reason: batch.NoRoom}}, batch.Made}),
	)

	It("does not try to reach an endpoint that may not be called now", func() {
		done := have(pieces("r", 1, time.Hour), nil)
		next().answer <- reply{nil, batch.Barred}
		pass()
		Expect(e.Reaches()).To(BeZero())
		next().made()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("has no pieces wait for an endpoint that can't be reached, until it can", func() {
		e.setCut("a", true)
		done := have(pieces("r", 1, time.Hour), nil)
		next().answer <- reply{nil, batch.NotSent}
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return e.Reaches()
		}).Should(BeNumerically(">", 2))
		none()
		e.setCut("a", false)
		pass()
		next().made()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("reaches the idle endpoints of a failure domain of which one was silent, before they get pieces", func() {
		e.ready = []fleet.Endpoint{{ID: "a", FailureDomain: "cut"}, {ID: "b", FailureDomain: "cut"}}
		e.setCut("b", true)
		done := have(pieces("r", 1, time.Hour), nil)
		c := next()
		if c.endpoint == "b" {
			e.setCut("a", true)
		}
		clock.Advance(300 * time.Millisecond)
		c.answer <- reply{nil, batch.NotSent}
		Eventually(e.Reaches).Should(Equal(1), "the other one, at once")
		none()
		e.setCut("none", true)
		pass()
		next().made()
		Expect(handles(<-done)).To(HaveLen(1))
	})

	It("sends no more than there was room for while others' results take it, and more again later", func() {
		e.batching.RoomBytes = 2000
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 400
		}
		done := have(list, nil)
		next().answer <- reply{[]batch.Result{{Handle: "h1"}, {Reason: batch.NoRoom}, {Reason: batch.NoRoom}, {Reason: batch.NoRoom}}, batch.Made}
		pass()
		c := next()
		Expect(len(c.pieces)).To(BeNumerically("<=", 2))
		c.made()
		clock.Advance(5 * time.Second)
		pass()
		c = next()
		c.made()
		Expect(handles(<-done)).To(HaveLen(4))
		full := have(pieces("r2", 4, time.Hour), nil)
		pass()
		c = next()
		Expect(c.pieces).To(HaveLen(4))
		c.made()
		<-full
	})

	It("takes requests whole, and parts of them only where the call would be far from full", func() {
		e.batching.Size = 6
		have(pieces("busy", 1, time.Hour), nil)
		c := next()
		have(pieces("r1", 4, time.Minute), nil)
		have(pieces("r2", 4, 2*time.Minute), nil)
		have(pieces("r3", 2, 3*time.Minute), nil)
		none()
		c.made()
		c = next()
		Expect(requests(c.pieces)).To(Equal(map[string]int{"r1": 4, "r3": 2}))
		have(pieces("r4", 5, 3*time.Minute), nil)
		none()
		c.made()
		c = next()
		Expect(requests(c.pieces)).To(Equal(map[string]int{"r2": 4, "r4": 2}))
	})

	It("makes the pieces of a request in one failure domain, if that takes little longer", func() {
		e.batching.RoomBytes = 10_000_000
		e.batching.Size = 2
		e.ready = []fleet.Endpoint{{ID: "a", FailureDomain: "here"}, {ID: "b", FailureDomain: "there"}}
		have(pieces("x", 2, time.Hour), nil)
		first := next()
		list := pieces("r", 3, time.Hour)
		for i := range list {
			list[i].Bytes = 900_000
		}
		have(list, nil)
		second := next()
		Expect(second.endpoint).NotTo(Equal(first.endpoint))
		first.made()
		none()
		second.made()
		Expect(next().endpoint).To(Equal(second.endpoint))
	})

	It("sends no piece whose inputs have gone by themselves", func() {
		have(pieces("busy", 1, time.Hour), nil)
		c := next()
		list := pieces("r", 2, time.Hour)
		for i := range list {
			list[i].InputsUntil = begin.Add(time.Second)
		}
		done := have(list, nil)
		none()
		clock.Advance(2 * time.Second)
		c.made()
		Expect((<-done)[0].Reason).To(Equal(batch.Gone))
		none()
	})

	It("gives a call up that takes far too long", func() {
		done := have(pieces("r", 1, time.Hour), nil)
		next()
		// The limit of a call is real time: a process that hangs has no clock of ours.
		Eventually(func() int {
			clock.Advance(time.Second)
			b.Tick()
			return len(e.calls)
		}).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		next().made()
		Expect(handles(<-done)).To(Equal([]string{"a/r-0-0"}))
	})

	It("gives up when the budget for repeats is used up", func() {
		e.budget = 0
		done := have(pieces("r", 1, time.Hour), nil)
		next().answer <- reply{nil, batch.Lost}
		Expect((<-done)[0].Reason).To(Equal(batch.Exhausted))
	})

	It("gives up at the deadline", func() {
		have(pieces("r1", 1, time.Hour), nil)
		next()
		list := pieces("r2", 1, time.Hour)
		list[0].Deadline = begin.Add(time.Second)
		done := have(list, nil)
		none()
		clock.Advance(2 * time.Second)
		b.Tick()
		Expect((<-done)[0].Reason).To(Equal(batch.Late))
	})

	It("drops what nobody waits for, and frees what comes all the same", func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan []batch.Result, 1)
		go func() { done <- b.Make(ctx, queue, pieces("r", 6, time.Hour), nil) }()
		c := next()
		cancel()
		Expect((<-done)[0].Reason).To(Equal(batch.Late))
		c.made()
		Eventually(func() []string {
			b.Tick()
			return e.Freed()
		}).Should(HaveLen(4))
		none()
	})

	It("keeps to the room, and goes on when results are freed", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 240
		}
		done := have(list, nil)
		next().made()
		results := <-done
		more := have([]batch.Piece{{Request: "r2", Bytes: 240, Due: begin.Add(time.Hour), Deadline: begin.Add(time.Hour)}}, nil)
		none()
		b.Free(results[:2])
		Eventually(func() int {
			b.Tick()
			clock.Advance(50 * time.Millisecond)
			return len(e.calls)
		}).Should(Equal(1))
		next().made()
		Expect(handles(<-more)).To(HaveLen(1))
		Expect(e.Freed()).To(ConsistOf(results[0].Handle, results[1].Handle))
	})

	It("sends no more in a call than there is room for", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 400
		}
		have(list, nil)
		Expect(next().pieces).To(HaveLen(2))
	})

	It("leaves room free that was not there", func() {
		list := pieces("r1", 4, time.Hour)
		for i := range list {
			list[i].Bytes = 250
		}
		done := have(list, nil)
		c := next()
		results := []batch.Result{{Handle: "h1"}, {Handle: "h2"}, {Handle: "h3"}, {Reason: batch.NoRoom}}
		c.answer <- reply{results, batch.Made}
		none()
		b.Free([]batch.Result{{Handle: "h1", Endpoint: "a", Queue: queue}})
		Eventually(func() int {
			b.Tick()
			clock.Advance(100 * time.Millisecond)
			return len(e.calls)
		}).Should(Equal(1))
		next().made()
		Expect(<-done).To(HaveLen(4))
	})

	// called has the endpoint answer a call, so that it is known to be at work for nobody else.
	called := func() {
		GinkgoHelper()
		done := have(pieces("first", 1, time.Hour), nil)
		next().made()
		Eventually(done).Should(Receive())
	}

	It("does not take the inputs as read at an endpoint that may be at work for another", func() {
		done := have(pieces("r", 2, time.Hour), func() { Fail("they are not read") })
		c := next()
		clock.Advance(200 * time.Millisecond)
		c.answer <- reply{nil, batch.Lost}
		Eventually(func() int { clock.Advance(300 * time.Millisecond); b.Tick(); return len(e.calls) }).Should(Equal(1), "it is made again")
		next().made()
		Expect((<-done)[0].Handle).NotTo(BeEmpty())
	})

	It("says when the inputs have been read, and makes none of those again", func() {
		called()
		read := make(chan struct{})
		done := have(pieces("r", 2, time.Hour), func() { close(read) })
		c := next()
		Consistently(read).WithTimeout(30 * time.Millisecond).ShouldNot(BeClosed())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(200 * time.Millisecond)
		Eventually(read).Should(BeClosed())
		c.answer <- reply{nil, batch.Lost}
		Expect((<-done)[0].Reason).To(Equal(batch.Gone))
	})

	It("leaves a slow endpoint out while others can take all", func() {
		e.ready = []fleet.Endpoint{{ID: "a"}, {ID: "b"}}
		slow := map[string]int{}
		for n := range 10 {
			done := have(pieces(fmt.Sprint("r", n), 1, time.Hour), nil)
			c := next()
			slow[c.endpoint]++
			if c.endpoint == "a" {
				clock.Advance(2 * time.Second)
			} else {
				clock.Advance(260 * time.Millisecond)
			}
			c.made()
			<-done
		}
		Expect(slow["a"]).To(BeNumerically("<=", 2))
	})

	It("has large results made where they are read, unless that takes too long", func() {
		e.batching.RoomBytes = 10_000_000
		e.ready = []fleet.Endpoint{{ID: "here", FailureDomain: "here"}, {ID: "there", FailureDomain: "there"}}
		large := func(request string) []batch.Piece {
			list := pieces(request, 1, time.Hour)
			list[0].Bytes, list[0].Domain = 800_000, "here"
			return list
		}
		have(large("r1"), nil)
		c := next()
		Expect(c.endpoint).To(Equal("here"))
		have(large("r2"), nil)
		none()
		small := pieces("r3", 1, time.Hour)
		small[0].Domain = "here"
		have(small, nil)
		Expect(next().endpoint).To(Equal("there"))
		c.made()
		Expect(next().endpoint).To(Equal("here"))
	})

	It("has pieces with large inputs made where those are, unless that takes too long", func() {
		e.ready = []fleet.Endpoint{{ID: "here", FailureDomain: "here"}, {ID: "there", FailureDomain: "there"}}
		reading := func(request string, bytes int64) []batch.Piece {
			list := pieces(request, 1, time.Hour)
			list[0].Inputs, list[0].InputBytes, list[0].Domain = []string{"h"}, bytes, "here"
			return list
		}
		have(reading("r1", 800_000), nil)
		Expect(next().endpoint).To(Equal("here"))
		have(reading("r2", 800_000), nil)
		none()
		have(reading("r3", 1_000), nil)
		Expect(next().endpoint).To(Equal("there"))
	})

	It("sends to an endpoint that is slower than another which the pieces are not for", func() {
		e.batching.RoomBytes = 1 << 20
		e.ready = []fleet.Endpoint{{ID: "far", FailureDomain: "there"}}
		done := have(pieces("r1", 1, time.Hour), nil)
		first := next()
		// It is 26 ms faster than the other is known to be.
		clock.Advance(195 * time.Millisecond)
		first.made()
		Eventually(done).Should(Receive())
		e.mu.Lock()
		e.ready = []fleet.Endpoint{{ID: "far", FailureDomain: "there"}, {ID: "near", FailureDomain: "here"}}
		e.mu.Unlock()
		list := pieces("r2", 1, time.Hour)
		list[0].Domain, list[0].Bytes = "here", 200_000
		have(list, nil)
		Expect(next().endpoint).To(Equal("near"))
	})

	It("sends nothing to an endpoint that leaves", func() {
		e.mu.Lock()
		e.ready = nil
		e.mu.Unlock()
		done := have(pieces("r", 1, time.Hour), nil)
		none()
		e.mu.Lock()
		e.ready = []fleet.Endpoint{{ID: "b"}}
		e.mu.Unlock()
		b.Tick()
		Expect(next().endpoint).To(Equal("b"))
		_ = done
	})
})
