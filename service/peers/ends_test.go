package peers

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// someEnds returns n ends of endpoints, each for another request.
func someEnds(n int) []quarantine.Crash {
	var ends []quarantine.Crash
	for i := range n {
		ends = append(ends, quarantine.Crash{
			Digest:      quarantine.Sum("organisation", "", fmt.Sprint(i), nil),
			Incarnation: fmt.Sprintf("bulletin-engine-%04d@1796204992778", i),
			Age:         1500 * time.Millisecond,
			Cleared:     i%2 == 0,
		})
	}
	return ends
}

func TestDatagramKeepsEndsOfEndpoints(t *testing.T) {
	g := NewWithT(t)
	b := typicalDatagram()
	b.heartbeat.Ends = someEnds(32)
	data, err := encode(b, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", maxDatagram))
	got, err := decode(data, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(b))
}

// An earlier build takes each of ends for that of a whole request.
func TestDatagramTellsEndsUnderPartsOfPromptsApart(t *testing.T) {
	g := NewWithT(t)
	b := typicalDatagram()
	b.heartbeat.Ends = someEnds(3)
	b.heartbeat.Ends[2].Kind = quarantine.PromptPart
	data, err := encode(b, secret)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(b))
	body, _ := verify(heartbeatLabel, data, secret)
	var wire pb.Heartbeat
	g.Expect(proto.Unmarshal(body, &wire)).To(Succeed())
	g.Expect(wire.GetEnds()).To(HaveLen(2))
	g.Expect(wire.GetPartEnds()).To(HaveLen(1))
}

// An end without a request digest or an endpoint must not count towards a quarantine.
func TestEndsThatNameNothingAreDropped(t *testing.T) {
	digest := quarantine.Sum("organisation", "", "/", nil)
	for name, wire := range map[string]*pb.EndpointEnd{
		"no digest":       {Life: "e"},
		"a short digest":  {Life: "e", Digest: digest[:8]},
		"a longer digest": {Life: "e", Digest: append(digest[:], 0)},
		"no endpoint":     {Digest: digest[:]},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := decodeEnd(wire)
			NewWithT(t).Expect(ok).To(BeFalse())
		})
	}
	far, ok := decodeEnd(&pb.EndpointEnd{Life: "e", Digest: digest[:], AgeMs: math.MaxUint64})
	g := NewWithT(t)
	g.Expect(ok).To(BeTrue())
	g.Expect(far.Age).To(BeNumerically(">", 24*time.Hour))
}

// measureSize reports the bytes that each of n items adds to a heartbeat.
func measureSize(b *testing.B, n int, unit string, add func(*datagram)) {
	var size int
	for b.Loop() {
		beat := typicalDatagram()
		before, _ := encode(beat, secret)
		add(&beat)
		after, _ := encode(beat, secret)
		size = (len(after) - len(before)) / n
	}
	b.ReportMetric(float64(size), "bytes/"+unit)
}

// BenchmarkDepartingSize measures the bytes that a leaving endpoint adds to a heartbeat.
func BenchmarkDepartingSize(b *testing.B) {
	const n = 8
	measureSize(b, n, "life", func(beat *datagram) {
		for i := range n {
			beat.leaving = append(beat.leaving, control.LeavingEndpoint{Name: fmt.Sprintf("i-0123456%03x@1796270000%03d", i, i)})
		}
	})
}

// BenchmarkEndSize measures the bytes that an end adds to a heartbeat.
func BenchmarkEndSize(b *testing.B) {
	const n = 32
	measureSize(b, n, "end", func(beat *datagram) { beat.heartbeat.Ends = someEnds(n) })
}
