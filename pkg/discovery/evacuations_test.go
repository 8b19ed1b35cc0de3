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
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// inDomains returns a state with one endpoint in each of the failure domains a and b, named after
// it, and the given evacuations.
func inDomains(revision revision.Revision, evacuated ...string) sourceState {
	s := state(revision, 1, 1)
	for _, domain := range []string{"a", "b"} {
		s.Endpoints = append(s.Endpoints, fleet.Endpoint{ID: domain, Service: "s", FailureDomain: domain})
	}
	s.Evacuated = evacuated
	return s
}

var _ = Describe("an evacuation", func() {
	var store, peers *fakeSource

	follow := func(source discovery.Source) *discovery.Follower {
		f := discovery.New(source, fakePeers{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		return f
	}
	ready := func(f *discovery.Follower) func() []string {
		return func() []string {
			var ids []string
			for _, e := range f.View().Fleet.Ready("s") {
				ids = append(ids, e.ID)
			}
			return ids
		}
	}
	put := func(s *fakeSource, next sourceState) { s.set(func(s *fakeSource) { s.state = next }) }

	BeforeEach(func() {
		store, peers = &fakeSource{}, &fakeSource{unavailable: true}
	})

	It("takes effect as soon as it is given, and ends as soon as it is withdrawn", func() {
		put(store, inDomains(5))
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
		put(store, inDomains(6, "a"))
		Eventually(ready(f)).WithTimeout(3*time.Second).Should(HaveExactElements("b"), "an instance that has just started waits for relays first")
		put(store, inDomains(7, "a", "b"))
		Eventually(ready(f)).WithTimeout(time.Second).Should(BeEmpty())
		put(store, inDomains(8, "b"))
		Eventually(ready(f)).WithTimeout(time.Second).Should(HaveExactElements("a"))
		Expect(f.View().Complete()).To(BeTrue())
	})

	It("given and withdrawn between two responses is not in force", func() {
		put(store, inDomains(5))
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
		store.set(func(s *fakeSource) {
			s.state = inDomains(8)
			s.orders = []fleet.Evacuation{{Domain: "a"}, {Domain: "b"}, {Domain: "a", Ended: true}, {Domain: "b", Ended: true}}
		})
		Eventually(func() revision.Revision { return f.View().Evacuations().Revision }).Should(Equal(revision.Revision(8)))
		Expect(ready(f)()).To(HaveExactElements("a", "b"))
	})

	It("is known to an instance that starts while it is in force, and after the history is gone", func() {
		put(store, inDomains(5, "b"))
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("a"))
		store.loseHistory(inDomains(9, "a"))
		Eventually(ready(f)).Should(HaveExactElements("b"))
		store.loseHistory(inDomains(12))
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
	})

	It("stays in force while the source is unavailable, whatever older state a peer reports", func() {
		put(store, inDomains(7, "a"))
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("b"))
		store.set(func(s *fakeSource) { s.unavailable = true })
		peers.set(func(s *fakeSource) { s.unavailable, s.state = false, inDomains(6) })
		Consistently(ready(f)).WithTimeout(2500 * time.Millisecond).Should(HaveExactElements("b"))
		By("accepting newer state from a peer")
		put(peers, inDomains(9))
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
	})

	It("is known to an instance that starts and reaches only peers", func() {
		store.unavailable = true
		peers.set(func(s *fakeSource) { s.unavailable, s.state = false, inDomains(6, "a") })
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("b"))
		Eventually(func() bool { return f.View().Complete() }).Should(BeTrue())
	})

	It("comes over relays at once, and so does its end", func() {
		put(store, inDomains(5))
		relay := follow(store)
		Eventually(ready(relay)).Should(HaveExactElements("a", "b"))
		Eventually(func() bool { return relay.View().Complete() }).Should(BeTrue())
		ask := func(knows fleet.Evacuations) <-chan discovery.RelayResponse {
			got := make(chan discovery.RelayResponse, 1)
			go func() {
				got <- relay.Relay(discovery.RelayRequest{Since: 100, Document: discovery.DocumentID{Revision: 100}, Evacuations: knows, Wait: 10 * time.Second})
			}()
			return got
		}
		none := relay.View().Evacuations()
		got := ask(none)
		Consistently(got).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		put(store, inDomains(6, "b"))
		var response discovery.RelayResponse
		Eventually(got).WithTimeout(3 * time.Second).Should(Receive(&response))
		Expect(response.Status.Evacuations.Domains).To(HaveExactElements("b"))
		Eventually(ask(none)).Should(Receive(), "a later requester that does not know it yet")
		got = ask(response.Status.Evacuations)
		Consistently(got).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		put(store, inDomains(7))
		Eventually(got).WithTimeout(time.Second).Should(Receive(&response))
		Expect(response.Status.Evacuations.Domains).To(BeEmpty())
	})

	It("is asked of the source when the instances that provide the configuration omit it", func() {
		put(store, inDomains(5))
		peers.set(func(s *fakeSource) {
			s.unavailable, s.state, s.relays, s.silentOnOrders = false, inDomains(5), []string{"relay"}, true
		})
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
		put(peers, inDomains(6))
		put(store, inDomains(6, "a"))
		Eventually(ready(f)).WithTimeout(3 * time.Second).Should(HaveExactElements("b"))
	})

	It("without a failure domain changes nothing, and orders that arrive with it apply", func() {
		put(store, inDomains(5))
		f := follow(store)
		Eventually(ready(f)).Should(HaveExactElements("a", "b"))
		store.set(func(s *fakeSource) {
			s.state = inDomains(6, "a")
			s.orders = []fleet.Evacuation{{Domain: ""}, {Domain: "", Ended: true}, {Domain: "unknown"}, {Domain: "a"}}
		})
		Eventually(ready(f)).Should(HaveExactElements("b"))
	})
})

// ordersBetween returns the orders that change one set of evacuated failure domains into another.
func ordersBetween(before, after []string) []fleet.Evacuation {
	var orders []fleet.Evacuation
	evacuated, returned := fleet.Evacuations{Domains: after}.Changed(fleet.Evacuations{Domains: before})
	for _, domain := range evacuated {
		orders = append(orders, fleet.Evacuation{Domain: domain})
	}
	for _, domain := range returned {
		orders = append(orders, fleet.Evacuation{Domain: domain, Ended: true})
	}
	return orders
}

// ordersSince returns the orders after a revision, as returned by a watch.
func (s *fakeSource) ordersSince(since revision.Revision, state sourceState) []fleet.Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orders != nil && since < state.Revision {
		return s.orders
	}
	return ordersBetween(s.evacuatedAt[since], state.Evacuated)
}
