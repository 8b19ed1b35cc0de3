package scheduling_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

var _ = Describe("a pool", func() {
	It("prefers the local failure domain and uses others when it is full", func() {
		p := newPool(scheduling.Adaptive, 2, append(endpoints(2, "here"), endpoints(2, "there")...)...)
		for range 4 {
			Expect(granted(p.Acquire(start, work("a"))).Local).To(BeTrue())
		}
		Expect(granted(p.Acquire(start, work("a"))).Local).To(BeFalse())
	})

	It("limits an endpoint to its concurrency and queues the remaining work", func() {
		p := newPool(scheduling.Adaptive, 2, endpoints(1, "here")...)
		first := granted(p.Acquire(start, work("a")))
		granted(p.Acquire(start, work("a")))
		waiting := p.Acquire(start, work("a")).Waiter
		Expect(waiting).NotTo(BeNil())
		Expect(waiting.Done).NotTo(Receive())
		finish(p, first, time.Millisecond)
		Expect(waiting.Done).To(Receive(HaveField("Grant", Not(BeNil()))))
	})

	It("sends no new work to a leaving endpoint and refuses work when none is left", func() {
		p := newPool(scheduling.Adaptive, 2, endpoints(1, "here")...)
		Expect(p.MarkLeaving("here-0", 1)).To(BeTrue())
		Expect(p.MarkLeaving("here-0", 1)).To(BeFalse())
		refusedFor(p.Acquire(start, work("a")), scheduling.NoEndpoint)
		By("a new incarnation counts as a new endpoint")
		again := endpoints(1, "here")
		again[0].Incarnation = 2
		p.Update(start, 2, again)
		granted(p.Acquire(start, work("a")))
	})

	It("refuses queued work when the last endpoint leaves", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		granted(p.Acquire(start, work("a")))
		waiting := p.Acquire(start, work("a")).Waiter
		p.Update(start, 1, nil)
		Expect(waiting.Done).To(Receive(HaveField("Refusal.Reason", scheduling.NoEndpoint)))
	})

	It("never selects an excluded endpoint", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(2, "here")...)
		w := work("a")
		w.Exclude = []string{"here-0"}
		for range 4 {
			Expect(granted(p.Acquire(start, w)).Endpoint.Name).To(Equal("here-1"))
		}
		w.Exclude = []string{"here-0", "here-1"}
		refusedFor(p.Acquire(start, w), scheduling.NoEndpoint)
	})

	It("refuses work past its deadline, on arrival and in the queue", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		late := work("a")
		late.Deadline = start.Add(-time.Millisecond)
		refusedFor(p.Acquire(start, late), scheduling.TooLate)
		granted(p.Acquire(start, work("a")))
		soon := work("a")
		soon.Deadline = start.Add(10 * time.Millisecond)
		waiting := p.Acquire(start, soon).Waiter
		p.Tick(start.Add(11 * time.Millisecond))
		Expect(waiting.Done).To(Receive(HaveField("Refusal.Reason", scheduling.TooLate)))
	})

	It("drops queued work that can't meet its deadline and serves the work behind it", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(2, "here")...)
		for range 20 {
			finish(p, granted(p.Acquire(start, work("a"))), 100*time.Millisecond)
		}
		first := granted(p.Acquire(start, work("a")))
		second := granted(p.Acquire(start, work("a")))
		short, long := work("a"), work("a")
		short.Deadline = start.Add(150 * time.Millisecond)
		tooLate := p.Acquire(start, short).Waiter
		behind := p.Acquire(start, long).Waiter
		finish(p, first, 80*time.Millisecond)
		Expect(tooLate.Done).To(Receive(HaveField("Refusal.Reason", scheduling.TooLate)))
		Expect(behind.Done).To(Receive(HaveField("Grant", Not(BeNil()))))
		By("an idle pool runs it regardless")
		finish(p, second, 80*time.Millisecond)
		p = newPool(scheduling.Adaptive, 1, endpoints(2, "here")...)
		for range 20 {
			finish(p, granted(p.Acquire(start, work("a"))), 100*time.Millisecond)
		}
		short.Deadline = start.Add(50 * time.Millisecond)
		granted(p.Acquire(start, short))
		refusedFor(p.Acquire(start, short), scheduling.TooLate)
	})

	It("evicts lower-priority work from a full queue", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		granted(p.Acquire(start, work("a")))
		var low []*scheduling.Waiter
		for range 8 {
			low = append(low, p.Acquire(start, work("a")).Waiter)
		}
		refusedFor(p.Acquire(start, work("a")), scheduling.QueueFull)
		high := work("b")
		high.Rank = 5
		Expect(p.Acquire(start, high).Waiter).NotTo(BeNil())
		shed := 0
		for _, w := range low {
			select {
			case v := <-w.Done:
				refusedFor(v, scheduling.OverShare)
				shed++
			default:
			}
		}
		Expect(shed).To(Equal(1))
	})

	It("evicts work of the organisation furthest over its share", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		granted(p.Acquire(start, work("large")))
		for range 8 {
			Expect(p.Acquire(start, work("large")).Waiter).NotTo(BeNil())
		}
		Expect(p.Acquire(start, work("small")).Waiter).NotTo(BeNil())
		refusedFor(p.Acquire(start, work("large")), scheduling.QueueFull)
	})

	It("serves organisations in proportion to their weights", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		grant := granted(p.Acquire(start, work("first")))
		order := ""
		waiters := map[string][]*scheduling.Waiter{}
		for range 4 {
			for _, name := range []string{"x", "y"} {
				w := work(name)
				if name == "y" {
					w.Weight = 3
				}
				waiters[name] = append(waiters[name], p.Acquire(start, w).Waiter)
			}
		}
		for range 4 {
			finish(p, grant, time.Millisecond)
			for name, list := range waiters {
				for _, w := range list {
					select {
					case v := <-w.Done:
						grant = granted(v)
						order += name
					default:
					}
				}
			}
		}
		Expect(order).To(Or(Equal("xyyy"), Equal("yxyy"), Equal("yyxy"), Equal("yyyx")))
	})

	It("withdraws queued work and returns a grant delivered concurrently", func() {
		p := newPool(scheduling.Adaptive, 1, endpoints(1, "here")...)
		first := granted(p.Acquire(start, work("a")))
		gone := p.Acquire(start, work("a")).Waiter
		_, came := p.Withdraw(gone)
		Expect(came).To(BeFalse())
		finish(p, first, time.Millisecond)
		Expect(gone.Done).NotTo(Receive())
		second := granted(p.Acquire(start, work("a")))
		late := p.Acquire(start, work("a")).Waiter
		finish(p, second, time.Millisecond)
		v, came := p.Withdraw(late)
		Expect(came).To(BeTrue())
		granted(v)
	})
})

