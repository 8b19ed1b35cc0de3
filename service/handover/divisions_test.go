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

var _ = Describe("the division into parts", func() {
	var (
		clock *clockwork.FakeClock
		all   group
		owner *instance
	)

	// count has all instances count so many endpoints.
	count := func(endpoints int64) {
		for _, i := range all {
			i.endpoints.Store(endpoints)
		}
	}

	// beat has all tell each other the division, as heartbeats do.
	beat := func() {
		for _, from := range all {
			for _, to := range all {
				to.router.HearDivision(from.router.Division())
			}
		}
	}

	// divided has the endpoints ask for four parts until the owner has made them.
	divided := func() {
		count(40)
		owner.router.Look()
		clock.Advance(31 * time.Second)
		owner.router.Look()
		Expect(owner.router.Division()).To(Equal(ownership.Division{Parts: 8, Term: 2}))
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		all = newInstances(4, clock)
		DeferCleanup(all.kill)
		clock.Advance(joining)
		count(5)
		owner = all.ownerOf(all[0], "first")
		owner.router.Look()
		beat()
	})

	It("is agreed on by the owner of the first part, and stays while endpoints are replaced", func() {
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		}
		for _, endpoints := range []int64{7, 10, 13, 4} {
			count(endpoints)
			for range 60 {
				clock.Advance(time.Second)
				for _, i := range all {
					i.router.Look()
				}
			}
		}
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
			Expect(all.ownerOf(i, "r")).To(Equal(owner))
		}
	})

	It("is taken from others by an instance that starts while endpoints are replaced", func() {
		count(10)
		young := all.restart(all.others(owner)[0])
		young.endpoints.Store(10)
		Expect(young.router.divisions.inForce()).To(Equal(ownership.Division{Parts: 2}), "it counts for itself at first")
		done := all.run(young, "r")
		Eventually(owner.pieces.Waiting).Should(Equal(2), "the owner of the first part is asked, and tells")
		owner.pieces.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		Expect(young.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		for _, i := range all {
			Expect(i.router.claims.holders(2)).To(BeEmpty(), "nobody plans a part that is not in force")
		}
	})

	It("is changed by its owner alone", func() {
		count(40)
		for range 60 {
			clock.Advance(time.Second)
			for _, i := range all.others(owner) {
				i.router.Look()
			}
		}
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 1}))
		}
	})

	It("takes plans along when it changes, with what was made, and what is known of the endpoints", func() {
		waiting := all.run(all.others(owner)[0], "r1")
		own := all.run(owner, "r2")
		Eventually(owner.pieces.Waiting).Should(Equal(4))
		divided()
		Eventually(all.waiting).Should(Equal(2), "one piece of each is missing")
		Eventually(all.taken).Should(BeNumerically(">=", 8), "each part's owner is told")
		all.finish()
		for _, done := range []chan pipeline.Outcome{waiting, own} {
			outcome := outcomeOf(done)
			Expect(outcome.Reason).To(BeEmpty())
			Expect(outcome.Results).To(ConsistOf(HaveField("Handle", "made before"), HaveField("Handle", "made 1")))
		}
	})

	It("is told with answers to those who go by an older one, and in heartbeats", func() {
		divided()
		Eventually(all.taken).Should(BeNumerically(">=", 8))
		asking := all.others(owner)[0]
		done := all.run(asking, "r1")
		Eventually(all.waiting).Should(Equal(2))
		all.finish()
		Expect(outcomeOf(done).Reason).To(BeEmpty())
		beat()
		for _, i := range all {
			Expect(i.router.Division()).To(Equal(ownership.Division{Parts: 8, Term: 2}))
			for _, claim := range i.router.Claims() {
				Expect(claim.Part.Of).To(Equal(8), "of parts that are not in force nothing is told")
			}
		}
	})

	It("has parts planned again by who owned them in an earlier term", func() {
		divided()
		Eventually(all.taken).Should(BeNumerically(">=", 8))
		beat()
		for _, i := range all {
			i.pieces.forgetful.Store(true)
		}
		count(5)
		first := all.holderOf(owner, pipeline.Part{Of: 8})
		first.router.Look()
		clock.Advance(31 * time.Second)
		first.router.Look()
		Expect(first.router.Division()).To(Equal(ownership.Division{Parts: 1, Term: 3}))
		beat()
		for _, i := range all {
			Expect(all.ownerOf(i, "again")).To(Equal(owner))
		}
	})

	It("frees results where their makers are now", func() {
		local := &rehoming{}
		owner.router.makers = local
		divided()
		results := []batch.Result{{Handle: "h", Queue: batch.Queue{Service: "s", Parts: 1}}}
		Expect(owner.router.rehomed(results)).To(ConsistOf(HaveField("Queue.Parts", 8)))
		Expect(owner.router.rehomed([]batch.Result{{Handle: "h", Queue: batch.Queue{Service: "s", Part: 3, Parts: 8}}})).To(ConsistOf(HaveField("Queue.Part", 3)))
	})
})
