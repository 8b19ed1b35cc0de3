package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// BenchmarkConductorTally sums the reports of 1,000 instances with four routes each.
func BenchmarkConductorTally(b *testing.B) {
	now := time.Now()
	c := rollout.NewConductor(fleet.Rollout{Service: "s", Version: "v2", OverMs: 60_000, Revision: 1}, 0.1, now)
	for n := range 1_000 {
		tally := rollout.NewTally()
		for route := range 4 {
			sample := rollout.Sample{Route: fmt.Sprint("route-", route), Duration: 20 * time.Millisecond}
			tally.Add(sample, true)
			tally.Add(sample, false)
		}
		c.AddReport(now, rollout.Report{Instance: fmt.Sprint("i-", n), Tally: tally})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Tally()
	}
}
