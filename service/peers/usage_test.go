package peers_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// echo answers with the parameters.
type echo struct{}

func (echo) Answer(_ context.Context, _ string, params json.RawMessage) (any, error) {
	return params, nil
}

var _ = Describe("the usage of peer connections", func() {
	It("is counted by method, for questions at the server and for answers at the client", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		set := metrics.NewSet()
		asked, answered := peers.NewUsage(set), peers.NewUsage(metrics.NewSet())
		server := peers.NewServer(echo{}, "token", asked, logging.Discard().For("peers"))
		go server.Serve(listener)
		client := peers.NewClient("a", "token", answered)
		DeferCleanup(func() {
			client.Close()
			server.Close()
			_ = listener.Close()
		})
		for range 3 {
			var got string
			Expect(client.Call(context.Background(), listener.Addr().String(), "some.method", "12345678", &got)).To(Succeed())
			Expect(got).To(Equal("12345678"))
		}
		type row struct {
			method       string
			direction    peers.Direction
			bytes, calls int64
		}
		rows := func(u *peers.Usage) (list []row) {
			u.Each(func(method string, direction peers.Direction, bytes, calls int64) {
				list = append(list, row{method, direction, bytes, calls})
			})
			return list
		}
		Expect(rows(asked)).To(ConsistOf(row{"some.method", peers.Requests, 30, 3}))
		Expect(rows(answered)).To(ConsistOf(row{"some.method", peers.Responses, 30, 3}))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`cobaltcroft_peer_bytes_total{method="some.method",direction="questions"} 30`))
	})
})
