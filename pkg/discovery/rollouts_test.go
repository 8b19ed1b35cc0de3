package discovery_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
)

// ordersOf returns the orders that lead to the given rollouts.
func ordersOf(rollouts []fleet.Rollout) []fleet.RolloutOrder {
	var orders []fleet.RolloutOrder
	for _, r := range rollouts {
		orders = append(orders, fleet.RolloutOrder{Rollout: r})
	}
	return orders
}

var _ = Describe("an order of a rollout", func() {
	toV2 := fleet.Rollout{Service: "s", Version: "v2", OverMs: 1000, Revision: 6}
	var store, peers *fakeSource

	follow := func() *discovery.Follower {
		f := discovery.New(store, fakePeers{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		return f
	}
	known := func(f *discovery.Follower) func() []fleet.Rollout {
		return func() []fleet.Rollout { return f.View().Rollouts().Orders }
	}

	BeforeEach(func() {
		store, peers = &fakeSource{}, &fakeSource{unavailable: true}
		store.state = inDomains(5)
	})

	It("is known as soon as it is given, and its version gets no requests before its rollout state allows it", func() {
		f := follow()
		Eventually(func() bool { return f.View().Complete() }).Should(BeTrue())
		store.set(func(s *fakeSource) {
			s.state = inDomains(7)
			s.state.Rollouts = []fleet.Rollout{toV2}
			s.state.Endpoints = append(s.state.Endpoints, fleet.Endpoint{ID: "new", Service: "s", FailureDomain: "a", Version: "v2"})
		})
		Eventually(known(f)).WithTimeout(3 * time.Second).Should(HaveExactElements(toV2))
		Eventually(func() int { return len(f.View().Fleet.All()) }).Should(Equal(3))
		Expect(f.View().Fleet.Ready("s")).To(HaveLen(2))
		Expect(f.View().Fleet.MayGetWork("new")).To(BeFalse())
	})

	It("is asked of the source when the relay does not support rollouts", func() {
		peers.set(func(s *fakeSource) {
			s.unavailable, s.state, s.relays, s.silentOnRollouts = false, inDomains(5), []string{"relay"}, true
		})
		f := follow()
		Eventually(func() bool { return f.View().Complete() }).Should(BeTrue())
		peers.set(func(s *fakeSource) { s.state = inDomains(6) })
		store.set(func(s *fakeSource) {
			s.state = inDomains(6)
			s.state.Rollouts = []fleet.Rollout{toV2}
		})
		Eventually(known(f)).WithTimeout(3 * time.Second).Should(HaveExactElements(toV2))
	})
})
