package fleet_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func evacuate(domain string) fleet.Evacuation { return fleet.Evacuation{Domain: domain} }

func restore(domain string) fleet.Evacuation { return fleet.Evacuation{Domain: domain, Ended: true} }

var _ = Describe("evacuations", func() {
	DescribeTable("are the result of orders applied in sequence",
		func(orders []fleet.Evacuation, domains ...string) {
			e := fleet.Evacuations{}.With(7, orders)
			Expect(e.Known()).To(BeTrue())
			Expect(e.Revision).To(Equal(revision.Revision(7)))
			Expect(e.Domains).To(HaveExactElements(domains))
		},
		Entry("none", nil),
		Entry("one", []fleet.Evacuation{evacuate("a")}, "a"),
		Entry("several, in any order", []fleet.Evacuation{evacuate("c"), evacuate("a"), evacuate("b")}, "a", "b", "c"),
		Entry("the same twice", []fleet.Evacuation{evacuate("a"), evacuate("a")}, "a"),
		Entry("given and withdrawn", []fleet.Evacuation{evacuate("a"), evacuate("b"), restore("a")}, "b"),
		Entry("withdrawn and given again", []fleet.Evacuation{evacuate("a"), restore("a"), evacuate("a")}, "a"),
		Entry("withdrawn but never given", []fleet.Evacuation{restore("a")}),
		Entry("one without a failure domain", []fleet.Evacuation{evacuate(""), restore("")}),
	)

	It("do not change the record that others are derived from", func() {
		before := fleet.Evacuations{}.With(1, []fleet.Evacuation{evacuate("a"), evacuate("b")})
		before.With(2, []fleet.Evacuation{restore("a"), evacuate("c")})
		Expect(before.Domains).To(HaveExactElements("a", "b"))
	})
})

var _ = Describe("a snapshot", func() {
	endpoints := []fleet.Endpoint{
		{ID: "a1", Service: "s", FailureDomain: "a"},
		{ID: "a2", Service: "s", FailureDomain: "a", Leaving: true},
		{ID: "b1", Service: "s", FailureDomain: "b"},
	}
	ids := func(s *fleet.Snapshot) []string {
		var ids []string
		for _, e := range s.Ready("s") {
			ids = append(ids, e.ID)
		}
		return ids
	}
	orders := func(at revision.Revision, domains ...string) fleet.Evacuations {
		return fleet.Evacuations{Revision: at, Domains: domains}
	}

	It("excludes the endpoints of evacuated failure domains until they are restored", func() {
		s := fleet.New(3, endpoints)
		Expect(ids(s)).To(HaveExactElements("a1", "b1"))
		s = s.WithEvacuations(orders(4, "a"))
		Expect(ids(s)).To(HaveExactElements("b1"))
		Expect(s.MayGetWork("a1")).To(BeFalse())
		_, known := s.Endpoint("a1")
		Expect(known).To(BeTrue(), "running work is not affected")
		s = s.WithEvacuations(orders(5))
		Expect(ids(s)).To(HaveExactElements("a1", "b1"))
		Expect(s.Ready("s")[0].Returned).To(Equal(revision.Revision(5)))
		Expect(s.Ready("s")[1].Returned).To(BeZero())
	})

	It("keeps evacuations when endpoints change or are replaced", func() {
		s := fleet.New(3, endpoints).WithEvacuations(orders(4, "a"))
		s = s.With(6, []fleet.Change{{Endpoint: fleet.Endpoint{ID: "a3", Service: "s", FailureDomain: "a"}}})
		Expect(ids(s)).To(HaveExactElements("b1"))
		s = s.Replace(7, endpoints)
		Expect(ids(s)).To(HaveExactElements("b1"))
		Expect(s.Evacuations().Domains).To(HaveExactElements("a"))
	})

	It("ignores older evacuations", func() {
		s := fleet.New(3, endpoints).WithEvacuations(orders(6, "a"))
		Expect(ids(s.WithEvacuations(orders(5)))).To(HaveExactElements("b1"))
		Expect(ids(s.WithEvacuations(orders(6)))).To(HaveExactElements("b1"))
		Expect(ids(s.WithEvacuations(orders(7)))).To(HaveExactElements("a1", "b1"))
	})

	It("has no ready endpoint when all failure domains are evacuated, and ignores an unknown failure domain", func() {
		s := fleet.New(3, endpoints)
		Expect(ids(s.WithEvacuations(orders(4, "a", "b")))).To(BeEmpty())
		Expect(ids(s.WithEvacuations(orders(4, "z")))).To(HaveExactElements("a1", "b1"))
	})

	It("shares the endpoints after an update without changes", func() {
		s := fleet.New(3, endpoints).WithEvacuations(orders(4, "a"))
		Expect(&s.WithEvacuations(orders(5, "a")).Ready("s")[0]).To(BeIdenticalTo(&s.Ready("s")[0]))
	})
})

var _ = Describe("an endpoint that starts again under its name", func() {
	first := fleet.Endpoint{ID: "e@1", Entry: "e", Service: "s", FailureDomain: "a", Slots: 4}
	second := fleet.Endpoint{ID: "e@2", Entry: "e", Service: "s", FailureDomain: "a", Slots: 4}
	other := fleet.Endpoint{ID: "f", Service: "s", FailureDomain: "a"}
	before := fleet.New(1, []fleet.Endpoint{first, other})

	It("replaces its previous incarnation", func() {
		s := before.With(2, []fleet.Change{{Endpoint: second}})
		Expect(s.Ready("s")).To(HaveExactElements(second, other))
		Expect(s.MayGetWork("e@1")).To(BeFalse())
		_, known := s.Endpoint("e@1")
		Expect(known).To(BeFalse())
		now, known := s.Endpoint("e@2")
		Expect(known).To(BeTrue())
		Expect(now).To(Equal(second))
		Expect(s.HasName("e")).To(BeTrue())
		Expect(before.MayGetWork("e@1")).To(BeTrue(), "an older snapshot is unchanged")
	})

	It("is removed with its entry, whichever incarnation that was of", func() {
		s := before.With(2, []fleet.Change{{Endpoint: fleet.Endpoint{ID: "e"}, Gone: true}})
		Expect(s.Ready("s")).To(HaveExactElements(other))
		Expect(s.HasName("e")).To(BeFalse())
		Expect(s.MayGetWork("e@1")).To(BeFalse())
	})

	It("is called by its name", func() {
		Expect(second.Name()).To(Equal("e"))
		Expect(other.Name()).To(Equal("f"))
	})
})
