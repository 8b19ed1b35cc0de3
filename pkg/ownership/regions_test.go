package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

var _ = Describe("parts assigned to regions", func() {
	regions := ownership.NewRegions(map[string]string{"a1": "north", "a2": "north", "b1": "south", "c1": "west"})
	supply := func(all, north, south, west int) ownership.EndpointCounts {
		return ownership.EndpointCounts{Total: all, ByRegion: map[string]int{"north": north, "south": south, "west": west}}
	}

	It("are determined by their number", func() {
		Expect(regions.AssignsParts(3)).To(BeTrue())
		Expect(regions.AssignsParts(6)).To(BeTrue())
		Expect(regions.AssignsParts(4)).To(BeFalse())
		Expect(ownership.NewRegions(map[string]string{"a1": "north", "a2": "north"}).AssignsParts(3)).To(BeFalse())
		Expect(ownership.Regions{}.AssignsParts(4)).To(BeFalse())
		Expect(regions.OfPart(ownership.Part{Number: 4, Of: 6})).To(Equal("south"))
		Expect(regions.OfPart(ownership.Part{Number: 1, Of: 2})).To(BeEmpty())
	})

	It("cover all numbers of their region", func() {
		seen := map[ownership.Part]bool{}
		for number := range uint64(20) {
			part := regions.Part("west", number, 6)
			Expect(regions.OfPart(part)).To(Equal("west"))
			seen[part] = true
		}
		Expect(seen).To(HaveLen(2))
	})

	DescribeTable("are used if each region has enough endpoints",
		func(s ownership.EndpointCounts, parts int) {
			Expect((&ownership.Divider{}).Parts(s)).To(Equal(parts))
		},
		Entry("enough for one each", supply(15, 5, 5, 5), 3),
		Entry("enough for two each", supply(40, 12, 14, 14), 6),
		Entry("one has too few", supply(15, 7, 6, 2), 2),
		Entry("one has none", supply(12, 6, 6, 0), 2),
		Entry("two regions, one with too few: two parts would be assigned to regions",
			ownership.EndpointCounts{Total: 14, ByRegion: map[string]int{"north": 12, "south": 2}}, 1),
		Entry("one region", ownership.EndpointCounts{Total: 40, ByRegion: map[string]int{"north": 40}}, 8),
	)

	It("are kept while a region lacks a few endpoints, and dropped when it has far too few", func() {
		var d ownership.Divider
		now := time.Now()
		Expect(d.Update(now, supply(15, 5, 5, 5))).To(BeTrue())
		for _, s := range []ownership.EndpointCounts{supply(14, 4, 5, 5), supply(20, 8, 6, 6)} {
			d.Update(now, s)
			now = now.Add(40 * time.Second)
			Expect(d.Update(now, s)).To(BeFalse())
		}
		d.Update(now, supply(11, 1, 5, 5))
		now = now.Add(40 * time.Second)
		Expect(d.Update(now, supply(11, 1, 5, 5))).To(BeTrue())
		Expect(d.Agreed().Parts).To(Equal(2))
		d.Update(now, supply(15, 5, 5, 5))
		now = now.Add(40 * time.Second)
		Expect(d.Update(now, supply(15, 5, 5, 5))).To(BeTrue())
		Expect(d.Agreed().Parts).To(Equal(3))
	})
})
