package discovery_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "discovery")
}

var errUnavailable = errors.New("out")

// sourceState is the state of a source or a peer.
type sourceState struct {
	Revision  revision.Revision
	Document  discovery.Document
	Endpoints []fleet.Endpoint
	// Evacuated is sorted.
	Evacuated []string
	// Rollouts is sorted by service.
	Rollouts []fleet.Rollout
}

// fakeSource is a source or a peer whose state is set by the test.
type fakeSource struct {
	mu          sync.Mutex
	state       sourceState
	unavailable bool
	// historyGone and documentHistoryGone make the next watch of that kind return ErrHistoryGone.
	historyGone         bool
	documentHistoryGone bool
	// silent makes the next watch of endpoints get no answer, hung all of them until it is reset.
	silent bool
	hung   bool
	// answersLate delays responses until the context of the call is done.
	answersLate bool
	relays      []string
	// contacts are the peers that an instance asks when it starts.
	contacts   []string
	watches    int
	relayCalls int
	age        time.Duration
	// evacuatedAt maps returned revisions to the evacuated failure domains. If set, orders is
	// returned by watches instead.
	evacuatedAt map[revision.Revision][]string
	orders      []fleet.Evacuation
	// silentOnOrders omits evacuations and rollouts, as old versions do.
	silentOnOrders bool
	// silentOnRollouts omits rollouts, as versions before rollouts do.
	silentOnRollouts bool
}

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeSource) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// loseHistory sets a new state and makes the next watch of both kinds return ErrHistoryGone.
func (s *fakeSource) loseHistory(next sourceState) {
	s.set(func(s *fakeSource) {
		s.unavailable, s.historyGone, s.documentHistoryGone, s.state = false, true, true, next
	})
}

func (s *fakeSource) read() (sourceState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.unavailable
}

func (s *fakeSource) State(context.Context, discovery.Progress) (discovery.State, error) {
	state, out := s.read()
	if out {
		return discovery.State{}, errUnavailable
	}
	return discovery.State{Revision: state.Revision, Endpoints: state.Endpoints}, nil
}

func (s *fakeSource) Document(context.Context, discovery.Progress) (discovery.LatestDocument, error) {
	state, out := s.read()
	if out {
		return discovery.LatestDocument{}, errUnavailable
	}
	s.recordEvacuated(state)
	return discovery.LatestDocument{At: state.Revision, Document: state.Document, Evacuations: ordersBetween(nil, state.Evacuated), Rollouts: ordersOf(state.Rollouts)}, nil
}

// recordEvacuated records the evacuated failure domains returned as of a revision.
func (s *fakeSource) recordEvacuated(state sourceState) {
	s.set(func(s *fakeSource) {
		if s.evacuatedAt == nil {
			s.evacuatedAt = map[revision.Revision][]string{}
		}
		s.evacuatedAt[state.Revision] = state.Evacuated
	})
}

func (s *fakeSource) Watch(ctx context.Context, since revision.Revision, wait time.Duration, _ discovery.Progress) (discovery.Changes, error) {
	s.set(func(s *fakeSource) { s.watches++ })
	if s.consume(&s.silent) {
		<-ctx.Done()
		return discovery.Changes{}, ctx.Err()
	}
	if err := s.awaitUnhung(ctx); err != nil {
		return discovery.Changes{}, err
	}
	state, err := s.await(ctx, since, wait, &s.historyGone)
	changes := discovery.Changes{Revision: state.Revision}
	for _, e := range state.Endpoints {
		changes.Endpoints = append(changes.Endpoints, fleet.Change{Endpoint: e})
	}
	return changes, err
}

func (s *fakeSource) WatchDocument(ctx context.Context, since revision.Revision, wait time.Duration, _ discovery.Progress) (discovery.LatestDocument, error) {
	state, err := s.await(ctx, since, wait, &s.documentHistoryGone)
	newest := discovery.LatestDocument{At: state.Revision}
	if state.Document.Revision > since {
		newest.Document = state.Document
	}
	newest.Evacuations = s.ordersSince(since, state)
	newest.Rollouts = ordersOf(state.Rollouts)
	s.recordEvacuated(state)
	return newest, err
}

