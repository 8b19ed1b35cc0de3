package peers

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
)

// someOrigins returns records of streams that two software versions began.
func someOrigins(n int) []origin.Record {
	var records []origin.Record
	for i := range n {
		from := origin.Origin{Service: "cobalt-llm", Version: fmt.Sprint("v1.", i%2)}
		records = append(records, origin.Record{Key: 1<<63 + origin.Key(i), Origin: from, TTL: 30 * time.Second, Doubtful: i%3 == 0, Regional: i%5 == 0})
	}
	return records
}

var _ = Describe("a datagram of the origins of streams", func() {
	It("carries them unchanged", func() {
		data, err := encodeOrigins(someOrigins(maxOrigins), secret)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 1400))
		records, ok := decodeOrigins(data, secret)
		Expect(ok).To(BeTrue())
		Expect(records).To(ConsistOf(someOrigins(maxOrigins)))
	})

	It("is refused with another token, and not taken for a heartbeat", func() {
		data, err := encodeOrigins(someOrigins(2), secret)
		Expect(err).NotTo(HaveOccurred())
		_, ok := decodeOrigins(data, []byte("another token"))
		Expect(ok).To(BeFalse())
		_, err = decode(data, secret)
		Expect(err).To(HaveOccurred())
	})

	It("is no heartbeat", func() {
		data, err := encode(typicalDatagram(), secret)
		Expect(err).NotTo(HaveOccurred())
		_, ok := decodeOrigins(data, secret)
		Expect(ok).To(BeFalse())
	})
})

func FuzzDecodeOrigins(f *testing.F) {
	data, _ := encodeOrigins(someOrigins(3), secret)
	f.Add(data)
	f.Add([]byte("short"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Decoding any signed body must not panic.
		body := data[min(signatureSize, len(data)):]
		_, _ = decodeOrigins(sign(originsLabel, body, secret), secret)
	})
}

// BenchmarkOriginsSize measures the size of a datagram of one record and of a full one.
func BenchmarkOriginsSize(b *testing.B) {
	for _, n := range []int{1, maxOrigins} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, _ := encodeOrigins(someOrigins(n), secret)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
