package fleet_test

import (
	"fmt"
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// services are the services of a large fleet with their share of the endpoints, in percent.
var services = []struct {
	name string
	part int
}{{"model", 66}, {"short", 2}, {"first", 11}, {"second", 10}, {"third", 11}}

func manyEndpoints(n int) []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, s := range services {
		for i := range n * s.part / 100 {
			all = append(all, fleet.Endpoint{
				ID: fmt.Sprintf("i-%s-%d@1796204992778", s.name, i), Entry: fmt.Sprintf("i-%s-%d", s.name, i), Service: s.name,
				Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), FailureDomain: fmt.Sprint("zone-", i%6), Version: "v1", Slots: 16,
			})
		}
	}
	return all
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fleet.New(1, manyEndpoints(n)).WithRollouts(fleet.Rollouts{Revision: 1})
			e := manyEndpoints(n)[n/2]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Slots = i % 16
				s = s.With(revision.Revision(i+2), []fleet.Change{{Endpoint: e}})
			}
		})
	}
}
