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

// never stays with no owner.
func never(ownership.Owner, ownership.Owner) bool { return false }

// always stays with every owner.
func always(ownership.Owner, ownership.Owner) bool { return true }

var part = ownership.Part{Number: 0, Of: 1}

var _ = Describe("a table of owners", func() {
	It("keeps the owner until a later term is heard", func() {
		t := ownership.NewTable(owner(1, 1))
		first := ownership.Claim{Part: part, Term: 3, Owner: owner(2, 1)}
		Expect(t.Hear([]ownership.Claim{first}, never)).To(Equal([]ownership.Change{{After: first}}))
		Expect(t.Hear([]ownership.Claim{{Part: part, Term: 2, Owner: owner(9, 1)}, first}, never)).To(BeEmpty())
		holder, _ := t.Holder(part)
		Expect(holder).To(Equal(first))
		own := t.Claim(part)
		Expect(own.Term).To(Equal(uint64(4)))
		Expect(t.Owns(part)).To(BeTrue())
		Expect(t.Own()).To(Equal([]ownership.Claim{own}))
	})

	It("does not take a claim of its own earlier life for its own", func() {
		t := ownership.NewTable(owner(1, 2))
		t.Hear([]ownership.Claim{{Part: part, Term: 5, Owner: owner(1, 1)}}, never)
		Expect(t.Owns(part)).To(BeFalse())
		Expect(t.Claim(part).Term).To(Equal(uint64(6)))
	})

	It("chooses among claims of one term, another for each part", func() {
		const parts = 16
		owns := map[string]int{}
		for number := range parts {
			forth, back := ownership.NewTable(owner(9, 1)), ownership.NewTable(owner(9, 1))
			var claims []ownership.Claim
			for n := range 3 {
				claims = append(claims, ownership.Claim{Part: ownership.Part{Number: number, Of: parts}, Term: 1, Owner: owner(n, 1)})
			}
			forth.Hear(claims, never)
			slices.Reverse(claims)
			back.Hear(claims, never)
			holder, _ := forth.Holder(claims[0].Part)
			same, _ := back.Holder(claims[0].Part)
			Expect(same).To(Equal(holder))
			owns[holder.Owner.Name]++
		}
		Expect(owns).To(HaveLen(3))
	})

	Describe("that hears a provisional claim of a later term", func() {
		var t *ownership.Table
		certain := ownership.Claim{Part: part, Term: 1, Owner: owner(2, 1)}
		provisional := ownership.Claim{Part: part, Term: 9, Owner: owner(3, 1), Provisional: true}

		BeforeEach(func() {
			t = ownership.NewTable(owner(1, 1))
			t.Hear([]ownership.Claim{certain}, never)
		})

		It("follows it where it does not stay with the owner, and knows who was displaced", func() {
			Expect(t.Hear([]ownership.Claim{provisional}, never)).To(HaveLen(1))
			displaced, known := t.Displaced(part)
			Expect(known).To(BeTrue())
			Expect(displaced).To(Equal(certain))
			By("hearing of who owns it now for the others")
			later := ownership.Claim{Part: part, Term: 3, Owner: owner(4, 1)}
			Expect(t.Hear([]ownership.Claim{later}, never)).To(BeEmpty())
			displaced, _ = t.Displaced(part)
			Expect(displaced).To(Equal(later))
		})

		It("stays with the owner", func() {
			Expect(t.Hear([]ownership.Claim{provisional}, always)).To(BeEmpty())
			holder, _ := t.Holder(part)
			Expect(holder).To(Equal(certain))
		})

		It("goes on if it is the owner itself", func() {
			own := t.Claim(part)
			Expect(t.Hear([]ownership.Claim{provisional}, never)).To(BeEmpty())
			holder, _ := t.Holder(part)
			Expect(holder).To(Equal(own))
		})

		It("follows it once it is confirmed, also in the same term", func() {
			confirmed := provisional
			confirmed.Provisional = false
			t.Hear([]ownership.Claim{provisional}, never)
			Expect(t.Hear([]ownership.Claim{confirmed}, always)).To(HaveLen(1))
			_, known := t.Displaced(part)
			Expect(known).To(BeFalse())
		})
	})

	It("keeps a part that it claimed provisionally provisional when it assigns it, but not back", func() {
		t := ownership.NewTable(owner(1, 1))
		t.Hear([]ownership.Claim{{Part: part, Term: 1, Owner: owner(2, 1)}}, never)
		t.ClaimProvisionally(part)
		Expect(t.Assign(part, owner(3, 1)).Provisional).To(BeTrue())
		Expect(t.Assign(part, owner(2, 1)).Provisional).To(BeFalse())
	})

	DescribeTable("ignores claims that say nothing, or would use the terms up",
		func(claim ownership.Claim) {
			t := ownership.NewTable(owner(1, 1))
			Expect(t.Hear([]ownership.Claim{claim}, never)).To(BeEmpty())
			_, known := t.Holder(part)
			Expect(known).To(BeFalse())
		},
		Entry("no term", ownership.Claim{Part: part, Owner: owner(2, 1)}),
		Entry("nobody's", ownership.Claim{Part: part, Term: 1}),
		Entry("no such part", ownership.Claim{Part: ownership.Part{Number: 1, Of: 1}, Term: 1, Owner: owner(2, 1)}),
		Entry("a term out of reach", ownership.Claim{Part: part, Term: math.MaxUint64, Owner: owner(2, 1)}),
	)

	It("agrees on one owner after any messages, losses, restarts and cuts", func() {
		rapid.Check(GinkgoT(), playOwners)
	})
})

