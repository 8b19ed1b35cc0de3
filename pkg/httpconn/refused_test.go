package httpconn_test

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

var _ = Describe("a call to an endpoint that refuses the connection", func() {
	It("fails with an error that tells so", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		pool := httpconn.NewPool(clockwork.NewRealClock(), metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Send: httpconn.AllowAll, Permit: httpconn.AllowAll}, httpconn.IgnoreResponses)
		_, err = pool.Do(context.Background(), httpconn.Call{Target: httpconn.Target{ID: "gone", Address: listener.Addr().String()}, Method: "GET", URI: "/", Host: "service.example"})
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
	})
})
