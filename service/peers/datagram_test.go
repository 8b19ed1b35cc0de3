package peers

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

var secret = []byte("peers-token")

// typicalDatagram is a heartbeat of typicalDatagram size.
func typicalDatagram() datagram {
	b := datagram{
		heartbeat: membership.Heartbeat{
			From:     membership.Instance{Name: "sala-a-17", Incarnation: 1796204992778373772, FailureDomain: "sala-a", PeerAddress: "10.12.13.14:7403", Machine: membership.Machine{Cores: 0.75, LinkMbps: 200}},
			Sequence: 123456,
			Division: ownership.Division{Parts: 4, Term: 2},
			Revision: 3_504_000,

			ConfigVersion: 97,
		},
		leaving: []control.LeavingEndpoint{{Name: "bulletin-engine-0123", Incarnation: 17}},
		demands: []ratelimit.Demand{{Organisation: 7, PerSecond: 2.5}},
		stamp:   timeline.Stamp{WallMs: 1796204992778, Logical: 3},
	}
	b.heartbeat.Claims = []ownership.Claim{{Part: ownership.Part{Number: 1, Of: 4}, Term: 7, Owner: b.heartbeat.From.Owner()}}
	for i := range 1 {
		b.heartbeat.Known = append(b.heartbeat.Known, membership.Instance{Name: fmt.Sprintf("sala-a-%d", i), FailureDomain: "sala-a", PeerAddress: fmt.Sprintf("10.12.13.%d:7403", i)})
	}
	return b
}

func TestDatagramKeepsWhatItCarries(t *testing.T) {
	g := NewWithT(t)
	data, err := encode(typicalDatagram(), secret)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(typicalDatagram()))
}

func TestDatagramKeepsClaimsOfOthers(t *testing.T) {
	g := NewWithT(t)
	b := typicalDatagram()
	b.heartbeat.Claims = append(b.heartbeat.Claims, ownership.Claim{
		Part: ownership.Part{Number: 2, Of: 4}, Term: 9, Owner: ownership.Owner{Name: "sala-b-3", Incarnation: 5, PeerAddress: "10.12.14.3:7403"},
	})
	data, err := encode(b, secret)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decode(data, secret)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(b))
}

func TestDatagramOfAnotherSecretIsRefused(t *testing.T) {
	g := NewWithT(t)
	data, err := encode(typicalDatagram(), []byte("another secret"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decode(data, secret)
	g.Expect(err).To(MatchError(ContainSubstring("not signed")))
}

func TestLeavingEndpointsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	var many []control.LeavingEndpoint
	for i := range 200 {
		many = append(many, control.LeavingEndpoint{Name: fmt.Sprint(i)})
	}
	named := map[string]bool{}
	for sequence := range uint64(200) {
		for _, e := range rotate(many, sequence) {
			named[e.Name] = true
		}
	}
	g.Expect(named).To(HaveLen(200))
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(typicalDatagram(), secret)
	f.Add(data)
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, data []byte) {
		// Decoding any signed body must not panic.
		body := data[min(signatureSize, len(data)):]
		b, err := decode(sign(heartbeatLabel, body, secret), secret)
		if err != nil {
			return
		}
		if _, err := encode(b, secret); err != nil {
			t.Skip("names that are not UTF-8 cannot be encoded")
		}
	})
}

// BenchmarkHeartbeatSize measures the size of a heartbeat in protobuf and in JSON.
func BenchmarkHeartbeatSize(b *testing.B) {
	var size int
	for b.Loop() {
		data, _ := encode(typicalDatagram(), secret)
		size = len(data)
	}
	t := typicalDatagram()
	text, _ := json.Marshal([]any{t.heartbeat, t.leaving, t.stamp})
	b.ReportMetric(float64(size), "bytes/heartbeat")
	b.ReportMetric(float64(len(text)), "json-bytes/heartbeat")
}
