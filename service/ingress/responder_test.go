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

var _ = Describe("a request that has been read", func() {
	// get sends a request to a server whose handler is run.
	get := func(run func(gateway.Responder)) (*http.Response, error) {
		server := New(Options{
			Run:     func(_ context.Context, _ *gateway.Request, responder gateway.Responder) { run(responder) },
			Dialect: plain{},
			Limits:  func() (route.Limits, bool) { return route.Limits{IdleTimeout: 15 * time.Second}, true },
			Clock:   clockwork.NewRealClock(),
			Log:     logging.Discard().For("ingress"),
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		return client.Get("http://" + l.Addr().String() + "/x")
	}

	It("gets an internal error if the handler does not respond", func() {
		response, err := get(func(gateway.Responder) {})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	})

	It("gets an internal error if the handler panics", func() {
		response, err := get(func(gateway.Responder) { panic("handler failure") })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	})

	It("has its connection aborted if the handler panics after the response has started", func() {
		response, err := get(func(r gateway.Responder) {
			Expect(r.StartStream(http.StatusOK, http.Header{})).To(Succeed())
			Expect(r.WriteEvents([]byte("data: 1\n\n"))).To(Succeed())
			panic("handler failure")
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})

	It("gets a Keep-Alive timeout that is shorter than the idle timeout", func() {
		response, err := get(func(r gateway.Responder) { r.Respond(http.StatusOK, http.Header{}, nil) })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Keep-Alive")).To(Equal("timeout=10"))
	})
})
