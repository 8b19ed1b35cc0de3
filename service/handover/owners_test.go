package handover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

func TestHandover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handover")
}

func self(n int) membership.Instance {
	return membership.Instance{Name: fmt.Sprint("i", n), PeerAddress: fmt.Sprint("address-", n), FailureDomain: fmt.Sprint("zone-", n%2)}
}

// newTestOwners returns the owners as seen by instance n of the given number, without the instances
// in unheard.
func newTestOwners(clock clockwork.Clock, n, of int, unheard ...int) *owners {
	return &owners{clock: clock, self: self(n), suspects: map[string]suspicion{}, live: func() []membership.Member {
		var live []membership.Member
		for other := range of {
			known := other != n
			for _, u := range unheard {
				known = known && u != other
			}
			if known {
				live = append(live, membership.Member{Instance: self(other), State: membership.Live})
			}
		}
		return live
	}}
}

// addressesOf returns the peer addresses of the instances in a failure domain.
func addressesOf(domain string, of int) []string {
	var addresses []string
	for n := range of {
		if self(n).FailureDomain == domain {
			addresses = append(addresses, self(n).PeerAddress)
		}
	}
	return addresses
}

var _ = Describe("owners", func() {
	var clock *clockwork.FakeClock

	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	It("are the same at all instances with the same members, and spread over parts", func() {
		first := map[string]int{}
		for number := range 16 {
			p := pipeline.Part{Number: number, Of: 16}
			want := newTestOwners(clock, 0, 8).ranking(p)[0]
			for n := range 8 {
				Expect(newTestOwners(clock, n, 8).ranking(p)[0]).To(Equal(want))
			}
			first[want]++
		}
		Expect(len(first)).To(BeNumerically(">=", 4))
	})

	It("change only if a member is not known, and end with the local instance", func() {
		p := pipeline.Part{Of: 1}
		list := newTestOwners(clock, 0, 8).ranking(p)
		Expect(list[len(list)-1]).To(Equal(self(0).PeerAddress))
		Expect(newTestOwners(clock, 7, 8, 0).ranking(p)).To(Equal(func() []string {
			var kept []string
			for _, address := range newTestOwners(clock, 7, 8).ranking(p) {
				if address != self(0).PeerAddress {
					kept = append(kept, address)
				}
			}
			return kept
		}()))
	})

	It("are skipped while suspected, for twice as long after each failure, until they respond", func() {
		o := newTestOwners(clock, 0, 2)
		address := self(1).PeerAddress
		for _, lasts := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion} {
			o.suspect(address)
			o.suspect(address)
			clock.Advance(lasts - time.Millisecond)
			Expect(o.suspected(address)).To(BeTrue())
			clock.Advance(2 * time.Millisecond)
			Expect(o.suspected(address)).To(BeFalse())
		}
		o.clearSuspicion(address)
		o.suspect(address)
		clock.Advance(minSuspicion)
		Expect(o.suspected(address)).To(BeFalse())
	})

	It("are followed by the same candidate for all instances of a failure domain", func() {
		p := pipeline.Part{Number: 3, Of: 4}
		owner := newTestOwners(clock, 0, 40).candidates(p)[0]
		next := map[string]int{}
		for n := range 40 {
			o := newTestOwners(clock, n, 40)
			list := o.candidates(p)
			Expect(list[0]).To(Equal(owner))
			Expect(list[len(list)-1]).To(Equal(self(n).PeerAddress))
			Expect(len(list)).To(BeNumerically("<=", 3))
			if owner != self(n).PeerAddress {
				next[self(n).FailureDomain+" "+list[1]]++
			}
		}
		Expect(next).To(HaveLen(2))
	})

	It("are probed by a single plan when their suspicion expires", func() {
		o := newTestOwners(clock, 0, 2)
		p := pipeline.Part{}
		for p.Number = 0; o.candidates(p)[0] != self(1).PeerAddress; p.Number++ {
		}
		o.suspect(self(1).PeerAddress)
		clock.Advance(minSuspicion)
		Expect(o.candidates(p)[0]).To(Equal(self(1).PeerAddress))
		Expect(o.candidates(p)[0]).To(Equal(self(0).PeerAddress))
		o.suspect(self(1).PeerAddress)
		clock.Advance(2*minSuspicion - time.Millisecond)
		Expect(o.candidates(p)[0]).To(Equal(self(0).PeerAddress))
		clock.Advance(time.Millisecond)
		Expect(o.candidates(p)[0]).To(Equal(self(1).PeerAddress))
		o.clearSuspicion(self(1).PeerAddress)
		Expect(o.candidates(p)[0]).To(Equal(self(1).PeerAddress))
	})

	It("are the configured contacts at first, the same for all instances that start together", func() {
		contacts := []string{self(3).PeerAddress, self(5).PeerAddress, "gone"}
		firsts := map[string]int{}
		for n := range 8 {
			o := newOwners(clock, self(n), func() []membership.Member { return nil }, contacts)
			firsts[o.candidates(pipeline.Part{Number: 1})[0]]++
			clock.Advance(joinPeriod)
			Expect(o.candidates(pipeline.Part{Number: 1})).To(Equal([]string{self(n).PeerAddress}))
		}
		Expect(firsts).To(Equal(map[string]int{self(5).PeerAddress: 8}))
		o := newOwners(clock, self(3), func() []membership.Member { return nil }, contacts)
		Expect(o.candidates(pipeline.Part{Number: 1})).To(Equal([]string{self(5).PeerAddress, "gone", self(3).PeerAddress}))
	})

	It("are not the contacts at first if there are too many parts for them", func() {
		o := newOwners(clock, self(0), func() []membership.Member { return nil }, []string{self(3).PeerAddress})
		Expect(o.candidates(pipeline.Part{Number: 1, Of: 4})[0]).To(Equal(self(3).PeerAddress))
		Expect(o.candidates(pipeline.Part{Number: 1, Of: 8})).To(Equal([]string{self(0).PeerAddress}))
	})

	It("remain the live contacts, each for one part, after other members are known", func() {
		contacts := []string{self(3).PeerAddress, self(5).PeerAddress, "gone"}
		for n := range 8 {
			o := newOwners(clock, self(n), newTestOwners(clock, n, 8).live, contacts)
			clock.Advance(joinPeriod)
			Expect(o.candidates(pipeline.Part{Number: 0})[0]).To(Equal(contacts[0]))
			Expect(o.candidates(pipeline.Part{Number: 1})[0]).To(Equal(contacts[1]))
			for _, number := range []int{2, 3, 4} {
				part := pipeline.Part{Number: number}
				Expect(o.candidates(part)[0]).To(Equal(newTestOwners(clock, n, 8).candidates(part)[0]))
			}
			if n != 3 {
				o.suspect(contacts[0])
				Expect(o.candidates(pipeline.Part{Number: 0})).NotTo(ContainElement(contacts[0]))
			}
		}
	})

	It("are not chosen in a failure domain with several suspected instances", func() {
		o := newTestOwners(clock, 0, 40)
		o.suspect(self(1).PeerAddress)
		o.suspect(self(3).PeerAddress)
		for number := range 16 {
			for _, address := range o.candidates(pipeline.Part{Number: number}) {
				Expect(o.unreachableDomains(o.live())).To(HaveKeyWithValue("zone-1", true))
				Expect(address).To(BeElementOf(addressesOf("zone-0", 40)))
			}
		}
	})

	// sized returns the owners as seen by instance n of the given number, every third of which has a
	// large machine.
	sized := func(n, of int) *owners {
		o := newTestOwners(clock, n, of)
		machine := func(n int) membership.Machine {
			if n%3 == 2 {
				return membership.Machine{Cores: 0.8, LinkMbps: 200}
			}
			return membership.Machine{Cores: 0.192, LinkMbps: 20}
		}
		o.self.Machine = machine(n)
		live := o.live()
		for i := range live {
			var other int
			_, err := fmt.Sscanf(live[i].Name, "i%d", &other)
			Expect(err).NotTo(HaveOccurred())
			live[i].Machine = machine(other)
		}
		o.live = func() []membership.Member { return live }
		return o
	}

	It("are chosen among capable instances, the same everywhere, even if a contact is not capable", func() {
		for part := range 8 {
			p := pipeline.Part{Number: part, Of: 8}
			owners := map[string]bool{}
			for n := range 12 {
				o := sized(n, 12)
				o.contacts = []string{self(0).PeerAddress, self(1).PeerAddress}
				owners[o.candidates(p)[0]] = true
				Expect(o.preferredOwner(p).PeerAddress).To(Equal(o.candidates(p)[0]))
			}
			Expect(owners).To(HaveLen(1))
			Expect(owners).To(SatisfyAny(HaveKey("address-2"), HaveKey("address-5"), HaveKey("address-8"), HaveKey("address-11")))
		}
	})

	It("transfer a part to a capable instance without one, unless they are capable and own only one", func() {
		p := pipeline.Part{Of: 4}
		Expect(sized(0, 12).transferTargets(p, 1, map[string]bool{"i0": true, "i2": true})).To(HaveLen(3))
		Expect(sized(2, 12).transferTargets(p, 1, map[string]bool{"i2": true})).To(BeEmpty())
		Expect(sized(2, 12).transferTargets(p, 2, map[string]bool{"i2": true, "i5": true})).To(ConsistOf(HaveField("Name", "i8"), HaveField("Name", "i11")))
		all := map[string]bool{"i2": true, "i5": true, "i8": true, "i11": true}
		Expect(sized(0, 12).transferTargets(p, 1, all)).To(BeEmpty(), "every capable instance owns a part")
	})

	It("keep their parts if all machines are small", func() {
		p := pipeline.Part{Of: 1}
		for n := range 2 {
			Expect(sized(n, 2).transferTargets(p, 1, map[string]bool{})).To(BeEmpty())
		}
	})
})

