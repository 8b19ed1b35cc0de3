package handover

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

var _ = Describe("a part whose owner is not reached", func() {
	var (
		clock *clockwork.FakeClock
		all   group
		owner *instance
		whole = pipeline.Part{Of: 1}
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		all = newInstancesIn(4, 8, clock)
		DeferCleanup(func() { all.kill() })
		clock.Advance(joining)
		owner = all.ownerOf(all[0], "r1")
		all.beat(all)
	})

	// held returns the claim that an instance knows to hold.
	held := func(i *instance) func() ownership.Claim {
		return func() ownership.Claim {
			claim, _ := i.router.claims.holder(whole)
			return claim
		}
	}

	// otherDomain returns a failure domain in which the owner does not stand, and its instances.
	otherDomain := func() (string, group) {
		for _, i := range all {
			if i.self.FailureDomain != owner.self.FailureDomain {
				return i.self.FailureDomain, all.in(i.self.FailureDomain)
			}
		}
		return "", nil
	}

	// claimedInCut has a failure domain cut off, in which a part is claimed and handed on, so that its term
	// rises there; it returns who owns the part there in the end.
	claimedInCut := func(domain string, cutOff group) *instance {
		GinkgoHelper()
		all.cut(domain)
		first, second := cutOff[0], cutOff[1]
		first.router.claim(whole, "asked_by_peer")
		cutOff.beat(cutOff)
		first.router.giveToFirst(whole, []ownership.Owner{second.self.Owner()}, "abler")
		Expect(second.router.claims.owns(whole)).To(BeTrue())
		cutOff.beat(cutOff)
		Expect(held(first)()).To(SatisfyAll(HaveField("Owner", second.self.Owner()), HaveField("Provisional", true)))
		Expect(held(first)().Term).To(BeNumerically(">", held(owner)().Term+1))
		return second
	}

	It("is claimed for good by one that reaches most, when the owner has ended", func() {
		owner.kill()
		second := all.ownerOf(all.others(owner)[0], "r2")
		Eventually(held(second)).Should(HaveField("Provisional", false))
		all.beat(all.others(owner))
		for _, i := range all.others(owner) {
			Expect(held(i)().Owner).To(Equal(second.self.Owner()))
		}
	})

	It("stays with the owner that most reach when a cut has healed, and goes back to it with what was learnt", func() {
		domain, cutOff := otherDomain()
		second := claimedInCut(domain, cutOff)
		all.heal(domain)
		clock.Advance(lastSuspect)
		By("the others hearing of the claim inside the cut")
		all.beat(all)
		for _, i := range all {
			if i.self.FailureDomain != domain {
				Expect(all.holderOf(i, whole)).To(Equal(owner))
			}
		}
		Expect(owner.pieces.Taken()).To(BeEmpty())
		By("the claimer reaching the owner again")
		second.router.Look()
		Eventually(owner.pieces.Taken).Should(HaveLen(1))
		all.beat(all)
		for _, i := range all {
			Expect(held(i)()).To(SatisfyAll(HaveField("Owner", owner.self.Owner()), HaveField("Provisional", false)))
			Expect(all.ownerOf(i, "r3")).To(Equal(owner))
		}
	})

	It("stays with who claimed it in a cut when the owner has ended meanwhile, and nobody else claimed it", func() {
		domain, cutOff := otherDomain()
		second := claimedInCut(domain, cutOff)
		owner.kill()
		all.heal(domain)
		clock.Advance(lastSuspect)
		second.router.Look()
		Eventually(held(second)).Should(HaveField("Provisional", false))
		all.beat(all.others(owner))
		for _, i := range all.others(owner) {
			Expect(held(i)().Owner).To(Equal(second.self.Owner()))
		}
	})

	It("stays provisional as long as the cut lasts", func() {
		domain, cutOff := otherDomain()
		second := claimedInCut(domain, cutOff)
		second.router.Look()
		Consistently(held(second)).WithTimeout(100 * time.Millisecond).Should(HaveField("Provisional", true))
	})
})