var _ = Describe("ejection", func() {
	fail := func(p *scheduling.Pool, now time.Time, n int) {
		for range n {
			v := p.Acquire(now, work("a"))
			if v.Grant != nil {
				p.Finish(now, v.Grant, scheduling.Unreachable, nil)
			}
		}
	}

	It("never ejects more than half of the endpoints", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(6, "here")...)
		fail(p, start, 50)
		ejected := 0
		for _, s := range p.Statuses() {
			if s.Ejected {
				ejected++
			}
		}
		Expect(ejected).To(Equal(3))
		granted(p.Acquire(start, work("a")))
	})

	It("never ejects the only endpoint", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(1, "here")...)
		fail(p, start, 10)
		granted(p.Acquire(start, work("a")))
	})

	It("probes an endpoint with one call after its ejection and readmits it on success", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(2, "here")...)
		v := granted(p.Acquire(start, work("a")))
		p.Finish(start, v, scheduling.Unreachable, nil)
		bad := v.Endpoint.Name
		for range 4 {
			Expect(granted(p.Acquire(start, work("a"))).Endpoint.Name).NotTo(Equal(bad))
		}
		later := start.Add(1100 * time.Millisecond)
		p.Tick(later)
		probe := granted(p.Acquire(later, work("a")))
		Expect(probe.Endpoint.Name).To(Equal(bad))
		Expect(p.Acquire(later, work("a")).Waiter).NotTo(BeNil(), "one call at a time")
		p.Finish(later, probe, scheduling.Success, nil)
		Expect(granted(p.Acquire(later, work("a"))).Endpoint.Name).To(Equal(bad))
	})

	It("avoids an endpoint whose calls are abandoned late", func() {
		p := newPool(scheduling.Adaptive, 8, endpoints(2, "here")...)
		for range 20 {
			finish(p, granted(p.Acquire(start, work("a"))), 10*time.Millisecond)
		}
		frozen := 0
		for range 200 {
			g := granted(p.Acquire(start, work("a")))
			if g.Endpoint.Name != "here-0" {
				finish(p, g, 10*time.Millisecond)
				continue
			}
			frozen++
			p.Finish(start.Add(time.Second), g, scheduling.Abandoned, nil)
		}
		Expect(frozen).To(BeNumerically(">", 0))
		Expect(frozen).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("limits and retries", func() {
	It("decreases the limit while calls wait at the endpoint and restores it afterwards", func() {
		p := newPool(scheduling.Adaptive, 8, endpoints(1, "here")...)
		now := start
		limit := func() float64 { return p.Statuses()[0].Limit }
		for range 10 {
			now = now.Add(time.Second)
			g := granted(p.Acquire(now, work("a")))
			p.Finish(now.Add(time.Millisecond), g, scheduling.Success, &scheduling.Report{Running: 8, Waiting: 3})
		}
		Expect(limit()).To(BeNumerically("<", 2))
		Expect(limit()).To(BeNumerically(">=", 1), "the limit never falls below one")
		for range 100 {
			var held []*scheduling.Grant
			for range int(limit()) {
				held = append(held, granted(p.Acquire(now, work("a"))))
			}
			for _, g := range held {
				p.Finish(now, g, scheduling.Success, &scheduling.Report{})
			}
		}
		Expect(limit()).To(Equal(8.0))
	})

	It("limits retries to a fraction of the successes", func() {
		p := newPool(scheduling.Adaptive, 8, endpoints(4, "here")...)
		spend := func() (spent int) {
			for spent < 100 && p.TryRetry() {
				spent++
			}
			return spent
		}
		Expect(spend()).To(Equal(10))
		for range 30 {
			finish(p, granted(p.Acquire(start, work("a"))), time.Millisecond)
		}
		Expect(spend()).To(BeNumerically("~", 3, 1))
	})

	It("tolerates clock jumps", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(3, "here")...)
		for _, jump := range []time.Duration{-time.Hour, time.Hour, 0} {
			now := start.Add(jump)
			g := granted(p.Acquire(now, scheduling.Work{Organisation: "a", Deadline: now.Add(time.Second)}))
			p.Finish(now.Add(-2*jump), g, scheduling.Success, &scheduling.Report{Running: 1})
		}
		granted(p.Acquire(start, work("a")))
	})
})

var _ = Describe("a model", func() {
	with := func(model string) scheduling.Work {
		w := work("a")
		w.Model = model
		return w
	}

	It("is not requested from an endpoint that reported it missing until the entry expires", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(2, "here")...)
		g := granted(p.Acquire(start, with("m")))
		p.Finish(start, g, scheduling.ModelMissing, nil)
		for range 4 {
			Expect(granted(p.Acquire(start, with("m"))).Endpoint.Name).NotTo(Equal(g.Endpoint.Name))
		}
		granted(p.Acquire(start, with("other")))
		later := start.Add(6 * time.Second)
		found := false
		for range 4 {
			v := p.Acquire(later, with("m"))
			found = found || v.Grant != nil && v.Grant.Endpoint.Name == g.Endpoint.Name
		}
		Expect(found).To(BeTrue())
	})

	It("is refused when it is missing at all endpoints", func() {
		p := newPool(scheduling.Adaptive, 4, endpoints(2, "here")...)
		for range 2 {
			p.Finish(start, granted(p.Acquire(start, with("m"))), scheduling.ModelMissing, nil)
		}
		refusedFor(p.Acquire(start, with("m")), scheduling.NoEndpoint)
		granted(p.Acquire(start, with("other")))
	})
})
