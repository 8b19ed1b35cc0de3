package ownership_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

func owner(n int, incarnation uint64) ownership.Owner {
	return ownership.Owner{Name: fmt.Sprint("i", n), Incarnation: incarnation, PeerAddress: fmt.Sprint("a", n)}
}

// never prefers no owner.
func never(ownership.Owner, ownership.Owner) bool { return false }

// always prefers every owner.
func always(ownership.Owner, ownership.Owner) bool { return true }

var part = ownership.Part{Number: 0, Of: 1}

var _ = Describe("a table of owners", func() {
	It("keeps the owner until a later term is heard", func() {
		t := ownership.NewTable(owner(1, 1))
		first := ownership.Claim{Part: part, Term: 3, Owner: owner(2, 1)}
		Expect(t.Merge([]ownership.Claim{first}, never)).To(Equal([]ownership.Change{{After: first}}))
		Expect(t.Merge([]ownership.Claim{{Part: part, Term: 2, Owner: owner(9, 1)}, first}, never)).To(BeEmpty())
		holder, _ := t.Holder(part)
		Expect(holder).To(Equal(first))
		own := t.Claim(part)
		Expect(own.Term).To(Equal(uint64(4)))
		Expect(t.Owns(part)).To(BeTrue())
		Expect(t.Own()).To(Equal([]ownership.Claim{own}))
	})

	It("does not own a part claimed by an earlier incarnation of its own", func() {
		t := ownership.NewTable(owner(1, 2))
		t.Merge([]ownership.Claim{{Part: part, Term: 5, Owner: owner(1, 1)}}, never)
		Expect(t.Owns(part)).To(BeFalse())
		Expect(t.Claim(part).Term).To(Equal(uint64(6)))
	})

	It("resolves claims of one term differently for each part", func() {
		const parts = 16
		owns := map[string]int{}
		for number := range parts {
			ascending, descending := ownership.NewTable(owner(9, 1)), ownership.NewTable(owner(9, 1))
			var claims []ownership.Claim
			for n := range 3 {
				claims = append(claims, ownership.Claim{Part: ownership.Part{Number: number, Of: parts}, Term: 1, Owner: owner(n, 1)})
			}
			ascending.Merge(claims, never)
			slices.Reverse(claims)
			descending.Merge(claims, never)
			holder, _ := ascending.Holder(claims[0].Part)
			same, _ := descending.Holder(claims[0].Part)
			Expect(same).To(Equal(holder))
			owns[holder.Owner.Name]++
		}
		Expect(owns).To(HaveLen(3))
	})

	Describe("that receives a provisional claim of a later term", func() {
		var t *ownership.Table
		confirmed := ownership.Claim{Part: part, Term: 1, Owner: owner(2, 1)}
		provisional := ownership.Claim{Part: part, Term: 9, Owner: owner(3, 1), Provisional: true}

		BeforeEach(func() {
			t = ownership.NewTable(owner(1, 1))
			t.Merge([]ownership.Claim{confirmed}, never)
		})

		It("accepts it if the owner is not preferred, and remembers the displaced claim", func() {
			Expect(t.Merge([]ownership.Claim{provisional}, never)).To(HaveLen(1))
			displaced, known := t.Displaced(part)
			Expect(known).To(BeTrue())
			Expect(displaced).To(Equal(confirmed))
			By("receiving a later confirmed claim")
			later := ownership.Claim{Part: part, Term: 3, Owner: owner(4, 1)}
			Expect(t.Merge([]ownership.Claim{later}, never)).To(BeEmpty())
			displaced, _ = t.Displaced(part)
			Expect(displaced).To(Equal(later))
		})

		It("ignores it if the owner is preferred", func() {
			Expect(t.Merge([]ownership.Claim{provisional}, always)).To(BeEmpty())
			holder, _ := t.Holder(part)
			Expect(holder).To(Equal(confirmed))
		})

		It("ignores it if it is the owner itself", func() {
			own := t.Claim(part)
			Expect(t.Merge([]ownership.Claim{provisional}, never)).To(BeEmpty())
			holder, _ := t.Holder(part)
			Expect(holder).To(Equal(own))
		})

		It("accepts it once it is confirmed, also in the same term", func() {
			confirmed := provisional
			confirmed.Provisional = false
			t.Merge([]ownership.Claim{provisional}, never)
			Expect(t.Merge([]ownership.Claim{confirmed}, always)).To(HaveLen(1))
			_, known := t.Displaced(part)
			Expect(known).To(BeFalse())
		})
	})

	It("assigns a provisional claim as provisional, except back to the displaced owner", func() {
		t := ownership.NewTable(owner(1, 1))
		t.Merge([]ownership.Claim{{Part: part, Term: 1, Owner: owner(2, 1)}}, never)
		t.ClaimProvisionally(part)
		Expect(t.Assign(part, owner(3, 1)).Provisional).To(BeTrue())
		Expect(t.Assign(part, owner(2, 1)).Provisional).To(BeFalse())
	})

	DescribeTable("ignores invalid claims and implausible terms",
		func(claim ownership.Claim) {
			t := ownership.NewTable(owner(1, 1))
			Expect(t.Merge([]ownership.Claim{claim}, never)).To(BeEmpty())
			_, known := t.Holder(part)
			Expect(known).To(BeFalse())
		},
		Entry("no term", ownership.Claim{Part: part, Owner: owner(2, 1)}),
		Entry("no owner", ownership.Claim{Part: part, Term: 1}),
		Entry("no such part", ownership.Claim{Part: ownership.Part{Number: 1, Of: 1}, Term: 1, Owner: owner(2, 1)}),
		Entry("a term out of reach", ownership.Claim{Part: part, Term: math.MaxUint64, Owner: owner(2, 1)}),
	)

	It("converges on one owner after any messages, losses, restarts and partitions", func() {
		rapid.Check(GinkgoT(), checkOwners)
	})
})

