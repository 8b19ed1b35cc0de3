package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

func TestHTTPConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpconn")
}

// openPool returns a pool without limits by the real clock.
func openPool(observe httpconn.ResponseObserver) *httpconn.Pool {
	pool := httpconn.NewPool(clockwork.NewRealClock(), metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Send: httpconn.AllowAll, Permit: httpconn.AllowAll}, observe)
	DeferCleanup(pool.Close)
	return pool
}

// server sends the responses that a test defines.
type server struct {
	net.Listener
	conns atomic.Int32
	// respond returns the bytes sent for request n, and whether to keep the connection open.
	respond func(n int, r *http.Request) (string, bool)
	// afterResponse, if set, is called a short time after each response.
	afterResponse func(c net.Conn)
}

func serve(respond func(n int, r *http.Request) (string, bool)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{Listener: listener, respond: respond}
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		bytes, keepOpen := s.respond(n, r)
		_, _ = io.WriteString(c, bytes)
		if s.afterResponse != nil {
			time.Sleep(20 * time.Millisecond)
			s.afterResponse(c)
		}
		if !keepOpen {
			return
		}
	}
}

func plain(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

var _ = Describe("the connection pool", func() {
	var (
		clock *clockwork.FakeClock
		pool  *httpconn.Pool
		// limit is the number of connections to an endpoint that may be open; 0 means any number.
		limit int
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		limit = 0
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Permit: httpconn.AllowAll, Send: httpconn.AllowAll, Connections: func(httpconn.Target) int { return limit }}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
	})

	call := func(s *server, id string) httpconn.Call {
		return httpconn.Call{
			Target: httpconn.Target{ID: "e", Address: s.Addr().String()},
			Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}},
			ID: id, IDHeader: "X-Id", MaxIdle: time.Second,
		}
	}

	do := func(c httpconn.Call) (string, error) {
		response, err := pool.Do(context.Background(), c)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	echo := func(_ int, r *http.Request) (string, bool) {
		return plain(r.Header.Get("X-Id"), "for "+r.Header.Get("X-Id")), true
	}

	It("connects to an endpoint that allows only connections, but does not send calls", func() {
		s := serve(echo)
		errBlocked := errors.New("blocked")
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Permit: httpconn.AllowAll, Send: func(httpconn.Target) error { return errBlocked }}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
		_, err := do(call(s, "1"))
		Expect(err).To(MatchError(errBlocked))
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(s.conns.Load()).To(BeZero())
		Expect(pool.CheckConnect(context.Background(), call(s, "1").Target)).To(Succeed())
	})

	It("checks the Send gate again before sending, and keeps the connection if it is blocked", func() {
		s := serve(echo)
		checks := 0
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Permit: httpconn.AllowAll, Send: func(httpconn.Target) error {
			if checks++; checks == 2 {
				return errors.New("blocked in the meantime")
			}
			return nil
		}}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
		_, err := do(call(s, "1"))
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(httpconn.IsBlocked(err)).To(BeTrue())
		Expect(do(call(s, "2"))).To(Equal("for 2"))
		Expect(s.conns.Load()).To(BeEquivalentTo(1))
	})

	It("checks the Permit gate once for each call and does not send a blocked call", func() {
		s := serve(echo)
		left, checks := 2, 0
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Send: httpconn.AllowAll, Permit: func(httpconn.Target) error {
			checks++
			if left == 0 {
				return errors.New("limit reached")
			}
			left--
			return nil
		}}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
		Expect(do(call(s, "1"))).To(Equal("for 1"))
		Expect(do(call(s, "2"))).To(Equal("for 2"))
		_, err := do(call(s, "3"))
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(httpconn.IsBlocked(err)).To(BeTrue())
		Expect(checks).To(Equal(3))
		left = 1
		Expect(do(call(s, "4"))).To(Equal("for 4"))
		Expect(s.conns.Load()).To(BeEquivalentTo(1), "the connection was reused")
	})

	It("reports the headers of all responses, including those to other calls", func() {
		s := serve(func(_ int, r *http.Request) (string, bool) {
			return plain("another", "x") + plain(r.Header.Get("X-Id"), "y"), true
		})
		var observed []string
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Connect: httpconn.AllowAll, Permit: httpconn.AllowAll, Send: httpconn.AllowAll}, func(target httpconn.Target, _ string, status int, h http.Header) {
			observed = append(observed, fmt.Sprint(target.ID, " ", status, " ", h.Get("X-Id")))
		})
		DeferCleanup(pool.Close)
		Expect(do(call(s, "1"))).To(Equal("y"))
		Expect(observed).To(Equal([]string{"e 200 another", "e 200 1"}))
	})

	It("does not send calls that the Connect gate blocks, and returns a NotSentError", func() {
		s := serve(echo)
		errBlocked := errors.New("blocked")
		blocked := true
		pool = httpconn.NewPool(clock, metrics.NewSet(), httpconn.Gates{Send: httpconn.AllowAll, Permit: httpconn.AllowAll, Connect: func(target httpconn.Target) error {
			if blocked && target.FailureDomain == "a" {
				return errBlocked
			}
			return nil
		}}, httpconn.IgnoreResponses)
		DeferCleanup(pool.Close)
		c := call(s, "1")
		c.Target.FailureDomain = "a"
		_, err := do(c)
		Expect(err).To(MatchError(errBlocked))
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(httpconn.NotSent(pool.CheckConnect(context.Background(), c.Target))).To(BeTrue())
		Expect(s.conns.Load()).To(BeZero())
		By("not over an idle connection either")
		blocked = false
		Expect(do(c)).To(Equal("for 1"))
		blocked = true
		_, err = do(c)
		Expect(httpconn.NotSent(err)).To(BeTrue())
		other := call(s, "2")
		other.Target.FailureDomain = "b"
		Expect(do(other)).To(Equal("for 2"))
	})

	It("reuses connections within the idle time that the call allows", func() {
		s := serve(echo)
		for n := range 3 {
			Expect(do(call(s, fmt.Sprint(n)))).To(Equal(fmt.Sprint("for ", n)))
		}
		Expect(s.conns.Load()).To(Equal(int32(1)))
		clock.Advance(2 * time.Second)
		Expect(do(call(s, "a"))).To(Equal("for a"))
		Expect(s.conns.Load()).To(Equal(int32(2)), "it was idle for longer than the call allows")
		fresh := call(s, "b")
		fresh.MaxIdle = -1
		Expect(do(fresh)).To(Equal("for b"))
		Expect(s.conns.Load()).To(Equal(int32(3)))
	})

	It("does not reuse connections that the endpoint is about to close or has closed", func() {
		s := serve(func(_ int, r *http.Request) (string, bool) {
			id := r.Header.Get("X-Id")
			return strings.Replace(plain(id, "x"), "\r\n", "\r\nKeep-Alive: timeout=2\r\n", 1), id != "closes"
		})
		Expect(do(call(s, "1"))).To(Equal("x"))
		clock.Advance(900 * time.Millisecond)
		Expect(do(call(s, "2"))).To(Equal("x"))
		Expect(s.conns.Load()).To(Equal(int32(1)))
		clock.Advance(999 * time.Millisecond)
		pool.Sweep(func(string) bool { return true })
		Expect(do(call(s, "closes"))).To(Equal("x"))
		Eventually(func() error {
			_, err := do(call(s, "after"))
			return err
		}).Should(Succeed())
	})

	It("does not reuse a connection with unsolicited data", func() {
		s := serve(func(n int, r *http.Request) (string, bool) {
			id := r.Header.Get("X-Id")
			if n == 0 {
				return plain(id, "own") + plain(id, "unsolicited"), true
			}
			return plain(id, "own"), true
		})
		for n := range 4 {
			Expect(do(call(s, fmt.Sprint(n)))).To(Equal("own"))
		}
	})

	It("does not accept a response that arrived while the connection was idle, even without an ID", func() {
		sent := make(chan struct{})
		s := serve(func(_ int, r *http.Request) (string, bool) {
			return plain(r.Header.Get("X-Id"), "own"), true
		})
		s.afterResponse = func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			sent <- struct{}{}
		}
		for n := range 4 {
			response, err := pool.Do(context.Background(), call(s, fmt.Sprint(n)))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(http.StatusOK))
			_, err = io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			<-sent
		}
	})

	It("skips responses to other calls", func() {
		s := serve(func(_ int, r *http.Request) (string, bool) {
			return plain("other", "stale") + "HTTP/1.1 103 Early Hints\r\n\r\n" + plain(r.Header.Get("X-Id"), "own"), true
		})
		Expect(do(call(s, "1"))).To(Equal("own"))
	})

	DescribeTable("does not accept incomplete responses",
		func(bytes string) {
			s := serve(func(int, *http.Request) (string, bool) { return bytes, false })
			_, err := do(call(s, "1"))
			Expect(err).To(HaveOccurred())
			Expect(httpconn.NotSent(err)).To(BeFalse())
		},
		Entry("empty", ""),
		Entry("not HTTP", "\x00\x01\x02\r\n\r\n"),
		Entry("truncated header", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"),
		Entry("truncated body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf"),
		Entry("truncated chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf"),
		Entry("no last chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		Entry("only a response to another call", plain("2", "x")),
	)

	It("returns a NotSentError if it cannot connect", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := &server{Listener: listener}
		c := call(s, "1")
		Expect(listener.Close()).To(Succeed())
		_, err = do(c)
		Expect(httpconn.NotSent(err)).To(BeTrue())
	})

	It("does not exceed the connection limit of the endpoint", func() {
		hold := make(chan struct{})
		s := serve(func(int, *http.Request) (string, bool) {
			<-hold
			return plain("1", "x"), true
		})
		c := call(s, "1")
		limit = 1
		done := make(chan error, 1)
		go func() {
			_, err := do(c)
			done <- err
		}()
		Eventually(s.conns.Load).Should(Equal(int32(1)))
		_, err := do(c)
		Expect(httpconn.NotSent(err)).To(BeTrue())
		Expect(httpconn.IsAllInUse(err)).To(BeTrue())
		close(hold)
		Eventually(done).Should(Receive(BeNil()))
		Expect(do(c)).To(Equal("x"))
	})

	It("leaves the last of several connections to control calls", func() {
		hold := make(chan struct{})
		s := serve(func(int, *http.Request) (string, bool) {
			<-hold
			return plain("1", "x"), true
		})
		limit = 2
		request, control := call(s, "1"), call(s, "1")
		control.Control = true
		done := make(chan error, 2)
		send := func(c httpconn.Call) {
			_, err := do(c)
			done <- err
		}
		go send(request)
		Eventually(s.conns.Load).Should(Equal(int32(1)))
		_, err := do(request)
		Expect(httpconn.IsAllInUse(err)).To(BeTrue())
		go send(control)
		Eventually(s.conns.Load).Should(Equal(int32(2)))
		_, err = do(control)
		Expect(httpconn.IsAllInUse(err)).To(BeTrue())
		close(hold)
		Eventually(done).Should(Receive(BeNil()))
		Eventually(done).Should(Receive(BeNil()))
	})

	It("aborts a call when its context is done", func() {
		s := serve(func(int, *http.Request) (string, bool) { select {} })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := pool.Do(ctx, call(s, "1"))
			done <- err
		}()
		Eventually(s.conns.Load).Should(Equal(int32(1)))
		cancel()
		Eventually(done).Should(Receive(HaveOccurred()))
	})

	It("removes hop-by-hop headers", func() {
		h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"}, "X-Own": {"1"}}
		Expect(httpconn.EndToEnd(h)).To(Equal(http.Header{"X-Own": {"1"}}))
	})
})
