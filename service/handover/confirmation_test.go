package handover

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

var _ = Describe("a part whose owner is unreachable", func() {
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
		clock.Advance(joinPeriod)
		owner = all.ownerOf(all[0], "r1")
		all.exchangeClaims(all)
	})

	// holderSeenBy returns the claim in force as an instance knows it.
	holderSeenBy := func(i *instance) func() ownership.Claim {
		return func() ownership.Claim {
			claim, _ := i.router.claims.holder(whole)
			return claim
		}
	}

	// otherDomain returns a failure domain without the owner, and its instances.
	otherDomain := func() (string, group) {
		for _, i := range all {
			if i.self.FailureDomain != owner.self.FailureDomain {
				return i.self.FailureDomain, all.in(i.self.FailureDomain)
			}
		}
		return "", nil
	}

	// claimedInPartition partitions a failure domain, has the part claimed and transferred inside
	// it so that the term rises, and returns the owner inside the partition.
	claimedInPartition := func(domain string, partitioned group) *instance {
		GinkgoHelper()
		all.partition(domain)
		first, second := partitioned[0], partitioned[1]
		first.router.claim(whole, "asked_by_peer")
		partitioned.exchangeClaims(partitioned)
		first.router.transferToFirst(whole, []ownership.Owner{second.self.Owner()}, "abler")
		Expect(second.router.claims.owns(whole)).To(BeTrue())
		partitioned.exchangeClaims(partitioned)
		Expect(holderSeenBy(first)()).To(SatisfyAll(HaveField("Owner", second.self.Owner()), HaveField("Provisional", true)))
		Expect(holderSeenBy(first)().Term).To(BeNumerically(">", holderSeenBy(owner)().Term+1))
		return second
	}

	It("is claimed and confirmed by an instance that reaches a majority when the owner has failed", func() {
		owner.kill()
		second := all.ownerOf(all.others(owner)[0], "r2")
		Eventually(holderSeenBy(second)).Should(HaveField("Provisional", false))
		all.exchangeClaims(all.others(owner))
		for _, i := range all.others(owner) {
			Expect(holderSeenBy(i)().Owner).To(Equal(second.self.Owner()))
		}
	})

	It("stays with the owner on the majority side, which gets the ledger back after a partition heals", func() {
		domain, cutOff := otherDomain()
		second := claimedInPartition(domain, cutOff)
		all.heal(domain)
		clock.Advance(maxSuspicion)
		By("sending the claim made inside the partition to the other instances")
		all.exchangeClaims(all)
		for _, i := range all {
			if i.self.FailureDomain != domain {
				Expect(all.holderOf(i, whole)).To(Equal(owner))
			}
		}
		Expect(owner.pieces.Taken()).To(BeEmpty())
		By("letting the claimer reach the owner again")
		second.router.Tick()
		Eventually(owner.pieces.Taken).Should(HaveLen(1))
		all.exchangeClaims(all)
		for _, i := range all {
			Expect(holderSeenBy(i)()).To(SatisfyAll(HaveField("Owner", owner.self.Owner()), HaveField("Provisional", false)))
			Expect(all.ownerOf(i, "r3")).To(Equal(owner))
		}
	})

	It("stays with the claimer inside the partition if the owner has failed and nobody else claimed it", func() {
		domain, cutOff := otherDomain()
		second := claimedInPartition(domain, cutOff)
		owner.kill()
		all.heal(domain)
		clock.Advance(maxSuspicion)
		second.router.Tick()
		Eventually(holderSeenBy(second)).Should(HaveField("Provisional", false))
		all.exchangeClaims(all.others(owner))
		for _, i := range all.others(owner) {
			Expect(holderSeenBy(i)().Owner).To(Equal(second.self.Owner()))
		}
	})

	It("stays provisional while the partition lasts", func() {
		domain, cutOff := otherDomain()
		second := claimedInPartition(domain, cutOff)
		second.router.Tick()
		Consistently(holderSeenBy(second)).WithTimeout(100 * time.Millisecond).Should(HaveField("Provisional", true))
	})
})