var _ = Describe("relays", func() {
	It("are the capable instances of a failure domain", func() {
		o := newTestOwners(clockwork.NewFakeClock(), 0, 40)
		live := o.live()
		for i := range live {
			live[i].Machine = membership.Machine{Cores: 0.192, LinkMbps: 20}
			if live[i].Name == "i4" || live[i].Name == "i6" {
				live[i].Machine = membership.Machine{Cores: 0.8, LinkMbps: 200}
			}
		}
		k := &DiscoveryPeers{Self: self(0), Live: func() []membership.Member { return live }}
		Expect(k.Relays()[:2]).To(ConsistOf("address-4", "address-6"))
	})

	relays := func(n, of int) []string {
		o := newTestOwners(clockwork.NewFakeClock(), n, of)
		k := &DiscoveryPeers{Self: self(n), Live: o.live}
		return k.Relays()
	}

	It("are not used in a small failure domain", func() {
		for n := range 8 {
			Expect(relays(n, 8)).To(BeEmpty())
		}
	})

	It("of another failure domain come last, one for each instance, spread over the domains", func() {
		o := newTestOwners(clockwork.NewFakeClock(), 0, 120)
		live := o.live()
		for i := range live {
			live[i].FailureDomain = fmt.Sprint("zone-", i%6)
		}
		last := map[string]int{}
		for n := range 120 {
			k := &DiscoveryPeers{Self: self(n), Live: func() []membership.Member { return live }}
			k.Self.FailureDomain = "zone-0"
			if list := k.Relays(); len(list) == relaysPerDomain+1 {
				last[list[relaysPerDomain]]++
			}
		}
		Expect(last).To(HaveLen(5))
	})

	It("are the same two for all instances of a failure domain, and the first for the second", func() {
		elsewheres := map[string]int{}
		lists := map[string]int{}
		firsts := map[string]int{}
		watching := 0
		for n := range 40 {
			list := relays(n, 40)
			if len(list) > 0 {
				elsewhere := list[len(list)-1]
				Expect(addressesOf(self(n).FailureDomain, 40)).NotTo(ContainElement(elsewhere))
				elsewheres[elsewhere]++
				list = list[:len(list)-1]
			}
			switch len(list) {
			case 0:
				watching++
			case 1:
				firsts[list[0]]++
			default:
				lists[fmt.Sprint(list)]++
			}
		}
		Expect(lists).To(HaveLen(2))
		Expect(firsts).To(HaveLen(2))
		Expect(watching).To(Equal(2))
		for pair, n := range lists {
			Expect(n).To(Equal(18))
			Expect(firsts).To(HaveKey(strings.Trim(strings.Fields(pair)[0], "[]")))
		}
		Expect(elsewheres).To(HaveLen(2))
		for first := range firsts {
			Expect(elsewheres).To(HaveKey(first))
		}
	})
})
