package reach_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

// unreachable is a failure domain whose endpoints nobody reaches. It records which were tried.
type unreachable struct {
	endpoints []httpconn.Target
	mu        sync.Mutex
	tried     map[string]bool
}

func (u *unreachable) Target(string) (httpconn.Target, bool) { return httpconn.Target{}, false }
func (u *unreachable) InDomain(string) []httpconn.Target     { return u.endpoints }
func (u *unreachable) Dial(_ context.Context, target httpconn.Target) (net.Conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tried[target.ID] = true
	return nil, syscall.ECONNREFUSED
}

func (u *unreachable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.tried)
}

var _ = Describe("the probes of a failure domain to which no path leads", func() {
	It("reach each endpoint in turn", func(ctx SpecContext) {
		const endpoints = 24
		u := &unreachable{tried: map[string]bool{}}
		for n := range endpoints {
			u.endpoints = append(u.endpoints, httpconn.Target{ID: fmt.Sprintf("i-%02d", n), FailureDomain: "zone-a"})
		}
		clock := clockwork.NewFakeClock()
		tracker := newTracker(clock, GinkgoWriter)
		for _, target := range u.endpoints[:2] {
			tracker.Failed(target.FailureDomain, target.ID)
			tracker.TunnelFailed(target.FailureDomain, target.ID)
		}
		prober := &reach.Prober{Dialer: &reach.Dialer{Direct: u, Tunnels: u, Tracker: tracker}, Endpoints: u, Clock: clock}
		running, stop := context.WithCancel(ctx)
		defer stop()
		go prober.Run(running)
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		for round := range 3 {
			clock.Advance(200 * time.Millisecond)
			Eventually(u.count).Should(Equal(8 * (round + 1)))
		}
	}, SpecTimeout(10*time.Second))
})
