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

var part = ownership.Part{Number: 0, Of: 1}

var _ = Describe("a table of owners", func() {
	It("keeps the owner until a later term is heard", func() {
		t := ownership.NewTable(owner(1, 1))
		first := ownership.Claim{Part: part, Term: 3, Owner: owner(2, 1)}
		Expect(t.Hear([]ownership.Claim{first})).To(Equal([]ownership.Change{{After: first}}))
		Expect(t.Hear([]ownership.Claim{{Part: part, Term: 2, Owner: owner(9, 1)}, first})).To(BeEmpty())
		holder, _ := t.Holder(part)
		Expect(holder).To(Equal(first))
		own := t.Claim(part)
		Expect(own.Term).To(Equal(uint64(4)))
		Expect(t.Owns(part)).To(BeTrue())
		Expect(t.Own()).To(Equal([]ownership.Claim{own}))
	})

	It("does not take a claim of its own earlier life for its own", func() {
		t := ownership.NewTable(owner(1, 2))
		t.Hear([]ownership.Claim{{Part: part, Term: 5, Owner: owner(1, 1)}})
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
			forth.Hear(claims)
			slices.Reverse(claims)
			back.Hear(claims)
			holder, _ := forth.Holder(claims[0].Part)
			same, _ := back.Holder(claims[0].Part)
			Expect(same).To(Equal(holder))
			owns[holder.Owner.Name]++
		}
		Expect(owns).To(HaveLen(3))
	})

	DescribeTable("ignores claims that say nothing, or would use the terms up",
		func(claim ownership.Claim) {
			t := ownership.NewTable(owner(1, 1))
			Expect(t.Hear([]ownership.Claim{claim})).To(BeEmpty())
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
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim": func(t *rapid.T) { g.tables[g.any(t)].Claim(part) },
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
	g.tables[g.sent[n].to].Hear(g.sent[n].claims)
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
			g.tables[m.to].Hear(m.claims)
		}
	}
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