// group is a set of instances that exchange claims.
type group struct {
	tables       []*ownership.Table
	incarnations []uint64
	// inFlight has the messages in flight, which may be lost, duplicated and reordered.
	inFlight []message
	// domains has the failure domain of each instance.
	domains []int
	// terms has the greatest term known to each incarnation.
	terms []uint64
}

type message struct {
	to     int
	claims []ownership.Claim
}

// checkOwners runs a random history, then delivers all messages and checks that terms did not
// decrease and that at most one owner is left.
func checkOwners(t *rapid.T) {
	g := &group{}
	for n := range rapid.IntRange(2, 6).Draw(t, "instances") {
		g.incarnations = append(g.incarnations, 1)
		g.tables = append(g.tables, ownership.NewTable(owner(n, 1)))
		g.terms = append(g.terms, 0)
		g.domains = append(g.domains, rapid.IntRange(0, 1).Draw(t, "domain"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim":               func(t *rapid.T) { g.tables[g.anyInstance(t)].Claim(part) },
		"claim provisionally": func(t *rapid.T) { g.tables[g.anyInstance(t)].ClaimProvisionally(part) },
		"confirm":             func(t *rapid.T) { g.tables[g.anyInstance(t)].Confirm(part) },
		"assign": func(t *rapid.T) {
			from, to := g.anyInstance(t), g.anyInstance(t)
			claim := g.tables[from].Assign(part, owner(to, g.incarnations[to]))
			g.inFlight = append(g.inFlight, message{to, []ownership.Claim{claim}})
		},
		"tell": func(t *rapid.T) { g.send(g.anyInstance(t), g.anyInstance(t)) },
		"restart": func(t *rapid.T) {
			n := g.anyInstance(t)
			g.incarnations[n]++
			g.tables[n] = ownership.NewTable(owner(n, g.incarnations[n]))
			g.terms[n] = 0
		},
		"arrive": func(t *rapid.T) { g.deliverAny(t, true) },
		"double": func(t *rapid.T) { g.deliverAny(t, false) },
		"lose": func(_ *rapid.T) {
			if len(g.inFlight) > 0 {
				g.inFlight = slices.Delete(g.inFlight, 0, 1)
			}
		},
		"": func(t *rapid.T) { g.checkTerms(t) },
	})
	g.exchangeAll()
	g.settle(t)
	g.exchangeAll()
	g.checkTerms(t)
	holder, known := g.tables[0].Holder(part)
	owners := 0
	for _, table := range g.tables {
		other, otherKnown := table.Holder(part)
		if otherKnown != known || other != holder {
			t.Fatalf("instances disagree: %v and %v", holder, other)
		}
		if table.Owns(part) {
			owners++
		}
	}
	if owners > 1 {
		t.Fatalf("%d instances own the part", owners)
	}
}

func (g *group) anyInstance(t *rapid.T) int {
	return rapid.IntRange(0, len(g.tables)-1).Draw(t, "instance")
}

// send sends an instance's claim to another.
func (g *group) send(from, to int) {
	if claim, known := g.tables[from].Holder(part); known {
		g.inFlight = append(g.inFlight, message{to, []ownership.Claim{claim}})
	}
}

func (g *group) deliverAny(t *rapid.T, remove bool) {
	if len(g.inFlight) == 0 {
		return
	}
	n := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
	g.deliver(g.inFlight[n])
	if remove {
		g.inFlight = slices.Delete(g.inFlight, n, n+1)
	}
}

// exchangeAll exchanges all claims twice, so that every claim is known everywhere.
func (g *group) exchangeAll() {
	g.inFlight = nil
	for range 2 {
		for from := range g.tables {
			for to := range g.tables {
				g.send(from, to)
			}
		}
		for _, m := range g.inFlight {
			g.deliver(m)
		}
	}
}

// deliver delivers a message. The receiver prefers its owner over claimers of other failure domains.
func (g *group) deliver(m message) {
	g.tables[m.to].Merge(m.claims, func(_, claimer ownership.Owner) bool {
		var n int
		_, err := fmt.Sscanf(claimer.Name, "i%d", &n)
		return err == nil && g.domains[n] != g.domains[m.to]
	})
}

// settle resolves provisional claims one at a time until there are none.
func (g *group) settle(t *rapid.T) {
	for range 4 * len(g.tables) {
		settled := true
		for n := range g.tables {
			if g.settleOne(t, n) {
				settled = false
				g.exchangeAll()
			}
		}
		if settled {
			return
		}
	}
	t.Fatalf("provisional claims do not settle")
}

// settleOne resolves a provisional claim of one instance and reports whether it did. The owner
// gives the part back to the displaced owner, or confirms its claim if that one has failed. A claim
// whose owner has failed is replaced first.
func (g *group) settleOne(t *rapid.T, n int) bool {
	table := g.tables[n]
	claim, _ := table.Holder(part)
	if !claim.Provisional {
		return false
	}
	if !table.Owns(part) {
		if g.isCurrent(claim.Owner) {
			return false
		}
		claim = table.ClaimProvisionally(part)
	}
	displaced, known := table.Displaced(part)
	if !known || !g.isCurrent(displaced.Owner) {
		table.Confirm(part)
		return true
	}
	if displaced.Provisional || displaced.Term > claim.Term {
		t.Fatalf("instance %d holds %v, which displaced %v", n, claim, displaced)
	}
	if after := table.Assign(part, displaced.Owner); after.Provisional {
		t.Fatalf("instance %d gave the part back provisionally: %v", n, after)
	}
	return true
}

// isCurrent reports whether an owner's incarnation is current.
func (g *group) isCurrent(owner ownership.Owner) bool {
	for n, table := range g.tables {
		if table.Self() == owner {
			return g.incarnations[n] == owner.Incarnation
		}
	}
	return false
}

func (g *group) checkTerms(t *rapid.T) {
	for n, table := range g.tables {
		claim, _ := table.Holder(part)
		if claim.Term < g.terms[n] {
			t.Fatalf("instance %d: term %d after %d", n, claim.Term, g.terms[n])
		}
		g.terms[n] = claim.Term
	}
}
