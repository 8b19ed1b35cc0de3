package origin_test

import (
	"fmt"
	"testing"

	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
)

// BenchmarkBegin measures the time to record a stream and to choose its keepers.
func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{7, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(n)
			for key := origin.Key(0); b.Loop(); key++ {
				c.instances[0].Begin(origin.Stream{Key: key, Endpoint: c.endpoints[0], TTL: lifetime, Local: true})
				if key%64 == 0 {
					c.instances[0].Flush()
				}
			}
		})
	}
}
