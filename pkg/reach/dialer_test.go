package reach_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

// fakePath is a path whose attempts have a fixed outcome.
type fakePath struct {
	after time.Duration
	err   error
	dials atomic.Int64
	// open is the number of connections that were not closed.
	open atomic.Int64
}

type countedConn struct {
	net.Conn
	path *fakePath
}

func (c countedConn) Close() error {
	c.path.open.Add(-1)
	return nil
}

func (p *fakePath) Dial(ctx context.Context, _ httpconn.Target) (net.Conn, error) {
	p.dials.Add(1)
	select {
	case <-time.After(p.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.err != nil {
		return nil, p.err
	}
	p.open.Add(1)
	return countedConn{path: p}, nil
}

var _ = Describe("connecting to an endpoint", func() {
	var (
		direct, tunnel *fakePath
		tracker        *reach.Tracker
		dialer         *reach.Dialer
		silent         chan bool
	)
	target := httpconn.Target{ID: "one", FailureDomain: "zone-a"}

	BeforeEach(func() {
		direct, tunnel = &fakePath{}, &fakePath{}
		tracker = newTracker(clockwork.NewRealClock(), io.Discard)
		silent = make(chan bool, 10)
		dialer = &reach.Dialer{Direct: direct, Tunnels: tunnel, Tracker: tracker, OnTunneled: func(_ httpconn.Target, s bool) { silent <- s }}
	})

	via := func(conn net.Conn, err error) *fakePath {
		Expect(err).NotTo(HaveOccurred())
		return conn.(countedConn).path
	}

	It("uses no other instance while the direct path works", func(ctx SpecContext) {
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(direct))
		Expect(tunnel.dials.Load()).To(BeZero())
	})

	It("goes through another instance at once when the direct path is refused", func(ctx SpecContext) {
		direct.err = syscall.ECONNREFUSED
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		Expect(silent).To(Receive(BeFalse()))
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		Expect(direct.dials.Load()).To(BeEquivalentTo(1), "the endpoint is known to be reached through others")
	})

	It("does not wait for a silent direct path, and learns its outcome", func(ctx SpecContext) {
		direct.after, direct.err = 300*time.Millisecond, errors.New("timeout")
		began := time.Now()
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		Expect(time.Since(began)).To(BeNumerically("<", 250*time.Millisecond))
		Eventually(silent).Should(Receive(BeTrue()))
		Expect(tracker.Path("zone-a", "one")).To(Equal(reach.Tunneled))
	})

	It("closes the slower of two connections", func(ctx SpecContext) {
		direct.after = 200 * time.Millisecond
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		Eventually(direct.dials.Load).Should(BeEquivalentTo(1))
		Consistently(direct.open.Load, 300*time.Millisecond).Should(BeZero())
		Expect(tracker.Path("zone-a", "one")).To(Equal(reach.Direct))
	})

	It("falls back to the direct path when no other instance connects any more", func(ctx SpecContext) {
		direct.err = syscall.ECONNREFUSED
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		direct.err, tunnel.err = nil, reach.ErrUnreached
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(direct))
	})

	It("fails at once when another instance finds that nothing listens on the address", func(ctx SpecContext) {
		direct.err = syscall.ETIMEDOUT
		Expect(via(dialer.Dial(ctx, target))).To(BeIdenticalTo(tunnel))
		direct.after, tunnel.err = time.Second, errors.Join(reach.ErrUnreached, syscall.ECONNREFUSED)
		began := time.Now()
		_, err := dialer.Dial(ctx, target)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})

	It("fails as refused, without waiting, when another instance finds that nothing listens behind a silent direct path", func(ctx SpecContext) {
		direct.after, direct.err = time.Second, errors.New("timeout")
		tunnel.err = errors.Join(reach.ErrUnreached, syscall.ECONNREFUSED)
		began := time.Now()
		_, err := dialer.Dial(ctx, target)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("fails as refused when another instance finds that nothing listens, after the direct path has failed", func(ctx SpecContext) {
		direct.err = syscall.ETIMEDOUT
		tunnel.err = errors.Join(reach.ErrUnreached, syscall.ECONNREFUSED)
		_, err := dialer.Dial(ctx, target)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	It("fails at once while neither path has worked lately", func(ctx SpecContext) {
		direct.err, tunnel.err = syscall.ECONNREFUSED, reach.ErrUnreached
		_, err := dialer.Dial(ctx, target)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		_, err = dialer.Dial(ctx, target)
		Expect(err).To(HaveOccurred())
		Expect(direct.dials.Load()).To(BeEquivalentTo(1))
	})

	It("does not pass on a refusal that only the instance's own links have shown", func(ctx SpecContext) {
		direct.err, tunnel.err = syscall.ECONNREFUSED, errors.New("partitioned too")
		_, err := dialer.Dial(ctx, httpconn.Target{ID: "two", FailureDomain: "zone-a"})
		Expect(err).To(MatchError(syscall.ECONNREFUSED), "nothing else of the failure domain is known to have failed")
		_, err = dialer.Dial(ctx, target)
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeFalse())
	})

	It("learns nothing from an attempt that its caller gives up", func(ctx SpecContext) {
		direct.after, tunnel.after = time.Minute, time.Minute
		canceled, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
		defer cancel()
		result := make(chan error, 1)
		go func() {
			_, err := dialer.DialDirect(canceled, target)
			result <- err
		}()
		Eventually(result).Should(Receive(HaveOccurred()))
		Expect(tracker.Unreached()).To(BeZero())
	})
})
