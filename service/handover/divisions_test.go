package handover

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

var _ = Describe("division of endpoints into parts", func() {
	var (
		clock *clockwork.FakeClock
		all   group
		owner *instance
	)

	// setEndpoints sets the number of endpoints that all instances see.
	setEndpoints := func(endpoints int64) {
		for _, i := range all {
			i.endpoints.Store(endpoints)
		}
	}

	// exchangeDivisions exchanges the division between all instances, as heartbeats do.
	exchangeDivisions := func() {
		for _, from := range all {
			for _, to := range all {
				to.router.MergeDivision(from.router.Division())
			}
		}
	}

	// changeDivision raises the number of endpoints and waits until the owner has changed the
	// division.
	changeDivision := func() {
		setEndpoints(40)
		owner.router.Tick()
		clock.Advance(31 * time.Second)
		owner.router.Tick()
		Expect(owner.router.Division()).To(Equal(ownership.Division{Parts: 8, Term: 2}))
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		all = newInstances(4, clock)
		DeferCleanup(all.kill)
		clock.Advance(joinPeriod)
		setEndpoints(5)
		owner = all.ownerOf(all[0], "first")
		owner.router.Tick()
		exchangeDivisions()
	})

	It("is decided by the owner of the first part and is kept while endpoints are replaced", func() {
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		}
		for _, endpoints := range []int64{7, 10, 13, 4} {
			setEndpoints(endpoints)
			for range 60 {
				clock.Advance(time.Second)
				for _, i := range all {
					i.router.Tick()
				}
			}
		}
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
			Expect(all.ownerOf(i, "r")).To(Equal(owner))
		}
	})

	It("is adopted from others by an instance that starts while endpoints are replaced", func() {
		setEndpoints(10)
		restarted := all.restart(all.others(owner)[0])
		restarted.endpoints.Store(10)
		Expect(restarted.router.divisions.current()).To(Equal(ownership.Division{Parts: 2}), "without peers it derives the division itself")
		done := all.run(restarted, "r")
		Eventually(owner.pieces.Waiting).Should(Equal(2), "the plan goes to the owner of the first part, which answers with the division")
		owner.pieces.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		Expect(restarted.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		for _, i := range all {
			Expect(i.router.claims.holders(2)).To(BeEmpty(), "no part of an outdated division has a planner")
		}
	})

	It("is changed only by the owner of the first part, on its own", func() {
		setEndpoints(40)
		for range 60 {
			clock.Advance(time.Second)
			for _, i := range all.others(owner) {
				i.router.Tick()
			}
		}
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		}
	})

	It("moves plans with their results, and endpoint state, to the new owners when it changes", func() {
		waiting := all.run(all.others(owner)[0], "r1")
		own := all.run(owner, "r2")
		Eventually(owner.pieces.Waiting).Should(Equal(4))
		changeDivision()
		Eventually(all.waiting).Should(Equal(2), "one piece of each plan is left")
		Eventually(all.taken).Should(BeNumerically(">=", 8), "the owner of each part receives a ledger")
		all.finish()
		for _, done := range []chan pipeline.Outcome{waiting, own} {
			outcome := outcomeOf(done)
			Expect(outcome.Reason).To(BeEmpty())
			Expect(outcome.Results).To(ConsistOf(HaveField("Handle", "made before"), HaveField("Handle", "made 1")))
		}
	})

	It("is sent in answers to callers with an older division, and in heartbeats", func() {
		changeDivision()
		Eventually(all.taken).Should(BeNumerically(">=", 8))
		asking := all.others(owner)[0]
		done := all.run(asking, "r1")
		Eventually(all.waiting).Should(Equal(2))
		all.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		exchangeDivisions()
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 8, Term: 2}))
			for _, claim := range i.router.Claims() {
				Expect(claim.Part.Of).To(Equal(8), "parts of an outdated division are not advertised")
			}
		}
	})

	It("resumes parts at instances that owned them in an earlier term", func() {
		changeDivision()
		Eventually(all.taken).Should(BeNumerically(">=", 8))
		exchangeDivisions()
		for _, i := range all {
			i.pieces.noLedgers.Store(true)
		}
		setEndpoints(5)
		first := all.holderOf(owner, pipeline.Part{Of: 8})
		first.router.Tick()
		clock.Advance(31 * time.Second)
		first.router.Tick()
		Expect(first.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 3}))
		exchangeDivisions()
		for _, i := range all {
			Expect(all.ownerOf(i, "again")).To(Equal(owner))
		}
	})

	It("frees results in the queues of the current division", func() {
		local := &firstPartStore{}
		owner.router.results = local
		changeDivision()
		results := []batch.Result{{Handle: "h", Queue: batch.Queue{Service: "s", Parts: 1}}}
		Expect(owner.router.withCurrentQueues(results)).To(ConsistOf(HaveField("Queue.Parts", 8)))
		Expect(owner.router.withCurrentQueues([]batch.Result{{Handle: "h", Queue: batch.Queue{Service: "s", Part: 3, Parts: 8}}})).To(ConsistOf(HaveField("Queue.Part", 3)))
	})
})
