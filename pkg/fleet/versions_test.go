package fleet_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("the versions of a service", func() {
	const order = 5
	var s *fleet.Snapshot

	endpoint := func(id, version string) fleet.Endpoint {
		return fleet.Endpoint{ID: id, Service: "s", FailureDomain: "d", Version: version}
	}
	ready := func() []string {
		var ids []string
		for _, e := range s.Ready("s") {
			ids = append(ids, e.ID)
		}
		return ids
	}
	ordered := func(at revision.Revision, orders ...fleet.Rollout) fleet.Rollouts {
		return fleet.Rollouts{Revision: at, Orders: orders}
	}
	toV2 := fleet.Rollout{Service: "s", Version: "v2", OverMs: 1000, Revision: order}
	stand := func(exposure fleet.Exposure, share float64) {
		s = s.WithRolloutStates(fleet.RolloutStates{order: {Exposure: exposure, Share: share}})
	}

	BeforeEach(func() {
		s = fleet.New(1, []fleet.Endpoint{endpoint("a", "v1"), endpoint("b", "v1")}).WithRollouts(ordered(4))
		s = s.With(7, []fleet.Change{{Endpoint: endpoint("x", "v2")}, {Endpoint: endpoint("y", "v2")}})
	})

	It("get no work until the orders are known up to their appearance", func() {
		Expect(ready()).To(HaveExactElements("a", "b"))
		Expect(s.Barred("x")).To(BeTrue())
		Expect(s.MayGetWork("x")).To(BeFalse())
		s = s.WithRollouts(ordered(6))
		Expect(ready()).To(HaveExactElements("a", "b"))
		s = s.WithRollouts(ordered(7))
		Expect(ready()).To(HaveExactElements("a", "b", "x", "y"))
	})

	It("are all used by an instance that starts without any order", func() {
		s = fleet.New(9, []fleet.Endpoint{endpoint("a", "v1"), endpoint("x", "v2")}).WithRollouts(ordered(8))
		Expect(ready()).To(HaveExactElements("a", "x"))
	})

	DescribeTable("of an order get the traffic that its state allows",
		func(exposure fleet.Exposure, used, trial, barred []string) {
			s = s.WithRollouts(ordered(8, toV2))
			stand(exposure, 0.5)
			Expect(ready()).To(Equal(used))
			var tried []string
			for _, e := range s.Trial("s").Endpoints {
				tried = append(tried, e.ID)
			}
			Expect(tried).To(HaveLen(len(trial)))
			for _, id := range barred {
				Expect(s.MayGetWork(id)).To(BeFalse())
			}
			for _, id := range append(used, tried...) {
				Expect(s.MayGetWork(id)).To(BeTrue())
			}
		},
		Entry("nothing is known", fleet.Withheld, []string{"a", "b"}, nil, []string{"x", "y"}),
		Entry("tried, at the load of the others", fleet.Tried, []string{"a", "b"}, []string{"one"}, nil),
		Entry("proven", fleet.Proven, []string{"x", "y"}, nil, []string{"a", "b"}),
		Entry("refuted", fleet.Refuted, []string{"a", "b"}, nil, []string{"x", "y"}),
	)

	It("that are refuted get no work even if no other is left, and those with all traffic before the order keep it", func() {
		gone := []fleet.Change{{Endpoint: endpoint("a", ""), Gone: true}, {Endpoint: endpoint("b", ""), Gone: true}}
		s = s.WithRollouts(ordered(8, toV2)).With(9, gone)
		Expect(ready()).To(BeEmpty())
		stand(fleet.Refuted, 0)
		Expect(ready()).To(BeEmpty())
		s = fleet.New(1, []fleet.Endpoint{endpoint("a", "v2")}).WithRollouts(ordered(8, toV2))
		Expect(ready()).To(HaveExactElements("a"))
	})

	It("that are proven fall back to the others when they have no endpoints left", func() {
		s = s.WithRollouts(ordered(8, toV2))
		stand(fleet.Proven, 0)
		s = s.With(9, []fleet.Change{{Endpoint: endpoint("x", ""), Gone: true}, {Endpoint: endpoint("y", ""), Gone: true}})
		Expect(ready()).To(HaveExactElements("a", "b"))
	})

	It("whose order is withdrawn or replaced before they are proven get no work while others have endpoints", func() {
		s = s.WithRollouts(ordered(8, toV2)).WithRollouts(ordered(9))
		Expect(ready()).To(HaveExactElements("a", "b"))
		s = s.WithRollouts(ordered(10, fleet.Rollout{Service: "s", Version: "v3", Revision: 10}))
		Expect(ready()).To(HaveExactElements("a", "b"))
		s = s.With(11, []fleet.Change{{Endpoint: endpoint("a", ""), Gone: true}, {Endpoint: endpoint("b", ""), Gone: true}})
		Expect(ready()).To(HaveExactElements("x", "y"), "no other version has endpoints")
	})

	It("whose order is withdrawn after they were proven are used", func() {
		s = s.WithRollouts(ordered(8, toV2))
		stand(fleet.Proven, 0)
		s = s.WithRollouts(ordered(9))
		Expect(ready()).To(HaveExactElements("a", "b", "x", "y"))
	})

	It("get about their share of the requests", func() {
		trial := fleet.Trial{Order: order, Share: 0.06, Endpoints: []fleet.Endpoint{endpoint("x", "v2")}}
		taken := 0
		for n := range 20_000 {
			if trial.Includes(fmt.Sprint("request-", n)) {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", 1200, 150))
		Expect(fleet.Trial{Share: 1}.Includes("request")).To(BeFalse(), "the trial has no endpoints")
	})

	It("of an order that is not proven are never ready, in whatever sequence entries, orders and states arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := fleet.New(1, []fleet.Endpoint{endpoint("a", "v1")}).WithRollouts(ordered(1))
			revision := revision.Revision(1)
			t.Repeat(map[string]func(*rapid.T){
				"an entry": func(t *rapid.T) {
					revision++
					e := endpoint(rapid.SampledFrom([]string{"b", "x", "y"}).Draw(t, "id"), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"))
					all = all.With(revision, []fleet.Change{{Endpoint: e, Gone: rapid.Bool().Draw(t, "gone")}})
				},
				"all entries": func(*rapid.T) {
					revision++
					all = all.Replace(revision, []fleet.Endpoint{endpoint("a", "v1"), endpoint("x", "v2")})
				},
				"an order": func(*rapid.T) {
					revision++
					all = all.WithRollouts(ordered(revision, fleet.Rollout{Service: "s", Version: "v2", Revision: revision}))
				},
				"its end": func(*rapid.T) { revision++; all = all.WithRollouts(ordered(revision)) },
				"a rollout state": func(t *rapid.T) {
					if o, found := all.Rollouts().ForService("s"); found {
						exposure := rapid.SampledFrom([]fleet.Exposure{fleet.Withheld, fleet.Tried, fleet.Refuted}).Draw(t, "exposure")
						all = all.WithRolloutStates(fleet.RolloutStates{o.Revision: {Exposure: exposure, Share: 0.1}})
					}
				},
				"": func(t *rapid.T) {
					_, found := all.Rollouts().ForService("s")
					for _, e := range all.Ready("s") {
						if found && e.Version == "v2" {
							t.Fatalf("%s gets work", e.ID)
						}
					}
				},
			})
		})
	})
})
