package scheduling_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

// warm trains the latency estimates of a pool.
func warm(p *scheduling.Pool, took time.Duration) {
	for range 40 {
		finish(p, granted(p.Acquire(start, work("warm"))), took)
	}
}

var _ = Describe("admission", func() {
	var encode, generate *scheduling.Pool
	var plan *scheduling.Plan

	BeforeEach(func() {
		encode = newPool(scheduling.Adaptive, 4, endpoints(2, "here")...)
		generate = newPool(scheduling.Adaptive, 2, endpoints(2, "here")...)
		warm(encode, 10*time.Millisecond)
		warm(generate, 100*time.Millisecond)
		plan = scheduling.NewPlan([]scheduling.Step{{Pool: encode}, {Pool: generate, Inputs: []int{0}}})
	})

	admit := func(organisation string, allowed time.Duration) (*scheduling.Admission, *scheduling.Refusal) {
		w := work(organisation)
		w.Deadline = start.Add(allowed)
		return plan.Admit(start, w, scheduling.AttainmentSafetyFactor)
	}

	It("rejects before the first stage when a later stage has no capacity", func() {
		var admitted []*scheduling.Admission
		for {
			a, refusal := admit("a", 250*time.Millisecond)
			if refusal != nil {
				Expect(refusal.Reason).To(Equal(scheduling.TooLate))
				Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				break
			}
			admitted = append(admitted, a)
			Expect(len(admitted)).To(BeNumerically("<", 50))
		}
		By("four calls run concurrently for 100 ms each, so about two rounds meet the deadline")
		Expect(len(admitted)).To(BeNumerically("~", 8, 3))
		By("closing an admission releases its capacity")
		admitted[0].Close()
		admitted[0].Close()
		_, refusal := admit("a", 250*time.Millisecond)
		Expect(refusal).To(BeNil())
	})

	It("admits a small organisation while a large one is overloaded", func() {
		for range 100 {
			admit("large", 250*time.Millisecond)
		}
		_, refusal := admit("large", 250*time.Millisecond)
		Expect(refusal).NotTo(BeNil())
		_, refusal = admit("small", 250*time.Millisecond)
		Expect(refusal).To(BeNil())
	})

	It("admits a request while idle regardless of the estimate", func() {
		a, refusal := admit("a", 20*time.Millisecond)
		Expect(refusal).To(BeNil())
		_, refusal = admit("a", 20*time.Millisecond)
		Expect(refusal).NotTo(BeNil())
		a.Close()
	})

	It("rejects requests past their deadline and requests without a live endpoint", func() {
		_, refusal := admit("a", 0)
		Expect(refusal.Reason).To(Equal(scheduling.TooLate))
		generate.Update(start, 2, nil)
		_, refusal = admit("a", time.Second)
		Expect(refusal.Reason).To(Equal(scheduling.NoEndpoint))
	})

	It("reserves the expected latency of the later stages", func() {
		deadline := start.Add(time.Second)
		Expect(plan.StageDeadline(start, 0, deadline)).To(BeTemporally("~", deadline.Add(-100*time.Millisecond), 5*time.Millisecond))
		Expect(plan.StageDeadline(start, 1, deadline)).To(Equal(deadline))
	})
})

var _ = Describe("random operations on a pool", func() {
	// No endpoint exceeds its concurrency, no leaving endpoint gets a new grant, and each waiter
	// gets at most one result.
	It("preserve the pool's invariants", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			concurrency := rapid.IntRange(1, 3).Draw(t, "concurrency")
			list := endpoints(rapid.IntRange(1, 4).Draw(t, "endpoints"), "here")
			p := scheduling.NewPool(scheduling.Config{Policy: scheduling.Adaptive, FailureDomain: "here", Concurrency: concurrency, MaxQueue: 5}, rand.New(rand.NewPCG(3, 4)))
			p.Update(start, concurrency, list)
			now := start
			var grants []*scheduling.Grant
			var waiters []*scheduling.Waiter
			leaving := map[string]bool{}
			take := func(g *scheduling.Grant, fresh bool) {
				if fresh && leaving[g.Endpoint.Name] {
					t.Fatalf("granted a call to leaving endpoint %s", g.Endpoint.Name)
				}
				grants = append(grants, g)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0, 1:
					w := scheduling.Work{Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"), Rank: uint32(rapid.IntRange(0, 1).Draw(t, "rank")), Deadline: now.Add(time.Second)}
					v := p.Acquire(now, w)
					if v.Grant != nil {
						take(v.Grant, true)
					}
					if v.Waiter != nil {
						waiters = append(waiters, v.Waiter)
					}
				case 2:
					if len(grants) > 0 {
						result := scheduling.Result(rapid.IntRange(int(scheduling.Success), int(scheduling.Abandoned)).Draw(t, "result"))
						if result == scheduling.Draining {
							leaving[grants[0].Endpoint.Name] = true
						}
						p.Finish(now, grants[0], result, &scheduling.Report{Waiting: rapid.IntRange(0, 1).Draw(t, "waiting")})
						grants = grants[1:]
					}
				case 3:
					p.Tick(now)
				case 4:
					e := rapid.SampledFrom(list).Draw(t, "endpoint")
					p.MarkLeaving(e.Name, e.Incarnation)
					leaving[e.Name] = true
				}
				var left []*scheduling.Waiter
				for _, w := range waiters {
					select {
					case v := <-w.Done:
						if v.Grant != nil {
							take(v.Grant, false)
						}
					default:
						left = append(left, w)
					}
				}
				waiters = left
				inFlight := map[string]int{}
				for _, g := range grants {
					inFlight[g.Endpoint.Name]++
				}
				for name, n := range inFlight {
					if n > concurrency {
						t.Fatalf("%s has %d calls, concurrency %d", name, n, concurrency)
					}
				}
			}
		})
	})
})
