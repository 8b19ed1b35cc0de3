package handover

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// manyEndpoints returns endpoints with random names and addresses, which compress like those of a
// deployment.
func manyEndpoints(n int) []fleet.Endpoint {
	random := rand.New(rand.NewPCG(1, 2))
	var list []fleet.Endpoint
	for range n {
		list = append(list, fleet.Endpoint{
			ID:            fmt.Sprintf("i-%010x", random.Uint64N(1<<40)),
			Service:       fmt.Sprintf("service-%d", random.IntN(5)),
			Address:       fmt.Sprintf("10.1.%d.%d:%d", random.IntN(256), random.IntN(256), 8000+random.IntN(1000)),
			FailureDomain: fmt.Sprintf("domain-%d", random.IntN(4)),
			Slots:         64,
		})
	}
	return list
}

func changesOf(endpoints []fleet.Endpoint) []fleet.Change {
	var changes []fleet.Change
	for _, e := range endpoints {
		changes = append(changes, fleet.Change{Endpoint: e})
	}
	return changes
}

// overWire returns an answer after a JSON round trip.
func overWire[T any](answer T) T {
	GinkgoHelper()
	data, err := json.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	var read T
	Expect(json.Unmarshal(data, &read)).To(Succeed())
	return read
}

var _ = Describe("compressed endpoints", func() {
	var p *endpointPacker

	BeforeEach(func() { p = &endpointPacker{} })

	many := manyEndpoints(200)
	known := discovery.PeerState{State: discovery.State{Revision: 9, Endpoints: many}, Status: discovery.DocumentStatus{Revision: 4}}
	relayed := discovery.RelayResponse{Changes: discovery.Changes{Revision: 9, Endpoints: changesOf(many)}, Status: discovery.DocumentStatus{Revision: 4}}

	It("restore all endpoints of a peer", func() {
		read := overWire(p.state(known, true))
		Expect(read.State.Endpoints).To(BeEmpty())
		Expect(unpack(read.PackedEndpoints, &read.State.Endpoints)).To(Succeed())
		Expect(read.PeerState).To(Equal(known))
	})

	It("restore the changes of a relay", func() {
		read := overWire(p.changes(5, relayed, true))
		Expect(read.Changes.Endpoints).To(BeEmpty())
		Expect(unpack(read.PackedChanges, &read.Changes.Endpoints)).To(Succeed())
		Expect(read.RelayResponse).To(Equal(relayed))
	})

	It("are compressed once for identical requests, and separately for different ones", func() {
		first := p.changes(5, relayed, true).PackedChanges
		Expect(&p.changes(5, relayed, true).PackedChanges[0]).To(BeIdenticalTo(&first[0]))
		Expect(&p.changes(4, relayed, true).PackedChanges[0]).NotTo(BeIdenticalTo(&first[0]))
		later := relayed
		later.Changes.Revision = 10
		Expect(&p.changes(5, later, true).PackedChanges[0]).NotTo(BeIdenticalTo(&first[0]))
	})

	It("are cached in a bounded number", func() {
		for since := range revision.Revision(3 * maxCachedAnswers) {
			p.changes(since, relayed, true)
		}
		Expect(p.cache).To(HaveLen(maxCachedAnswers))
	})

	It("are not used for versions without support, or for few endpoints", func() {
		Expect(p.state(known, false)).To(Equal(api.StateResponse{PeerState: known}))
		Expect(p.changes(5, relayed, false)).To(Equal(api.RelayResponse{RelayResponse: relayed}))
		few := discovery.RelayResponse{Changes: discovery.Changes{Revision: 9, Endpoints: changesOf(many[:minPackedEndpoints-1])}}
		Expect(p.changes(5, few, true)).To(Equal(api.RelayResponse{RelayResponse: few}))
	})

	It("are rejected if damaged", func() {
		packed := p.state(known, true).PackedEndpoints
		var read []fleet.Endpoint
		Expect(problem.KindOf(unpack(packed[:len(packed)/2], &read))).To(Equal(problem.Invalid))
		Expect(problem.KindOf(unpack([]byte("plain"), &read))).To(Equal(problem.Invalid))
	})
})

// BenchmarkPacking measures the bytes per endpoint in a relay's answer, and the compression time.
func BenchmarkPacking(b *testing.B) {
	const endpoints = 3000
	changes := changesOf(manyEndpoints(endpoints))
	plain, err := json.Marshal(changes)
	if err != nil {
		b.Fatal(err)
	}
	var packed []byte
	for b.Loop() {
		p := &endpointPacker{}
		if packed, err = p.pack(packedKey{revision: 1}, changes); err != nil {
			b.Fatal(err)
		}
	}
	wire, err := json.Marshal(packed)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(plain))/endpoints, "plain-B/endpoint")
	b.ReportMetric(float64(len(wire))/endpoints, "packed-B/endpoint")
}
