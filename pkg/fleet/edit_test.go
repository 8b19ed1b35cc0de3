package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("a snapshot of which a few endpoints change", func() {
	It("equals one built from all entries at once, in whatever order changes arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := fleet.New(1, nil)
			entries := map[string]fleet.Endpoint{}
			departed := fleet.Departures{}
			var evacuated fleet.Evacuations
			at := revision.Revision(1)
			domain := rapid.SampledFrom([]string{"x", "y"})
			entry := func(t *rapid.T) fleet.Endpoint {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
				return fleet.Endpoint{
					ID: name + "@" + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "life"), Entry: name,
					Service:       rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
					FailureDomain: domain.Draw(t, "domain"),
					Version:       rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
					Leaving:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"entries": func(t *rapid.T) {
					at++
					var changes []fleet.Change
					for range rapid.IntRange(1, 4).Draw(t, "n") {
						c := fleet.Change{Endpoint: entry(t), Gone: rapid.IntRange(0, 3).Draw(t, "gone") == 0}
						changes = append(changes, c)
						entries[c.Endpoint.Name()] = c.Endpoint
						if c.Gone {
							delete(entries, c.Endpoint.Name())
						}
					}
					s = s.With(at, changes)
				},
				"an evacuation": func(t *rapid.T) {
					at++
					evacuated = evacuated.With(at, []fleet.Evacuation{{Domain: domain.Draw(t, "domain"), Ended: rapid.Bool().Draw(t, "ended")}})
					s = s.WithEvacuations(evacuated)
				},
				"a departure": func(t *rapid.T) {
					departed = maps.Clone(departed)
					departed[entry(t).ID] = true
					s = s.WithDepartures(departed)
				},
				"an order": func(t *rapid.T) {
					at++
					order := fleet.RolloutOrder{Rollout: fleet.Rollout{Service: "s", Version: "v2", Revision: at}, Ended: rapid.Bool().Draw(t, "ended")}
					s = s.WithRollouts(s.Rollouts().With(at, []fleet.RolloutOrder{order}))
				},
				"a rollout state": func(t *rapid.T) {
					if order, found := s.Rollouts().ForService("s"); found {
						exposure := fleet.Exposure(rapid.IntRange(0, 3).Draw(t, "exposure"))
						s = s.WithRolloutStates(fleet.RolloutStates{order.Revision: {Exposure: exposure, Share: 0.5}})
					}
				},
				"": func(t *rapid.T) {
					whole := s.Replace(s.Revision, slices.Collect(maps.Values(entries)))
					if now, want := describe(s), describe(whole); now != want {
						t.Fatalf("edited: %s\nbuilt at once: %s", now, want)
					}
				},
			})
		})
	})

	It("reuses the lists of the services that have not changed", func() {
		s := fleet.New(1, []fleet.Endpoint{{ID: "a", Service: "s"}, {ID: "b", Service: "t"}})
		before := s.Ready("t")
		s = s.With(2, []fleet.Change{{Endpoint: fleet.Endpoint{ID: "c", Service: "s"}}})
		Expect(&s.Ready("t")[0]).To(BeIdenticalTo(&before[0]))
		Expect(s.Ready("s")).To(HaveLen(2))
	})

	It("does not allocate in proportion to the number of endpoints", func() {
		allocated := func(n int) float64 {
			s := fleet.New(1, manyEndpoints(n))
			e := manyEndpoints(n)[n*3/4]
			slots := 0
			return testing.AllocsPerRun(10, func() {
				slots++
				e.Slots = slots
				s = s.With(revision.Revision(slots+1), []fleet.Change{{Endpoint: e}})
			})
		}
		Expect(allocated(10_000)).To(BeNumerically("<", 4*allocated(1_000)))
	})
})

// describe formats everything that a snapshot reports about its endpoints.
func describe(s *fleet.Snapshot) string {
	var b strings.Builder
	for _, service := range []string{"s", "t"} {
		fmt.Fprintln(&b, service, s.Ready(service), s.Trial(service))
	}
	all := s.All()
	slices.SortFunc(all, func(a, b fleet.Endpoint) int { return strings.Compare(a.Name(), b.Name()) })
	for _, e := range all {
		known, found := s.Endpoint(e.ID)
		fmt.Fprintln(&b, e, known, found, s.MayGetWork(e.ID), s.Barred(e.ID), s.HasName(e.Name()))
	}
	undeclared := s.Undeclared()
	slices.Sort(undeclared)
	fmt.Fprintln(&b, undeclared, s.CountInDomain("x"))
	return b.String()
}
