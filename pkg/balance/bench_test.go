package balance_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{100, 1_000, 6_500} {
		var all []fleet.Endpoint
		for i := range n {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("zone-", i%6), Slots: 16})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			chooser := balance.New(clock, noBackoffs(clock))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				spec := balance.CallSpec{Engine: true, Domain: "zone-1", Parts: []balance.Part{{ID: "system", Tokens: 500}, {ID: fmt.Sprint("s", i%300), Tokens: 5000}, {ID: fmt.Sprint(i), Tokens: 1000}}}
				chooser.Estimate(all, spec)
				chooser.Options(all, spec, 6)
				chooser.Pick(all, spec).End(balance.Succeeded, nil)
			}
		})
	}
}
