package batch_test

import (
	"fmt"
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// BenchmarkPartsByRegion measures partitioning 1,000 endpoints by region.
func BenchmarkPartsByRegion(b *testing.B) {
	of := map[string]string{}
	for zone := range 9 {
		of[fmt.Sprint("zone-", zone)] = fmt.Sprint("region-", zone%3)
	}
	regions := ownership.NewRegions(of)
	var all []fleet.Endpoint
	for n := range 1_000 {
		all = append(all, fleet.Endpoint{ID: fmt.Sprint("i-", n), FailureDomain: fmt.Sprint("zone-", n%9)})
	}
	for _, parts := range []int{12, 96} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				batch.PartIDsIn(batch.Queue{Service: "s", Part: 1, Parts: parts}, all, regions)
			}
		})
	}
}
