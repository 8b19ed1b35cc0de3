package ownership_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// afterDelay is longer than the time that endpoint counts must call for another division.
const afterDelay = 31 * time.Second

var _ = Describe("a divider", func() {
	var (
		d   *ownership.Divider
		now time.Time
	)

	BeforeEach(func() {
		d = &ownership.Divider{}
		now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	})

	// lookFor calls Update each second for the given time and returns the number of changes.
	lookFor := func(d *ownership.Divider, endpoints int, lasts time.Duration) int {
		changes := 0
		for range int(lasts / time.Second) {
			now = now.Add(time.Second)
			if d.Update(now, ownership.EndpointCounts{Total: endpoints}) {
				changes++
			}
		}
		return changes
	}

	It("starts with parts of at least five endpoints, in a few possible numbers", func() {
		counts := map[int]int{}
		for endpoints := range 100 {
			parts := (&ownership.Divider{}).Parts(ownership.EndpointCounts{Total: endpoints})
			counts[parts]++
			Expect(parts == 1 || endpoints/parts >= 5).To(BeTrue())
		}
		Expect(counts).To(HaveLen(5))
	})

	It("uses the agreed division for any number of endpoints", func() {
		Expect(d.Update(now, ownership.EndpointCounts{Total: 35})).To(BeTrue())
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 4, Term: 1}))
		Expect(d.Parts(ownership.EndpointCounts{Total: 100})).To(Equal(4))
		Expect(d.Parts(ownership.EndpointCounts{Total: 0})).To(Equal(4))
	})

	It("makes no division while no endpoint is known", func() {
		Expect(lookFor(d, 0, time.Minute)).To(BeZero())
		Expect(d.Agreed()).To(Equal(ownership.Division{}))
	})

	It("keeps the division during a rolling update of a third of the endpoints", func() {
		d.Update(now, ownership.EndpointCounts{Total: 35})
		for range 5 {
			Expect(lookFor(d, 42, time.Minute)).To(BeZero())
			Expect(lookFor(d, 47, time.Minute)).To(BeZero())
			Expect(lookFor(d, 28, time.Minute)).To(BeZero())
		}
	})

	It("changes once after the counts have called for it for a while, and back", func() {
		d.Update(now, ownership.EndpointCounts{Total: 35})
		Expect(lookFor(d, 80, 29*time.Second)).To(BeZero())
		Expect(lookFor(d, 35, 2*time.Second)).To(BeZero())
		Expect(lookFor(d, 80, 29*time.Second)).To(BeZero(), "the interval restarts")
		Expect(lookFor(d, 80, time.Minute)).To(Equal(1))
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 16, Term: 2}))
		Expect(lookFor(d, 35, time.Minute)).To(Equal(1))
		Expect(d.Agreed()).To(Equal(ownership.Division{Parts: 4, Term: 3}))
	})

	It("yields to a later term, and to more parts of one term", func() {
		d.Update(now, ownership.EndpointCounts{Total: 35})
		Expect(d.Merge(ownership.Division{Parts: 2, Term: 1})).To(BeFalse())
		Expect(d.Merge(ownership.Division{Parts: 8, Term: 1})).To(BeTrue())
		Expect(d.Merge(ownership.Division{Parts: 2, Term: 2})).To(BeTrue())
		Expect(d.Merge(ownership.Division{Parts: 2, Term: 2})).To(BeFalse())
		Expect(d.Parts(ownership.EndpointCounts{Total: 35})).To(Equal(2))
	})

	DescribeTable("ignores invalid divisions and implausible terms",
		func(heard ownership.Division) {
			Expect(d.Merge(heard)).To(BeFalse())
			Expect(d.Agreed()).To(Equal(ownership.Division{}))
		},
		Entry("no term", ownership.Division{Parts: 4}),
		Entry("no parts", ownership.Division{Term: 1}),
		Entry("too many parts", ownership.Division{Parts: 1 << 20, Term: 1}),
		Entry("a term out of reach", ownership.Division{Parts: 4, Term: math.MaxUint64}),
	)

	It("converges after any sequence of counts, messages and restarts", func() {
		rapid.Check(GinkgoT(), checkDividers)
	})
})

// checkDividers runs random histories of counts, messages and restarts. Terms must not decrease
// within an incarnation, and all instances must agree after a full exchange.
func checkDividers(t *rapid.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	dividers := make([]*ownership.Divider, rapid.IntRange(2, 5).Draw(t, "instances"))
	terms := make([]uint64, len(dividers))
	for n := range dividers {
		dividers[n] = &ownership.Divider{}
	}
	one := func(t *rapid.T) int { return rapid.IntRange(0, len(dividers)-1).Draw(t, "instance") }
	t.Repeat(map[string]func(*rapid.T){
		"look": func(t *rapid.T) {
			now = now.Add(afterDelay / 2)
			dividers[one(t)].Update(now, ownership.EndpointCounts{Total: rapid.IntRange(0, 200).Draw(t, "endpoints")})
		},
		"tell": func(t *rapid.T) { dividers[one(t)].Merge(dividers[one(t)].Agreed()) },
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
				to.Merge(from.Agreed())
			}
		}
	}
	for _, d := range dividers {
		if d.Agreed() != dividers[0].Agreed() {
			t.Fatalf("instances disagree: %v and %v", dividers[0].Agreed(), d.Agreed())
		}
	}
}
