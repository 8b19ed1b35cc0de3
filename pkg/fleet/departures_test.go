package fleet_test

import (
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("endpoints that said in answers that they leave", func() {
	var s *fleet.Snapshot

	endpoint := func(name, incarnation string) fleet.Endpoint {
		return fleet.Endpoint{ID: name + "@" + incarnation, Entry: name, Service: "s"}
	}
	ready := func() []string {
		var ids []string
		for _, e := range s.Ready("s") {
			ids = append(ids, e.ID)
		}
		return ids
	}

	BeforeEach(func() {
		s = fleet.New(1, []fleet.Endpoint{endpoint("a", "1"), endpoint("b", "1")}).WithDepartures(fleet.Departures{"a@1": true})
	})

	It("get no new work, and are reported as leaving", func() {
		Expect(ready()).To(HaveExactElements("b@1"))
		Expect(s.MayGetWork("a@1")).To(BeFalse())
		known, ok := s.Endpoint("a@1")
		Expect(ok).To(BeTrue())
		Expect(known.Leaving).To(BeTrue())
		Expect(s.All()).To(ContainElement(SatisfyAll(HaveField("ID", "a@1"), HaveField("Leaving", true))))
	})

	It("remain departing whatever their entries say later", func() {
		changed := endpoint("a", "1")
		changed.Slots = 9
		s = s.With(2, []fleet.Change{{Endpoint: changed}})
		Expect(ready()).To(HaveExactElements("b@1"))
		s = s.Replace(3, []fleet.Endpoint{endpoint("a", "1"), endpoint("b", "1")})
		Expect(ready()).To(HaveExactElements("b@1"))
		s = s.With(4, []fleet.Change{{Endpoint: endpoint("a", "1"), Gone: true}})
		s = s.With(5, []fleet.Change{{Endpoint: endpoint("a", "1")}})
		Expect(ready()).To(HaveExactElements("b@1"), "the entry expired and was registered again")
	})

	It("are not those that start again under the same name", func() {
		s = s.With(2, []fleet.Change{{Endpoint: endpoint("a", "2")}})
		Expect(ready()).To(HaveExactElements("a@2", "b@1"))
	})

	It("get no new work, in whatever order entries and responses arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := fleet.New(1, nil)
			said := fleet.Departures{}
			at := revision.Revision(1)
			t.Repeat(map[string]func(*rapid.T){
				"an entry is written": func(t *rapid.T) {
					at++
					e := endpoint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "born"))
					e.Leaving, e.Slots = rapid.Bool().Draw(t, "leaving"), rapid.IntRange(1, 3).Draw(t, "slots")
					all = all.With(at, []fleet.Change{{Endpoint: e, Gone: rapid.Bool().Draw(t, "gone")}})
				},
				"all entries are read": func(t *rapid.T) {
					at++
					all = all.Replace(at, []fleet.Endpoint{endpoint("a", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "born")), endpoint("b", "1")})
				},
				"an endpoint says that it leaves": func(t *rapid.T) {
					said = maps.Clone(said)
					said[endpoint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "born")).ID] = true
					all = all.WithDepartures(said)
				},
				"": func(t *rapid.T) {
					for _, e := range all.Ready("s") {
						if said[e.ID] || e.Leaving {
							t.Fatalf("%s gets work", e.ID)
						}
					}
					for id := range said {
						if known, ok := all.Endpoint(id); ok && !known.Leaving || all.MayGetWork(id) {
							t.Fatalf("%s is not reported as leaving", id)
						}
					}
				},
			})
		})
	})

	It("are reported to other instances until the source lists them as leaving", func() {
		Expect(s.Undeclared()).To(HaveExactElements("a@1"))
		leaving := endpoint("a", "1")
		leaving.Leaving = true
		Expect(s.With(2, []fleet.Change{{Endpoint: leaving}}).Undeclared()).To(BeEmpty())
		Expect(s.With(2, []fleet.Change{{Endpoint: leaving, Gone: true}}).Undeclared()).To(BeEmpty())
	})
})
