package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// stalledListener accepts connections whose reads block while it is blocked, so that received data
// stays in the kernel as in a process without CPU time.
type stalledListener struct {
	net.Listener
	mu      sync.Mutex
	blocked chan struct{}
	// waiting counts the blocked reads that have data available.
	waiting int
}

// Accept implements net.Listener.
func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{c.(*net.TCPConn), l}, nil
}

func (l *stalledListener) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = make(chan struct{})
}

func (l *stalledListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.blocked)
	l.blocked = nil
}

func (l *stalledListener) blockedReads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// wait blocks while the listener is blocked.
func (l *stalledListener) wait() {
	l.mu.Lock()
	blocked := l.blocked
	if blocked != nil {
		l.waiting++
	}
	l.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}

type stalledConn struct {
	*net.TCPConn
	listener *stalledListener
}

// Read implements net.Conn. It waits for data without consuming it before it may block.
func (c *stalledConn) Read(buffer []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return peekErr != syscall.EAGAIN && peekErr != syscall.EWOULDBLOCK
	})
	if err != nil {
		return 0, err
	}
	c.listener.wait()
	return c.TCPConn.Read(buffer)
}

var _ = Describe("a request that arrives before the idle timeout", func() {
	It("is served even if none of it has been read when the timeout expires", func() {
		clock := clockwork.NewFakeClock()
		server := New(Options{
			Run: func(_ context.Context, _ *gateway.Request, responder gateway.Responder) {
				responder.Respond(http.StatusOK, http.Header{}, []byte("ran"))
			},
			Dialect: plain{},
			Limits:  func() (route.Limits, bool) { return route.Limits{IdleTimeout: 15 * time.Second}, true },
			Clock:   clock,
			Log:     logging.Discard().For("ingress"),
		})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := &stalledListener{Listener: inner}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		responses := bufio.NewReader(c)
		send := func() {
			GinkgoHelper()
			_, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		status := func() int {
			GinkgoHelper()
			response, err := http.ReadResponse(responses, nil)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}

		send()
		Expect(status()).To(Equal(http.StatusOK))
		Eventually(func() int {
			server.mu.Lock()
			defer server.mu.Unlock()
			return len(server.idle)
		}).Should(Equal(1))

		l.block()
		clock.Advance(12 * time.Second)
		send()
		Eventually(l.blockedReads).Should(Equal(1))
		clock.Advance(3100 * time.Millisecond)
		server.sweep()
		l.release()
		Expect(status()).To(Equal(http.StatusOK))
	})
})