// await returns the state once it is newer than a revision or the wait time has expired.
func (s *fakeSource) await(ctx context.Context, since revision.Revision, wait time.Duration, gone *bool) (sourceState, error) {
	until := time.Now().Add(wait)
	for {
		state, out := s.read()
		if out {
			return sourceState{}, errUnavailable
		}
		if s.consume(gone) {
			return sourceState{}, discovery.ErrHistoryGone
		}
		if state.Revision > since || time.Now().After(until) {
			if s.isLate() {
				<-ctx.Done()
				return state, nil
			}
			return state, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitUnhung waits until the source is not hung.
func (s *fakeSource) awaitUnhung(ctx context.Context) error {
	for {
		s.mu.Lock()
		hung := s.hung
		s.mu.Unlock()
		if !hung || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *fakeSource) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersLate
}

// consume returns and resets a flag.
func (s *fakeSource) consume(flag *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := *flag
	*flag = false
	return was
}

func (*fakeSource) Decode(d discovery.Document) (route.Config, error) {
	var config route.Config
	err := json.Unmarshal(d.Data, &config)
	return config, err
}

// fakePeers exposes a source as peers.
type fakePeers struct{ *fakeSource }

// stateAge returns the age of the peers' confirmation by the source.
func (p fakePeers) stateAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age
}

func (p fakePeers) status(state sourceState) discovery.DocumentStatus {
	status := discovery.DocumentStatus{Revision: state.Document.Revision, Version: versionOf(state), At: state.Revision, Age: p.stateAge(), Newest: state.Document.Revision, NewestVersion: versionOf(state)}
	p.mu.Lock()
	if !p.silentOnOrders {
		status.Evacuations = fleet.Evacuations{Revision: state.Revision, Domains: state.Evacuated}
	}
	if !p.silentOnOrders && !p.silentOnRollouts {
		status.Rollouts = fleet.Rollouts{Revision: state.Revision, Orders: state.Rollouts}
	}
	p.mu.Unlock()
	return status
}

func (p fakePeers) State(_ context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	state, out := p.read()
	if out {
		return discovery.PeerState{}, errUnavailable
	}
	known := discovery.PeerState{Age: p.stateAge(), Status: p.status(state)}
	known.State.Revision, known.Same = state.Revision, state.Revision == newerThan
	if state.Revision > newerThan {
		known.State.Endpoints = state.Endpoints
	}
	return known, nil
}

func (p fakePeers) Relay(ctx context.Context, _ string, selection discovery.RelayRequest) (discovery.RelayResponse, error) {
	p.set(func(s *fakeSource) { s.relayCalls++ })
	changes, err := p.Watch(ctx, selection.Since, selection.Wait, nil)
	state, _ := p.read()
	return discovery.RelayResponse{Changes: changes, Age: p.stateAge(), Status: p.status(state)}, err
}

func (p fakePeers) Relays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays
}

func (p fakePeers) Holders(wanted func(discovery.DocumentID) bool) []string {
	if state, out := p.read(); out || !wanted(discovery.DocumentID{Revision: state.Document.Revision, Version: versionOf(state)}) {
		return nil
	}
	return []string{"peer"}
}

// versionOf returns the version of a state's document, or 0 if it has none.
func versionOf(state sourceState) uint64 {
	var config route.Config
	_ = json.Unmarshal(state.Document.Data, &config)
	return config.Version
}

func (p fakePeers) Piece(_ context.Context, _ string, selection discovery.PieceRequest) (discovery.Piece, error) {
	state, out := p.read()
	if out {
		return discovery.Piece{}, errUnavailable
	}
	piece := discovery.Piece{Status: p.status(state)}
	newer := state.Document.Revision > selection.NewerThan
	if state.Document.Revision.Era() != selection.NewerThan.Era() {
		newer = versionOf(state) > selection.Version
	}
	if !newer || selection.MaxAge > 0 && p.stateAge() > selection.MaxAge {
		return piece, nil
	}
	digest, data := discovery.Pack(state.Document)
	piece.Digest, piece.Size, piece.Data = digest, len(data), data
	return piece, nil
}

func (fakePeers) Announce() {}

func (p fakePeers) Contacts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contacts
}

func document(at revision.Revision, version uint64) discovery.Document {
	data, err := json.Marshal(route.Config{Version: version})
	Expect(err).NotTo(HaveOccurred())
	return discovery.Document{Revision: at, Data: data}
}

func state(at, documentRevision revision.Revision, version uint64, endpoints ...string) sourceState {
	s := sourceState{Revision: at, Document: document(documentRevision, version)}
	for _, id := range endpoints {
		s.Endpoints = append(s.Endpoints, fleet.Endpoint{ID: id, Service: "s"})
	}
	return s
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
			Eventually(func() time.Duration { return f.View().FleetAge(time.Now()) }).Should(BeNumerically(">", 2900*time.Millisecond))
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
