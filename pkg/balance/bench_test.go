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
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkChoice(b, all, balance.Fetch{}) })
		b.Run(fmt.Sprint(n, " fetching"), func(b *testing.B) {
			benchmarkChoice(b, all, balance.Fetch{TokenBytes: 1000, LinkMbps: 40_000})
		})
	}
}

// benchmarkChoice measures choices among endpoints that all have the first part of the prompts.
func benchmarkChoice(b *testing.B, all []fleet.Endpoint, fetch balance.Fetch) {
	clock := clockwork.NewFakeClock()
	chooser := balance.New(clock, noBackoffs(clock))
	first := balance.Part{ID: "system", Tokens: 500}
	for i := range all {
		c := chooser.Pick(all[i:i+1], balance.CallSpec{Engine: true, Parts: []balance.Part{first}})
		c.ResponseStarted()
		c.End(balance.Succeeded, nil)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		spec := balance.CallSpec{Engine: true, Domain: "zone-1", Parts: []balance.Part{first, {ID: fmt.Sprint("s", i%300), Tokens: 5000}, {ID: fmt.Sprint(i), Tokens: 1000}}, Fetch: fetch}
		chooser.Estimate(all, spec)
		chooser.Options(all, spec, 6)
		chooser.Pick(all, spec).End(balance.Succeeded, nil)
	}
}
