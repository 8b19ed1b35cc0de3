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

	probe := func(ctx context.Context, gate httpconn.Gate) httpconn.Sign {
		pool := httpconn.NewPool(clockwork.NewRealClock(), metrics.NewSet(), httpconn.Gates{Connect: gate, Spend: httpconn.Open, Send: httpconn.Open}, httpconn.Deaf)
		DeferCleanup(pool.Close)
		return pool.Probe(ctx, httpconn.Target{ID: "endpoint", Address: address})
	}

	It("says that it lives if it takes a connection, even though its answers break off", func(ctx SpecContext) {
		Expect(probe(ctx, httpconn.Open)).To(Equal(httpconn.Lives))
	})

	It("says that it has ended only if nobody listens there", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(probe(ctx, httpconn.Open)).To(Equal(httpconn.Ended))
	})

	It("says nothing if there was no answer in time", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(probe(ctx, httpconn.Open)).To(Equal(httpconn.Silent))
	})

	It("says nothing if it must not be made", func(ctx SpecContext) {
		barred := func(httpconn.Target) error { return errors.New("barred") }
		Expect(probe(ctx, barred)).To(Equal(httpconn.Silent))
	})
})
