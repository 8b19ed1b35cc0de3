package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

var _ = Describe("every request that was read", func() {
	// ask sends a request to a face that has it run by a function.
	ask := func(run func(gateway.Responder)) (*http.Response, error) {
		f := New(Options{
			Run:     func(_ context.Context, _ *gateway.Request, responder gateway.Responder) { run(responder) },
			Dialect: plain{},
			Limits:  func() (route.Limits, bool) { return route.Limits{IdleTimeout: 15 * time.Second}, true },
			Clock:   clockwork.NewRealClock(),
			Log:     logging.Discard().For("ingress"),
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = f.Serve(l) }()
		DeferCleanup(f.Close)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		return client.Get("http://" + l.Addr().String() + "/x")
	}

	It("is answered, though nobody answered it", func() {
		response, err := ask(func(gateway.Responder) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	})

	It("is answered, though its run panicked", func() {
		response, err := ask(func(gateway.Responder) { panic("a fault of ours") })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	})

	It("is broken off, not ended as if it were whole, if its run panicked within the answer", func() {
		response, err := ask(func(r gateway.Responder) {
			Expect(r.StartStream(http.StatusOK, http.Header{})).To(Succeed())
			Expect(r.WriteEvents([]byte("data: 1\n\n"))).To(Succeed())
			panic("a fault of ours")
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})

	It("is told to leave its connection sooner than that is closed", func() {
		response, err := ask(func(r gateway.Responder) { r.Respond(http.StatusOK, http.Header{}, nil) })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Keep-Alive")).To(Equal("timeout=10"))
	})
})