// group is some instances that tell each other their claims.
type group struct {
	tables       []*ownership.Table
	incarnations []uint64
	// sent are the messages under way; they may be lost, doubled and reordered.
	sent []message
	// domains are the failure domains of the instances.
	domains []int
	// terms are the greatest that each life has known.
	terms []uint64
}

type message struct {
	to     int
	claims []ownership.Claim
}

// playOwners plays a random history, then lets all messages through, and checks that no term
// went back and that one owner is left.
func playOwners(t *rapid.T) {
	g := &group{}
	for n := range rapid.IntRange(2, 6).Draw(t, "instances") {
		g.incarnations = append(g.incarnations, 1)
		g.tables = append(g.tables, ownership.NewTable(owner(n, 1)))
		g.terms = append(g.terms, 0)
		g.domains = append(g.domains, rapid.IntRange(0, 1).Draw(t, "domain"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim":               func(t *rapid.T) { g.tables[g.any(t)].Claim(part) },
		"claim provisionally": func(t *rapid.T) { g.tables[g.any(t)].ClaimProvisionally(part) },
		"confirm":             func(t *rapid.T) { g.tables[g.any(t)].Confirm(part) },
		"assign": func(t *rapid.T) {
			from, to := g.any(t), g.any(t)
			claim := g.tables[from].Assign(part, owner(to, g.incarnations[to]))
			g.sent = append(g.sent, message{to, []ownership.Claim{claim}})
		},
		"tell": func(t *rapid.T) { g.tell(g.any(t), g.any(t)) },
		"restart": func(t *rapid.T) {
			n := g.any(t)
			g.incarnations[n]++
			g.tables[n] = ownership.NewTable(owner(n, g.incarnations[n]))
			g.terms[n] = 0
		},
		"arrive": func(t *rapid.T) { g.arrive(t, true) },
		"double": func(t *rapid.T) { g.arrive(t, false) },
		"lose": func(_ *rapid.T) {
			if len(g.sent) > 0 {
				g.sent = slices.Delete(g.sent, 0, 1)
			}
		},
		"": func(t *rapid.T) { g.noTermWentBack(t) },
	})
	g.heal()
	g.settle(t)
	g.heal()
	g.noTermWentBack(t)
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

func (g *group) any(t *rapid.T) int { return rapid.IntRange(0, len(g.tables)-1).Draw(t, "instance") }

// tell sends what one instance knows to another.
func (g *group) tell(from, to int) {
	if claim, known := g.tables[from].Holder(part); known {
		g.sent = append(g.sent, message{to, []ownership.Claim{claim}})
	}
}

func (g *group) arrive(t *rapid.T, remove bool) {
	if len(g.sent) == 0 {
		return
	}
	n := rapid.IntRange(0, len(g.sent)-1).Draw(t, "message")
	g.hear(g.sent[n])
	if remove {
		g.sent = slices.Delete(g.sent, n, n+1)
	}
}

// heal has all tell each other what they know, twice: whatever is known anywhere is known
// everywhere then.
func (g *group) heal() {
	g.sent = nil
	for range 2 {
		for from := range g.tables {
			for to := range g.tables {
				g.tell(from, to)
			}
		}
		for _, m := range g.sent {
			g.hear(m)
		}
	}
}

// hear has an instance take a message in. It stays with an owner when the claimer is of another failure
// domain.
func (g *group) hear(m message) {
	g.tables[m.to].Hear(m.claims, func(_, claimer ownership.Owner) bool {
		var n int
		_, err := fmt.Sscanf(claimer.Name, "i%d", &n)
		return err == nil && g.domains[n] != g.domains[m.to]
	})
}

// settle has instances settle provisional claims, one after the other, as long as there are any.
func (g *group) settle(t *rapid.T) {
	for range 4 * len(g.tables) {
		settled := true
		for n := range g.tables {
			if g.settleOne(t, n) {
				settled = false
				g.heal()
			}
		}
		if settled {
			return
		}
	}
	t.Fatalf("provisional claims go on and on")
}

// settleOne has an instance settle a provisional claim, and tells whether there was one that it could: the
// owner gives the part back to the one that is displaced, or confirms its claim if none is known. A claim
// whose owner has ended is followed by one of the instance's own.
func (g *group) settleOne(t *rapid.T, n int) bool {
	table := g.tables[n]
	claim, _ := table.Holder(part)
	if !claim.Provisional {
		return false
	}
	if !table.Owns(part) {
		if g.lives(claim.Owner) {
			return false
		}
		claim = table.ClaimProvisionally(part)
	}
	displaced, known := table.Displaced(part)
	if !known || !g.lives(displaced.Owner) {
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

// lives tells whether an owner's life goes on.
func (g *group) lives(owner ownership.Owner) bool {
	for n, table := range g.tables {
		if table.Self() == owner {
			return g.incarnations[n] == owner.Incarnation
		}
	}
	return false
}

func (g *group) noTermWentBack(t *rapid.T) {
	for n, table := range g.tables {
		claim, _ := table.Holder(part)
		if claim.Term < g.terms[n] {
			t.Fatalf("instance %d: term %d after %d", n, claim.Term, g.terms[n])
		}
		g.terms[n] = claim.Term
	}
}
