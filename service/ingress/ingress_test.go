package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// plain accepts every request.
type plain struct{ gateway.Dialect }

func (plain) Describe(http.Header, *gateway.Request) error { return nil }

var _ = Describe("the client limits", func() {
	var (
		mu     sync.Mutex
		limits route.Limits
		clock  *clockwork.FakeClock
		server *Server
		l      net.Listener
	)

	allow := func(next route.Limits) {
		mu.Lock()
		defer mu.Unlock()
		limits = next
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		allow(route.Limits{HeaderBytes: 2000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		server = New(Options{
			Run: func(_ context.Context, _ *gateway.Request, responder gateway.Responder) {
				responder.Respond(http.StatusOK, http.Header{}, []byte("ran"))
			},
			Dialect: plain{},
			Limits: func() (route.Limits, bool) {
				mu.Lock()
				defer mu.Unlock()
				return limits, true
			},
			Clock: clock,
			Log:   logging.Discard().For("ingress"),
		})
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
	})

	connect := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}

	status := func(c net.Conn) int {
		GinkgoHelper()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}

	closed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return err != nil && !(ok && timeout.Timeout())
	}

	send := func(c net.Conn, bytes string) {
		GinkgoHelper()
		_, err := c.Write([]byte(bytes))
		Expect(err).NotTo(HaveOccurred())
	}

	count := func(conns map[net.Conn]time.Time) func() int {
		return func() int {
			server.mu.Lock()
			defer server.mu.Unlock()
			return len(conns)
		}
	}

	header := func(bytes int) string {
		return "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", bytes) + "\r\n\r\n"
	}

	It("follow the highest header size of all configurations", func() {
		c := connect()
		send(c, header(1900))
		Expect(status(c)).To(Equal(http.StatusOK))
		large := connect()
		send(large, header(2100))
		Expect(status(large)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		allow(route.Limits{HeaderBytes: 1000})
		send(c, header(1900))
		Expect(status(c)).To(Equal(http.StatusOK))
	})

	It("close connections that exceed the header timeout", func() {
		c := connect()
		send(c, "GET /x HTTP/1.1\r\n")
		Eventually(count(server.reading)).Should(Equal(1))
		clock.Advance(2 * time.Second)
		server.sweep()
		Expect(closed(c)).To(BeFalse())
		clock.Advance(1100 * time.Millisecond)
		server.sweep()
		Eventually(func() bool { return closed(c) }).Should(BeTrue())
	})

	It("close idle connections, also unused ones, after the idle timeout", func() {
		used, unused := connect(), connect()
		send(used, header(1))
		Expect(status(used)).To(Equal(http.StatusOK))
		Eventually(count(server.idle)).Should(Equal(2))
		clock.Advance(14 * time.Second)
		server.sweep()
		Expect(closed(used)).To(BeFalse())
		Expect(closed(unused)).To(BeFalse())
		clock.Advance(1100 * time.Millisecond)
		server.sweep()
		Eventually(func() bool { return closed(used) }).Should(BeTrue())
		Eventually(func() bool { return closed(unused) }).Should(BeTrue())
	})
})
