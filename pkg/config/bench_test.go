package config_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
)

// The size of a large configuration and its history.
const (
	largeOrganisations = 15_000
	largeChanges       = 20_000
)

// newLargeConfiguration returns a configuration of the given size, and a replica that holds it.
func newLargeConfiguration(organisations, changes int) (*config.Configuration, *config.Replica) {
	first := config.Change{ID: "first", Revision: 1}
	for i := range organisations {
		first.Operations = append(first.Operations, putOrganisation(fmt.Sprintf("organisation-%05d", i), 1))
	}
	c, err := config.Empty().Apply(first)
	if err != nil {
		panic(err)
	}
	replica := config.NewReplica()
	replica.Advance(c, []config.Change{first})
	for i := range changes {
		change := config.NewChange(fmt.Sprintf("00000000-0000-4000-8000-%012d", i), "automation", time.UnixMilli(1796204992778), putOrganisation(fmt.Sprintf("organisation-%05d", i%organisations), 2))
		change.Revision = c.Revision() + 1
		if c, err = c.Apply(change); err != nil {
			panic(err)
		}
		replica.Advance(c, []config.Change{change})
	}
	return c, replica
}

// BenchmarkApply measures applying an accepted change.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1500, largeOrganisations} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			c, _ := newLargeConfiguration(n, 10)
			change := config.Change{ID: "c", Revision: c.Revision() + 1, Operations: []config.Operation{putOrganisation("organisation-00001", 3)}}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = c.Apply(change)
			}
		})
	}
}

// BenchmarkCheck measures validating a change.
func BenchmarkCheck(b *testing.B) {
	c, _ := newLargeConfiguration(largeOrganisations, 10)
	change := config.Change{ID: "c", Revision: c.Revision() + 1, Operations: []config.Operation{putOrganisation("organisation-00001", 3)}}
	for b.Loop() {
		_, _ = c.Check(change)
	}
}

// BenchmarkPull measures creating updates for peers that lag by one change and by all.
func BenchmarkPull(b *testing.B) {
	_, replica := newLargeConfiguration(largeOrganisations, 600)
	revision := replica.Current().Revision()
	for name, from := range map[string]uint64{"one": revision - 1, "all": 0} {
		b.Run("lag="+name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				u, _ := replica.Since(from)
				size = len(u.Snapshot)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkMemory reports the heap size of a large configuration.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		c, replica := newLargeConfiguration(largeOrganisations, largeChanges)
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
		runtime.KeepAlive(c)
		runtime.KeepAlive(replica)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
