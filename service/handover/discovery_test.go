package handover

import (
	"context"
	"encoding/json"
	"net"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// recordedAnswers answers each method with the JSON text of an earlier version.
type recordedAnswers map[string]string

func (r recordedAnswers) Answer(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return json.RawMessage(r[method]), nil
}

var _ = Describe("state received from instances of earlier builds", func() {
	It("has endpoint names derived from IDs that include an incarnation", func() {
		usage := peers.NewUsage(metrics.NewSet())
		server := peers.NewServer(recordedAnswers{
			api.MethodState:  `{"state":{"revision":9,"endpoints":[{"id":"a@17","service":"s","address":"10.0.0.1:1","failure_domain":"d","slots":8,"leaving":false}]},"age_ns":1000000,"mark":{"revision":4,"at":9,"age_ns":1,"newest":4}}`,
			api.MethodFollow: `{"changes":{"revision":12,"endpoints":[{"endpoint":{"id":"a@18","service":"s","address":"10.0.0.1:1","failure_domain":"d","slots":8,"leaving":true}},{"endpoint":{"id":"b","service":"","address":"","failure_domain":"","slots":0,"leaving":false},"gone":true}]},"age_ns":1000000,"mark":{"revision":4,"at":12,"age_ns":1,"newest":4}}`,
		}, testToken, usage, logging.Discard().For("peers"))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go server.Serve(listener)
		DeferCleanup(server.Close)
		k := &DiscoveryPeers{Client: peers.NewClient("newer", testToken, usage), Live: func() []membership.Member { return nil }, Configured: []string{listener.Addr().String()}}

		known, err := k.State(context.Background(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(known.State.Endpoints).To(HaveLen(1))
		Expect(known.State.Endpoints[0]).To(SatisfyAll(HaveField("ID", "a@17"), HaveField("Name()", "a"), HaveField("Slots", 8), HaveField("Address", "10.0.0.1:1")))

		relayed, err := k.Relay(context.Background(), listener.Addr().String(), discovery.RelayRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(relayed.Changes.Endpoints).To(HaveLen(2))
		Expect(relayed.Changes.Endpoints[0].Endpoint).To(SatisfyAll(HaveField("ID", "a@18"), HaveField("Name()", "a"), HaveField("Leaving", true)))
		Expect(relayed.Changes.Endpoints[1]).To(SatisfyAll(HaveField("Endpoint.ID", "b"), HaveField("Endpoint.Name()", "b"), HaveField("Gone", true)))
	})
})

// Guards against an instance that counts its own answer as that of a peer when it starts.
var _ = Describe("contacts", func() {
	It("are the configured peers without the instance itself", func() {
		configured := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		k := &DiscoveryPeers{Self: membership.Instance{PeerAddress: "10.0.0.2:1"}, Live: func() []membership.Member { return nil }, Configured: configured}
		Expect(k.Contacts()).To(Equal([]string{"10.0.0.1:1", "10.0.0.3:1"}))
		Expect(configured).To(Equal([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}))
	})
})
