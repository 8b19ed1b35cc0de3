package ownership_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// settled is longer than endpoints ask for another division until it is made.
const settled = 31 * time.Second

var _ = Describe("a divider", func() {
	var (
		d   *ownership.Divider
		now time.Time
	)

	BeforeEach(func() {
		d = &ownership.Divider{}
		now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	})

	// looks has a divider look each second for a time, and returns how often it changed.
	looks := func(d *ownership.Divider, endpoints int, lasts time.Duration) int {
		changes := 0
		for range int(lasts / time.Second) {
			now = now.Add(time.Second)
			if d.Look(now, ownership.Supply{All: endpoints}) {
				changes++
			}
		}
		return changes
	}

	It("makes parts of at least five endpoints at first, whose number seldom changes", func() {
		counts := map[int]int{}
		for endpoints := range 100 {
			parts := (&ownership.Divider{}).Parts(ownership.Supply{All: endpoints})
			counts[parts]++
			Expect(parts == 1 || endpoints/parts >= 5).To(BeTrue())
		}
		Expect(counts).To(HaveLen(5))
	})

	It("goes by what is agreed on, whatever the endpoints are", func() {
		Expect(d.Look(now, ownership.Supply{All: 35})).To(BeTrue())
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 4, Term: 1}))
		Expect(d.Parts(ownership.Supply{All: 100})).To(Equal(4))
		Expect(d.Parts(ownership.Supply{All: 0})).To(Equal(4))
	})

	It("agrees on nothing while no endpoint is known", func() {
		Expect(looks(d, 0, time.Minute)).To(BeZero())
		Expect(d.Agreed()).To(Equal(ownership.Division{}))
	})

	It("stays while a third of the endpoints is replaced, however long that takes", func() {
		d.Look(now, ownership.Supply{All: 35})
		for range 5 {
			Expect(looks(d, 42, time.Minute)).To(BeZero())
			Expect(looks(d, 47, time.Minute)).To(BeZero())
			Expect(looks(d, 28, time.Minute)).To(BeZero())
		}
	})

	It("changes once when the endpoints have asked for it for a while, and back", func() {
		d.Look(now, ownership.Supply{All: 35})
		Expect(looks(d, 80, 29*time.Second)).To(BeZero())
		Expect(looks(d, 35, 2*time.Second)).To(BeZero())
		Expect(looks(d, 80, 29*time.Second)).To(BeZero(), "it begins anew")
		Expect(looks(d, 80, time.Minute)).To(Equal(1))
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 16, Term: 2}))
		Expect(looks(d, 35, time.Minute)).To(Equal(1))
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 4, Term: 3}))
	})

	It("yields to a later term, and to more parts of one term", func() {
		d.Look(now, ownership.Supply{All: 35})
		Expect(d.Hear(ownership.Division{Parts: 2, Term: 1})).To(BeFalse())
		Expect(d.Hear(ownership.Division{Parts: 8, Term: 1})).To(BeTrue())
		Expect(d.Hear(ownership.Division{Parts: 2, Term: 2})).To(BeTrue())
		Expect(d.Hear(ownership.Division{Parts: 2, Term: 2})).To(BeFalse())
		Expect(d.Parts(ownership.Supply{All: 35})).To(Equal(2))
	})

	DescribeTable("ignores divisions that say nothing, or would use the terms up",
		func(heard ownership.Division) {
			Expect(d.Hear(heard)).To(BeFalse())
			Expect(d.Agreed()).To(Equal(ownership.Division{}))
		},
		Entry("not agreed on", ownership.Division{Parts: 4}),
		Entry("no parts", ownership.Division{Term: 1}),
		Entry("absurdly many", ownership.Division{Parts: 1 << 20, Term: 1}),
		Entry("a term out of reach", ownership.Division{Parts: 4, Term: math.MaxUint64}),
	)

	It("is the same everywhere after any sights, messages and restarts", func() {
		rapid.Check(GinkgoT(), playDividers)
	})
})

// playDividers has instances look at endpoints that each sees in its own way, hear each other and
// start anew; no term goes back within a life, and when all have told each other all agree.
func playDividers(t *rapid.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	dividers := make([]*ownership.Divider, rapid.IntRange(2, 5).Draw(t, "instances"))
	terms := make([]uint64, len(dividers))
	for n := range dividers {
		dividers[n] = &ownership.Divider{}
	}
	one := func(t *rapid.T) int { return rapid.IntRange(0, len(dividers)-1).Draw(t, "instance") }
	t.Repeat(map[string]func(*rapid.T){
		"look": func(t *rapid.T) {
			now = now.Add(settled / 2)
			dividers[one(t)].Look(now, ownership.Supply{All: rapid.IntRange(0, 200).Draw(t, "endpoints")})
		},
		"tell": func(t *rapid.T) { dividers[one(t)].Hear(dividers[one(t)].Agreed()) },
		"restart": func(t *rapid.T) {
			n := one(t)
			dividers[n], terms[n] = &ownership.Divider{}, 0
		},
		"": func(t *rapid.T) {
			for n, d := range dividers {
				if d.Agreed().Term < terms[n] {
					t.Fatalf("instance %d: term %d after %d", n, d.Agreed().Term, terms[n])
				}
				terms[n] = d.Agreed().Term
			}
		},
	})
	for range 2 {
		for _, from := range dividers {
			for _, to := range dividers {
				to.Hear(from.Agreed())
			}
		}
	}
	for _, d := range dividers {
		if d.Agreed() != dividers[0].Agreed() {
			t.Fatalf("instances disagree: %v and %v", dividers[0].Agreed(), d.Agreed())
		}
	}
}
