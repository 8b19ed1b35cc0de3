package httpconn_test

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

var _ = Describe("a probe of an endpoint", func() {
	var address string

	BeforeEach(func() {
		s := serve(func(int, *http.Request) (string, bool) { return "", false })
		address = s.Addr().String()
	})

	probe := func(ctx context.Context, gate httpconn.Gate) httpconn.ProbeResult {
		pool := httpconn.NewPool(clockwork.NewRealClock(), metrics.NewSet(), httpconn.Gates{Connect: gate, Permit: httpconn.AllowAll, Send: httpconn.AllowAll}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
		return pool.Probe(ctx, httpconn.Target{ID: "endpoint", Address: address})
	}

	It("reports an endpoint as alive if it accepts a connection, even if its responses are incomplete", func(ctx SpecContext) {
		Expect(probe(ctx, httpconn.AllowAll)).To(Equal(httpconn.Alive))
	})

	It("reports a refused connection if no process listens on the address", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(probe(ctx, httpconn.AllowAll)).To(Equal(httpconn.NotListening))
	})

	It("reports no state if there is no response in time", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(probe(ctx, httpconn.AllowAll)).To(Equal(httpconn.NoResponse))
	})

	It("reports no state if the gate blocks it", func(ctx SpecContext) {
		blocked := func(httpconn.Target) error { return errors.New("blocked") }
		Expect(probe(ctx, blocked)).To(Equal(httpconn.NoResponse))
	})
})
