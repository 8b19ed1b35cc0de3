package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
	"github.com/cobaltcroft/cobaltcroft/service/tunnel"
)

const (
	token = "a shared token"
	// endpointID has bytes that a host must not contain.
	endpointID = "i-12ab@1771490745/7"
)

// endpoints implements tunnel.Endpoints with one endpoint.
type endpoints struct {
	address string

	mu       sync.Mutex
	path     reach.Path
	isolated bool
	asked    int
}

func (e *endpoints) Isolated(httpconn.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isolated
}

func (e *endpoints) setIsolated() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isolated = true
}

func (e *endpoints) Target(id string) (httpconn.Target, bool) {
	return httpconn.Target{ID: id, Address: e.address, FailureDomain: "zone-a"}, id == endpointID
}

func (e *endpoints) Path(httpconn.Target) reach.Path {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return e.path
}

func (e *endpoints) timesAsked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func (e *endpoints) setPath(path reach.Path) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.path = path
}

func (e *endpoints) DialDirect(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	return httpconn.TCPDialer{Timeout: time.Second}.Dial(ctx, target)
}

var _ = Describe("a tunnel through another instance", func() {
	var (
		listener net.Listener
		ends     *endpoints
		server   *tunnel.Server
		peer     string
	)

	// serve starts an instance with its view of the endpoints, and returns it with its peer address.
	serve := func(view *endpoints) (*tunnel.Server, string) {
		shared, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_, tunnels := peers.Split(shared)
		s := tunnel.NewServer(view, token, metrics.NewSet())
		go func() { _ = s.Serve(tunnels) }()
		DeferCleanup(s.Close)
		return s, shared.Addr().String()
	}

	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		ends = &endpoints{address: listener.Addr().String(), path: reach.Direct}
		server, peer = serve(ends)
	})

	// open opens a tunnel and returns both of its ends.
	open := func(ctx context.Context) (caller, endpoint net.Conn) {
		caller, err := tunnel.Client{Token: token}.Open(ctx, peer, endpointID)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = caller.Close() })
		endpoint, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = endpoint.Close() })
		return caller, endpoint
	}

	refusal := func(ctx context.Context, token, id string) string {
		_, err := tunnel.Client{Token: token}.Open(ctx, peer, id)
		var refused *tunnel.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		return refused.Reason
	}

	It("carries the bytes of both directions", func(ctx SpecContext) {
		caller, endpoint := open(ctx)
		for _, direction := range []struct{ from, to net.Conn }{{caller, endpoint}, {endpoint, caller}} {
			data := make([]byte, 64<<10)
			data[len(data)-1] = 1
			go func() { _, _ = direction.from.Write(data) }()
			got := make([]byte, len(data))
			_, err := io.ReadFull(direction.to, got)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(data))
		}
		Expect(server.Open()).To(Equal(1))
	}, SpecTimeout(10*time.Second))

	It("shows that the endpoint has closed its connection", func(ctx SpecContext) {
		caller, endpoint := open(ctx)
		_, err := endpoint.Write([]byte("all there is"))
		Expect(err).NotTo(HaveOccurred())
		Expect(endpoint.Close()).To(Succeed())
		Expect(io.ReadAll(caller)).To(BeEquivalentTo("all there is"))
	}, SpecTimeout(10*time.Second))

	DescribeTable("never looks as if the endpoint had closed its connection when the other instance ends", func(ctx SpecContext, header, sent string) {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		go func() {
			conn, err := other.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"\r\n")
			_, _ = reader.ReadByte()
			_, _ = io.WriteString(conn, sent)
			_ = conn.Close()
		}()
		caller, err := tunnel.Client{Token: token}.Open(ctx, other.Addr().String(), endpointID)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		_, err = caller.Write([]byte{0})
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(caller)
		Expect(string(data)).To(Equal("a part"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	},
		Entry("before the last frame", "Tunnel-Frames: chunked\r\n", "6\r\na part\r\n", SpecTimeout(10*time.Second)),
		Entry("within a frame", "Tunnel-Frames: chunked\r\n", "9\r\na part", SpecTimeout(10*time.Second)),
		Entry("if it is of a build without frames", "", "a part", SpecTimeout(10*time.Second)),
	)

	It("is broken off at the caller when the endpoint resets it, or the other instance ends", func(ctx SpecContext) {
		caller, endpoint := open(ctx)
		Expect(endpoint.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(endpoint.Close()).To(Succeed())
		_, err := io.ReadAll(caller)
		Expect(err).To(HaveOccurred())
		caller, _ = open(ctx)
		server.Close()
		_, err = io.ReadAll(caller)
		Expect(err).To(HaveOccurred())
	}, SpecTimeout(10*time.Second))

	It("is broken off at the caller when the endpoint resets it while the caller writes", func(ctx SpecContext) {
		// The kernel may report the reset to either direction of the tunnel.
		for range 20 {
			caller, endpoint := open(ctx)
			go func() {
				for data := make([]byte, 1<<20); ; {
					if _, err := caller.Write(data); err != nil {
						return
					}
				}
			}()
			_, err := endpoint.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
			_, err = endpoint.Write([]byte("a part"))
			Expect(err).NotTo(HaveOccurred())
			Expect(endpoint.(*net.TCPConn).SetLinger(0)).To(Succeed())
			Expect(endpoint.Close()).To(Succeed())
			_, err = io.ReadAll(caller)
			Expect(err).To(HaveOccurred())
			Expect(caller.Close()).To(Succeed())
		}
	}, SpecTimeout(20*time.Second))

	It("ends at the endpoint when the caller leaves", func(ctx SpecContext) {
		caller, endpoint := open(ctx)
		Expect(caller.Close()).To(Succeed())
		_, err := io.ReadAll(endpoint)
		Expect(err).NotTo(HaveOccurred())
		Eventually(server.Open).Should(BeZero())
	}, SpecTimeout(10*time.Second))

	It("is refused without the token, to an unknown endpoint, and where the other instance has no direct path", func(ctx SpecContext) {
		Expect(refusal(ctx, "a wrong token", endpointID)).To(Equal("denied"))
		Expect(refusal(ctx, token, "i-other")).To(Equal("unknown"))
		ends.setPath(reach.Tunneled)
		Expect(refusal(ctx, token, endpointID)).To(Equal("partitioned"))
		ends.setPath(reach.None)
		Expect(refusal(ctx, token, endpointID)).To(Equal("unreached"))
	}, SpecTimeout(10*time.Second))

	It("is refused when the endpoint refuses the connection", func(ctx SpecContext) {
		Expect(listener.Close()).To(Succeed())
		Expect(refusal(ctx, token, endpointID)).To(Equal("unreached"))
	}, SpecTimeout(10*time.Second))

	It("is no witness against the endpoint where the other instance reaches nothing else", func(ctx SpecContext) {
		Expect(listener.Close()).To(Succeed())
		ends.setIsolated()
		Expect(refusal(ctx, token, endpointID)).To(Equal("partitioned"))
		ends.setPath(reach.None)
		Expect(refusal(ctx, token, endpointID)).To(Equal("partitioned"))
	}, SpecTimeout(10*time.Second))

	It("does not begin when the request for it is canceled", func(ctx SpecContext) {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = silent.Close() })
		canceled, cancel := context.WithCancel(ctx)
		time.AfterFunc(20*time.Millisecond, cancel)
		began := time.Now()
		_, err = tunnel.Client{Token: token}.Open(canceled, silent.Addr().String(), endpointID)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	}, SpecTimeout(10*time.Second))

	Describe("the choice of the other instance", func() {
		regions := map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-c"}

		member := func(name, domain, address string) membership.Member {
			return membership.Member{Instance: membership.Instance{Name: name, FailureDomain: domain, PeerAddress: address}}
		}
		through := func(live ...membership.Member) *tunnel.Peers {
			return tunnel.NewPeers(tunnel.Client{Token: token}, func() []membership.Member { return live }, func(d string) string { return regions[d] }, clockwork.NewRealClock(), metrics.NewSet())
		}
		dialBy := func(ctx context.Context, p *tunnel.Peers) error {
			target, _ := ends.Target(endpointID)
			conn, err := p.Dial(ctx, target)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}
		dial := func(ctx context.Context, live ...membership.Member) error { return dialBy(ctx, through(live...)) }

		It("passes over those that do not answer or open no tunnels", func(ctx SpecContext) {
			earlier, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = earlier.Close() })
			go func() {
				for conn, err := earlier.Accept(); err == nil; conn, err = earlier.Accept() {
					_ = conn.Close()
				}
			}()
			Expect(dial(ctx, member("one", "zone-a", earlier.Addr().String()), member("two", "zone-a", "127.0.0.1:1"), member("three", "zone-b", peer))).To(Succeed())
		}, SpecTimeout(10*time.Second))

		It("asks the only one left again, though it could not connect a moment ago", func(ctx SpecContext) {
			p := through(member("one", "zone-a", peer))
			ends.setPath(reach.Tunneled)
			Expect(dialBy(ctx, p)).To(MatchError(ContainSubstring("partitioned")))
			ends.setPath(reach.Direct)
			Expect(dialBy(ctx, p)).To(Succeed())
		}, SpecTimeout(10*time.Second))

		It("finds the one that connects again among others that do not", func(ctx SpecContext) {
			partitioned := &endpoints{address: listener.Addr().String(), path: reach.Tunneled}
			_, second := serve(partitioned)
			_, third := serve(partitioned)
			p := through(member("one", "zone-b", peer), member("two", "zone-b", second), member("three", "zone-a", third))
			for range 10 {
				ends.setPath(reach.Tunneled)
				Expect(dialBy(ctx, p)).To(MatchError(ContainSubstring("partitioned")))
				ends.setPath(reach.Direct)
				Expect(dialBy(ctx, p)).To(Succeed())
			}
			asked := partitioned.timesAsked()
			Expect(dialBy(ctx, p)).To(Succeed())
			Expect(partitioned.timesAsked()).To(Equal(asked), "the one that connected last is asked first")
		}, SpecTimeout(10*time.Second))

		It("stays in the region of the endpoint", func(ctx SpecContext) {
			Expect(dial(ctx, member("one", "zone-c", peer))).To(MatchError(reach.ErrNoTunnel))
		}, SpecTimeout(10*time.Second))

		It("ends with the first that reaches others but not the endpoint", func(ctx SpecContext) {
			Expect(listener.Close()).To(Succeed())
			Expect(dial(ctx, member("one", "zone-a", peer))).To(And(MatchError(reach.ErrUnreached), MatchError(syscall.ECONNREFUSED)))
			ends.setPath(reach.None)
			Expect(dial(ctx, member("one", "zone-a", peer))).To(And(MatchError(reach.ErrUnreached), Not(MatchError(syscall.ECONNREFUSED))))
		}, SpecTimeout(10*time.Second))
	})
})
