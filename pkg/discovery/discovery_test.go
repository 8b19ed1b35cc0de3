package discovery_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "discovery")
}

var _ = Describe("a follower", func() {
	var (
		store, peers *fakeSource
		f            *discovery.Follower
	)

	BeforeEach(func() {
		store, peers = &fakeSource{}, &fakeSource{unavailable: true}
		f = discovery.New(store, fakePeers{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
	})

	version := func() uint64 {
		if f.View().Table == nil {
			return 0
		}
		return f.View().Table.Version
	}
	// listed returns the revision of the endpoints, which are delivered separately from the
	// configuration.
	listed := func() revision.Revision { return f.View().Fleet.Revision }
	ready := func() int { return len(f.View().Fleet.Ready("s")) }
	put := func(s *fakeSource, next sourceState) { s.set(func(s *fakeSource) { s.state = next }) }

	It("applies versions and endpoints as they arrive, never backward", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		put(store, state(9, 8, 7, "a", "b"))
		Eventually(version).Should(Equal(uint64(7)))
		Eventually(ready).Should(Equal(2))
		put(store, state(12, 12, 6))
		Consistently(version).WithTimeout(300 * time.Millisecond).Should(Equal(uint64(7)))
	})

	It("ignores older state from a peer", func() {
		put(store, state(9, 8, 7, "a"))
		Eventually(version).Should(Equal(uint64(7)))
		Eventually(ready).Should(Equal(1))
		store.set(func(s *fakeSource) { s.unavailable = true })
		peers.set(func(s *fakeSource) { s.unavailable, s.state = false, state(5, 4, 3) })
		Consistently(version).WithTimeout(2500 * time.Millisecond).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(1))
	})

	It("uses state from peers with its age while the source is unavailable", func() {
		store.set(func(s *fakeSource) { s.unavailable = true })
		peers.set(func(s *fakeSource) { s.unavailable, s.state, s.age = false, state(5, 4, 3, "a"), time.Second })
		Eventually(version).Should(Equal(uint64(3)))
		Expect(f.View().Age(time.Now())).To(BeNumerically(">=", time.Second))
		Expect(f.View().Age(time.Now())).To(BeNumerically("<", 3*time.Second))
	})

	It("rejects the first state from a peer that has lost the source itself", func() {
		store.set(func(s *fakeSource) { s.unavailable = true })
		peers.set(func(s *fakeSource) { s.unavailable, s.state, s.age = false, state(5, 4, 3, "a"), time.Minute })
		Consistently(version).WithTimeout(800 * time.Millisecond).Should(BeZero())
	})

	It("reads everything again when the history is gone", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(ready).Should(Equal(1))
		store.loseHistory(state(9, 8, 7, "b"))
		Eventually(func() bool { return f.View().Fleet.MayGetWork("a") }).Should(BeFalse())
		Expect(f.View().Fleet.MayGetWork("b")).To(BeTrue())
	})

	It("applies changes that arrive when the time of their call is over", func() {
		put(store, state(5, 4, 1, "a"))
		Eventually(version).Should(Equal(uint64(1)))
		store.set(func(s *fakeSource) { s.answersLate = true })
		for n := uint64(2); n <= 8; n++ {
			put(store, state(revision.Revision(5*n), revision.Revision(5*n), n, "a"))
			Eventually(version).WithTimeout(4 * time.Second).Should(Equal(n))
		}
	})

	// outage makes the source unavailable for long enough that entries may expire.
	outage := func() {
		GinkgoHelper()
		Eventually(version).ShouldNot(BeZero())
		store.set(func(s *fakeSource) { s.unavailable = true })
		unconfirmed := func() time.Duration {
			now, view := time.Now(), f.View()
			return min(view.Age(now), view.FleetAge(now))
		}
		Eventually(unconfirmed).Should(BeNumerically(">", 2200*time.Millisecond))
	}

	It("retains endpoints whose entries expired during an outage of the source", func() {
		put(store, state(5, 4, 3, "a", "b", "c"))
		Eventually(ready).Should(Equal(3))
		outage()
		store.loseHistory(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(revision.Revision(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(3))
		back := state(10, 8, 7, "a", "b")
		put(store, back)
		Consistently(ready).WithTimeout(time.Second).Should(Equal(3))
		Eventually(ready).Should(Equal(2))
		Expect(f.View().Fleet.MayGetWork("a")).To(BeTrue())
		Consistently(ready).WithTimeout(500 * time.Millisecond).Should(Equal(2))
	})

	// DRAIN: an endpoint that had gone got requests for two seconds more.
	Describe("whose connection to the source falls silent", func() {
		// fallSilent waits until a watch has got no answer.
		fallSilent := func() {
			GinkgoHelper()
			put(store, state(5, 4, 3, "a", "b"))
			Eventually(ready).Should(Equal(2))
			before := store.watchCount()
			store.set(func(s *fakeSource) { s.silent = true })
			Eventually(store.watchCount).Should(BeNumerically(">", before+1))
		}

		It("does not retain an endpoint that went meanwhile", func() {
			put(store, state(5, 4, 3, "a", "b"))
			Eventually(ready).Should(Equal(2))
			before := store.watchCount()
			store.set(func(s *fakeSource) { s.silent = true })
			Eventually(store.watchCount).Should(BeNumerically(">", before))
			store.loseHistory(state(9, 4, 3, "b"))
			Eventually(listed).Should(Equal(revision.Revision(9)))
			Expect(ready()).To(Equal(1))
		})

		It("retains an endpoint whose entry expired while the source itself was silent", func() {
			put(store, state(5, 4, 3, "a", "b"))
			Eventually(ready).Should(Equal(2))
			store.set(func(s *fakeSource) { s.hung = true })
			// The third one is started when two have failed.
			Eventually(store.hungWatchCount).Should(BeNumerically(">=", 3))
			store.loseHistory(state(9, 4, 3, "b"))
			store.set(func(s *fakeSource) { s.hung = false })
			Eventually(listed).Should(Equal(revision.Revision(9)))
			Expect(ready()).To(Equal(2))
			Eventually(ready).Should(Equal(1))
		})

		It("does not retain an endpoint that goes after the source has been reached again", func() {
			fallSilent()
			Consistently(ready).WithTimeout(500 * time.Millisecond).Should(Equal(2))
			store.loseHistory(state(9, 4, 3, "b"))
			Eventually(listed).Should(Equal(revision.Revision(9)))
			Expect(ready()).To(Equal(1))
		})
	})

	It("accepts a newer version from a peer, however long ago the peer heard of the source", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		outage()
		peers.set(func(s *fakeSource) { s.unavailable, s.state, s.age = false, state(9, 8, 7, "a"), 5*time.Second })
		Eventually(version).Should(Equal(uint64(7)))
		By("not counting it as a confirmation by the source")
		Expect(f.View().Age(time.Now())).To(BeNumerically(">", 2200*time.Millisecond))
	})

	It("does not tell peers of expired endpoints, and does not retain departing ones", func() {
		leaving := state(5, 4, 3, "a", "b")
		leaving.Endpoints[0].Leaving = true
		put(store, leaving)
		Eventually(ready).Should(Equal(1))
		outage()
		store.loseHistory(state(9, 8, 7))
		Eventually(listed).Should(Equal(revision.Revision(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(f.View().Fleet.All()).To(HaveLen(1))
		Expect(f.View().Fleet.MayGetWork("b")).To(BeTrue())
		Expect(f.LocalState(0).State.Endpoints).To(BeEmpty())
	})

	It("treats an endpoint that said so as leaving, whatever its entry says later, and reports it until the source does", func() {
		put(store, state(5, 4, 3, "a", "b"))
		Eventually(ready).Should(Equal(2))
		f.MarkDeparting(discovery.FromResponse, "a", "unknown")
		Eventually(ready).Should(Equal(1))
		Expect(f.Departing(8)).To(Equal([]string{"a"}))
		By("an entry that changes, is read again, or expires in an outage and returns")
		put(store, state(6, 4, 3, "a", "b"))
		Eventually(listed).Should(Equal(revision.Revision(6)))
		Expect(ready()).To(Equal(1))
		outage()
		store.loseHistory(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(revision.Revision(9)))
		Expect(f.View().Fleet.MayGetWork("a")).To(BeFalse())
		Expect(f.Departing(8)).To(BeEmpty())
		put(store, state(12, 12, 8, "a", "b"))
		Eventually(listed).Should(Equal(revision.Revision(12)))
		Expect(ready()).To(Equal(1))
		By("the source listing it as leaving")
		leaving := state(15, 12, 8, "a", "b", "unknown")
		leaving.Endpoints[0].Leaving = true
		put(store, leaving)
		Eventually(listed).Should(Equal(revision.Revision(15)))
		Expect(ready()).To(Equal(1), "the other departure was reported before the endpoint was listed")
		Expect(f.Departing(8)).To(Equal([]string{"unknown"}))
	})

	It("drops an endpoint at once when its entry is removed while the source is available", func() {
		put(store, state(5, 4, 3, "a", "b"))
		Eventually(ready).Should(Equal(2))
		store.loseHistory(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(revision.Revision(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(1))
	})

	It("relies on a relay, and falls back to the source when the relay is unavailable or outdated", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(ready).Should(Equal(1))
		peers.set(func(s *fakeSource) { s.unavailable, s.state, s.relays = false, state(5, 4, 3, "a"), []string{"relay"} })
		relayed := func() int {
			peers.mu.Lock()
			defer peers.mu.Unlock()
			return peers.relayCalls
		}
		Eventually(relayed).Should(BeNumerically(">", 0))
		put(peers, state(9, 8, 7, "a", "b"))
		Eventually(version).Should(Equal(uint64(7)))
		peers.set(func(s *fakeSource) { s.age = 5 * time.Second })
		put(store, state(12, 11, 10, "a"))
		Eventually(version).Should(Equal(uint64(10)))
		peers.set(func(s *fakeSource) { s.unavailable = true })
		put(store, state(15, 14, 13, "a"))
		Eventually(version).Should(Equal(uint64(13)))
	})

	It("relays changes as soon as they arrive, or reports that they are no longer kept", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		Eventually(listed).Should(Equal(revision.Revision(5)))
		By("reading everything again, which drops the kept changes")
		store.loseHistory(state(6, 4, 3, "a"))
		Eventually(listed).Should(Equal(revision.Revision(6)))
		ask := func(since revision.Revision, wait time.Duration) discovery.RelayResponse {
			return f.Relay(discovery.RelayRequest{Since: since, Document: discovery.DocumentID{Revision: 4}, Wait: wait})
		}
		nothing := ask(6, 10*time.Millisecond)
		Expect(nothing.Changes.Revision).To(Equal(revision.Revision(6)))
		Expect(nothing.Status.Revision).To(Equal(revision.Revision(4)))
		got := make(chan discovery.RelayResponse, 1)
		go func() { got <- ask(6, 5*time.Second) }()
		put(store, state(9, 4, 3, "a", "b"))
		Eventually(got).Should(Receive(HaveField("Changes.Revision", revision.Revision(9))))
		go func() { got <- ask(9, 5*time.Second) }()
		put(store, state(11, 10, 7, "a", "b"))
		Eventually(got).Should(Receive(Or(HaveField("Status.Revision", revision.Revision(10)), HaveField("Changes.Revision", revision.Revision(11)))))
		Eventually(func() revision.Revision { return ask(11, 0).Status.Revision }).Should(Equal(revision.Revision(10)))
		Eventually(listed).Should(Equal(revision.Revision(11)))
		By("sending a requester whose revision lies between two entries all that it may lack")
		Expect(ask(7, time.Second)).To(SatisfyAll(HaveField("Gone", false), HaveField("Changes.Revision", revision.Revision(11))))
		Expect(ask(3, time.Second).Gone).To(BeTrue())
	})
})
