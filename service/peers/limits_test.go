package peers

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// someLimits returns the limits of n endpoints, every second one lifted.
func someLimits(n int) []throttle.Limit {
	var limits []throttle.Limit
	for i := range n {
		limits = append(limits, throttle.Limit{EndpointID: fmt.Sprintf("i-0123456%03x@1796270000%03d", i, i), Limited: i%2 == 0, PerSecond: float64(i) / 4, Age: 1500 * time.Millisecond})
	}
	return limits
}

func TestDatagramKeepsLimitsOfEndpoints(t *testing.T) {
	g := NewWithT(t)
	b := typicalDatagram()
	b.heartbeat.Limits = someLimits(8)
	data, err := encode(b, secret)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(b))
}

func TestLimitsThatAreNoneAreDropped(t *testing.T) {
	for name, wire := range map[string]*pb.EndpointLimit{
		"no endpoint":  {Limited: true, PerSecond: 1},
		"below zero":   {Life: "e", Limited: true, PerSecond: -1},
		"no number":    {Life: "e", Limited: true, PerSecond: float32(math.NaN())},
		"without end":  {Life: "e", Limited: true, PerSecond: float32(math.Inf(1))},
		"below it all": {Life: "e", Limited: true, PerSecond: float32(math.Inf(-1))},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := decodeLimit(wire)
			NewWithT(t).Expect(ok).To(BeFalse())
		})
	}
}

// BenchmarkLimitSize measures the bytes that a limit adds to a heartbeat.
func BenchmarkLimitSize(b *testing.B) {
	const n = 8
	measureSize(b, n, "limit", func(beat *datagram) { beat.heartbeat.Limits = someLimits(n) })
}
