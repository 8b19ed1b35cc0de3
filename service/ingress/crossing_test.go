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

// stalledListener accepts connections from which the process reads nothing while it is held:
// what comes stands in the kernel, as it does where the process gets no processor time.
type stalledListener struct {
	net.Listener
	mu   sync.Mutex
	held chan struct{}
	// waiting counts the reads that hold back bytes that have come.
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

func (l *stalledListener) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = make(chan struct{})
}

func (l *stalledListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held)
	l.held = nil
}

func (l *stalledListener) heldBack() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// wait returns at once unless the listener is held.
func (l *stalledListener) wait() {
	l.mu.Lock()
	held := l.held
	if held != nil {
		l.waiting++
	}
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

type stalledConn struct {
	*net.TCPConn
	listener *stalledListener
}

// Read implements net.Conn. It takes nothing from the kernel before it may.
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

var _ = Describe("a request that came within the time that a connection may rest", func() {
	It("is answered, though nothing of it has been read when that time is over", func() {
		clock := clockwork.NewFakeClock()
		f := New(Options{
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
		go func() { _ = f.Serve(l) }()
		DeferCleanup(f.Close)
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		answers := bufio.NewReader(c)
		ask := func() {
			GinkgoHelper()
			_, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		status := func() int {
			GinkgoHelper()
			response, err := http.ReadResponse(answers, nil)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}

		ask()
		Expect(status()).To(Equal(http.StatusOK))
		Eventually(func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.idle)
		}).Should(Equal(1))

		l.hold()
		clock.Advance(12 * time.Second)
		ask()
		Eventually(l.heldBack).Should(Equal(1))
		clock.Advance(3100 * time.Millisecond)
		f.sweep()
		l.release()
		Expect(status()).To(Equal(http.StatusOK))
	})
})
