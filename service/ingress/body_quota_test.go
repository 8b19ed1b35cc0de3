package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

var _ = Describe("the memory quota for request bodies", func() {
	const limit, body = 100_000, 40_000
	var (
		quota   *memquota.Quota
		l       net.Listener
		running chan chan struct{}
	)

	BeforeEach(func() {
		quota = memquota.NewQuota(limit)
		running = make(chan chan struct{}, 8)
		server := New(Options{
			Run: func(ctx context.Context, _ *gateway.Request, responder gateway.Responder) {
				end := make(chan struct{})
				running <- end
				select {
				case <-end:
				case <-ctx.Done():
				}
				responder.Respond(http.StatusOK, http.Header{}, []byte("ran"))
			},
			Dialect: plain{},
			Limits:  func() (route.Limits, bool) { return route.Limits{}, true },
			Held:    quota,
			Clock:   clockwork.NewRealClock(),
			Log:     logging.Discard().For("ingress"),
		})
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
	})

	// send sends a request and returns its connection.
	send := func(head, rest string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", head, rest)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	response := func(c net.Conn) *http.Response {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	length := fmt.Sprint("Content-Length: ", body)

	It("covers received and declared bytes, and rejects further requests before they run", func() {
		send(length, strings.Repeat("x", body))
		var end chan struct{}
		Eventually(running).Should(Receive(&end))
		slow := send(length, "a partial body")
		Eventually(quota.Used).Should(Equal(int64(2 * body)))

		refused := response(send(length, strings.Repeat("x", body)))
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		chunks := strings.Repeat("4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 4) + "0\r\n\r\n"
		Expect(response(send("Transfer-Encoding: chunked", chunks)).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(running).NotTo(Receive())

		close(end)
		Expect(slow.Close()).To(Succeed())
		Eventually(quota.Used).Should(BeZero())
		next := send(length, strings.Repeat("x", body))
		Eventually(running).Should(Receive(&end))
		close(end)
		Expect(response(next).StatusCode).To(Equal(http.StatusOK))
		Eventually(quota.Used).Should(BeZero())
	})
})
