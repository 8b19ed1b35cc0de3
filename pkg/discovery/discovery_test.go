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
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "discovery")
}

var errOut = errors.New("out")

// held is what a source or a peer has.
type held struct {
	Revision  uint64
	Document  discovery.Document
	Endpoints []fleet.Endpoint
	// Evacuated are sorted.
	Evacuated []string
	// Rollouts are sorted by service.
	Rollouts []fleet.Rollout
}

// source is a source, or the peers, whose state the test sets.
type source struct {
	mu    sync.Mutex
	state held
	out   bool
	// gone and documentGone have the next watch of each kind told that history is gone.
	gone         bool
	documentGone bool
	// tardy has answers come when the time of their calls is over.
	tardy   bool
	relays  []string
	watches int
	relayed int
	age     time.Duration
	// told has which failure domains were evacuated as of each revision that was told; orders, if
	// they are set, are what a watch is told instead.
	told   map[uint64][]string
	orders []fleet.Evacuation
	// silentOnOrders has peers tell of no evacuations, as an older version of the program does.
	silentOnOrders bool
	// silentOnRollouts has them tell of evacuations alone, as a later one does.
	silentOnRollouts bool
}

func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// forget has both watches told that history is gone, and sets what is there then.
func (s *source) forget(next held) {
	s.set(func(s *source) { s.out, s.gone, s.documentGone, s.state = false, true, true, next })
}

func (s *source) read() (held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.out
}

func (s *source) State(context.Context, discovery.Progress) (discovery.State, error) {
	state, out := s.read()
	if out {
		return discovery.State{}, errOut
	}
	return discovery.State{Revision: state.Revision, Endpoints: state.Endpoints}, nil
}

func (s *source) Document(context.Context, discovery.Progress) (discovery.Newest, error) {
	state, out := s.read()
	if out {
		return discovery.Newest{}, errOut
	}
	s.tell(state)
	return discovery.Newest{At: state.Revision, Document: state.Document, Evacuations: commonTo(nil, state.Evacuated), Rollouts: ordersOf(state.Rollouts)}, nil
}

// tell notes what was told as of a revision.
func (s *source) tell(state held) {
	s.set(func(s *source) {
		if s.told == nil {
			s.told = map[uint64][]string{}
		}
		s.told[state.Revision] = state.Evacuated
	})
}

func (s *source) Watch(ctx context.Context, since uint64, wait time.Duration, _ discovery.Progress) (discovery.Changes, error) {
	s.set(func(s *source) { s.watches++ })
	state, err := s.await(ctx, since, wait, &s.gone)
	changes := discovery.Changes{Revision: state.Revision}
	for _, e := range state.Endpoints {
		changes.Endpoints = append(changes.Endpoints, fleet.Change{Endpoint: e})
	}
	return changes, err
}

func (s *source) WatchDocument(ctx context.Context, since uint64, wait time.Duration, _ discovery.Progress) (discovery.Newest, error) {
	state, err := s.await(ctx, since, wait, &s.documentGone)
	newest := discovery.Newest{At: state.Revision}
	if state.Document.Revision > since {
		newest.Document = state.Document
	}
	newest.Evacuations = s.given(since, state)
	newest.Rollouts = ordersOf(state.Rollouts)
	s.tell(state)
	return newest, err
}

// await returns what is there as soon as it is newer than a revision, or after a time.
func (s *source) await(ctx context.Context, since uint64, wait time.Duration, gone *bool) (held, error) {
	until := time.Now().Add(wait)
	for {
		state, out := s.read()
		if out {
			return held{}, errOut
		}
		if s.take(gone) {
			return held{}, discovery.ErrHistoryGone
		}
		if state.Revision > since || time.Now().After(until) {
			if s.isTardy() {
				<-ctx.Done()
				return state, nil
			}
			return state, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *source) isTardy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tardy
}

// take returns a flag and takes it down.
func (s *source) take(flag *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := *flag
	*flag = false
	return was
}

func (*source) Decode(d discovery.Document) (route.Config, error) {
	var config route.Config
	err := json.Unmarshal(d.Data, &config)
	return config, err
}

// peersOf gives what a source holds, as peers.
type peersOf struct{ *source }

// oldness is how long ago the peers heard of the source.
func (p peersOf) oldness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age
}

func (p peersOf) mark(state held) discovery.Mark {
	mark := discovery.Mark{Revision: state.Document.Revision, At: state.Revision, Age: p.oldness(), Newest: state.Document.Revision}
	p.mu.Lock()
	if !p.silentOnOrders {
		mark.Evacuations = fleet.Evacuations{Revision: state.Revision, Domains: state.Evacuated}
	}
	if !p.silentOnOrders && !p.silentOnRollouts {
		mark.Rollouts = fleet.Rollouts{Revision: state.Revision, Orders: state.Rollouts}
	}
	p.mu.Unlock()
	return mark
}

func (p peersOf) State(_ context.Context, newerThan uint64) (discovery.Known, error) {
	state, out := p.read()
	if out {
		return discovery.Known{}, errOut
	}
	known := discovery.Known{Age: p.oldness(), Mark: p.mark(state)}
	known.State.Revision, known.Same = state.Revision, state.Revision == newerThan
	if state.Revision > newerThan {
		known.State.Endpoints = state.Endpoints
	}
	return known, nil
}

func (p peersOf) Relay(ctx context.Context, _ string, selection discovery.RelaySelect) (discovery.Relayed, error) {
	p.set(func(s *source) { s.relayed++ })
	changes, err := p.Watch(ctx, selection.Since, selection.Wait, nil)
	state, _ := p.read()
	return discovery.Relayed{Changes: changes, Age: p.oldness(), Mark: p.mark(state)}, err
}

func (p peersOf) Relays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays
}

func (p peersOf) Holders(newerThan uint64) []string {
	if state, out := p.read(); out || state.Document.Revision <= newerThan {
		return nil
	}
	return []string{"peer"}
}

func (p peersOf) Piece(_ context.Context, _ string, selection discovery.PieceSelect) (discovery.Piece, error) {
	state, out := p.read()
	if out {
		return discovery.Piece{}, errOut
	}
	piece := discovery.Piece{Mark: p.mark(state)}
	if state.Document.Revision <= selection.NewerThan || selection.MaxAge > 0 && p.oldness() > selection.MaxAge {
		return piece, nil
	}
	digest, data := discovery.Pack(state.Document)
	piece.Digest, piece.Size, piece.Data = digest, len(data), data
	return piece, nil
}

func (peersOf) Announce() {}

func document(revision, version uint64) discovery.Document {
	data, err := json.Marshal(route.Config{Version: version})
	Expect(err).NotTo(HaveOccurred())
	return discovery.Document{Revision: revision, Data: data}
}

func state(revision, documentRevision, version uint64, endpoints ...string) held {
	s := held{Revision: revision, Document: document(documentRevision, version)}
	for _, id := range endpoints {
		s.Endpoints = append(s.Endpoints, fleet.Endpoint{ID: id, Service: "s"})
	}
	return s
}

var _ = Describe("a follower", func() {
	var (
		store, peers *source
		f            *discovery.Follower
	)

	BeforeEach(func() {
		store, peers = &source{}, &source{out: true}
		f = discovery.New(store, peersOf{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
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
	// listed is the revision of the endpoints, which come apart from the configuration.
	listed := func() uint64 { return f.View().Fleet.Revision }
	ready := func() int { return len(f.View().Fleet.Ready("s")) }
	put := func(s *source, next held) { s.set(func(s *source) { s.state = next }) }

	It("takes versions and endpoints in as they come, never backward", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		put(store, state(9, 8, 7, "a", "b"))
		Eventually(version).Should(Equal(uint64(7)))
		Eventually(ready).Should(Equal(2))
		put(store, state(12, 12, 6))
		Consistently(version).WithTimeout(300 * time.Millisecond).Should(Equal(uint64(7)))
	})

	It("takes no older state from a peer", func() {
		put(store, state(9, 8, 7, "a"))
		Eventually(version).Should(Equal(uint64(7)))
		Eventually(ready).Should(Equal(1))
		store.set(func(s *source) { s.out = true })
		peers.set(func(s *source) { s.out, s.state = false, state(5, 4, 3) })
		Consistently(version).WithTimeout(2500 * time.Millisecond).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(1))
	})

	It("learns from peers while the source is out, with the peers' age", func() {
		store.set(func(s *source) { s.out = true })
		peers.set(func(s *source) { s.out, s.state, s.age = false, state(5, 4, 3, "a"), time.Second })
		Eventually(version).Should(Equal(uint64(3)))
		Expect(f.View().Age(time.Now())).To(BeNumerically(">=", time.Second))
		Expect(f.View().Age(time.Now())).To(BeNumerically("<", 3*time.Second))
	})

	It("does not rely on a peer that has not heard of the source itself", func() {
		store.set(func(s *source) { s.out = true })
		peers.set(func(s *source) { s.out, s.state, s.age = false, state(5, 4, 3, "a"), time.Minute })
		Consistently(version).WithTimeout(800 * time.Millisecond).Should(BeZero())
	})

	It("reads all anew when the history is gone", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(ready).Should(Equal(1))
		store.forget(state(9, 8, 7, "b"))
		Eventually(func() bool { return f.View().Fleet.MayGetWork("a") }).Should(BeFalse())
		Expect(f.View().Fleet.MayGetWork("b")).To(BeTrue())
	})

	It("takes changes in that come when the time of their call is over", func() {
		put(store, state(5, 4, 1, "a"))
		Eventually(version).Should(Equal(uint64(1)))
		store.set(func(s *source) { s.tardy = true })
		for n := uint64(2); n <= 8; n++ {
			put(store, state(5*n, 5*n, n, "a"))
			Eventually(version).WithTimeout(4 * time.Second).Should(Equal(n))
		}
	})

	// outage has the source out for long enough that entries may lapse there.
	outage := func() {
		GinkgoHelper()
		Eventually(version).ShouldNot(BeZero())
		store.set(func(s *source) { s.out = true })
		unconfirmed := func() time.Duration {
			now, view := time.Now(), f.View()
			return min(view.Age(now), view.FleetAge(now))
		}
		Eventually(unconfirmed).Should(BeNumerically(">", 2200*time.Millisecond))
	}

	It("keeps endpoints for a while whose entries lapsed while the source was out", func() {
		put(store, state(5, 4, 3, "a", "b", "c"))
		Eventually(ready).Should(Equal(3))
		outage()
		store.forget(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(uint64(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(3))
		back := state(10, 8, 7, "a", "b")
		put(store, back)
		Consistently(ready).WithTimeout(time.Second).Should(Equal(3))
		Eventually(ready).Should(Equal(2))
		Expect(f.View().Fleet.MayGetWork("a")).To(BeTrue())
		Consistently(ready).WithTimeout(500 * time.Millisecond).Should(Equal(2))
	})

	It("takes a newer version from a peer, however long ago the peer heard of the source", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		outage()
		peers.set(func(s *source) { s.out, s.state, s.age = false, state(9, 8, 7, "a"), 5*time.Second })
		Eventually(version).Should(Equal(uint64(7)))
		By("not taking the peer's old word as news of the source")
		Expect(f.View().Age(time.Now())).To(BeNumerically(">", 2200*time.Millisecond))
	})

	It("tells peers of no endpoint that lapsed, and keeps none that was leaving", func() {
		leaving := state(5, 4, 3, "a", "b")
		leaving.Endpoints[0].Leaving = true
		put(store, leaving)
		Eventually(ready).Should(Equal(1))
		outage()
		store.forget(state(9, 8, 7))
		Eventually(listed).Should(Equal(uint64(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(f.View().Fleet.All()).To(HaveLen(1))
		Expect(f.View().Fleet.MayGetWork("b")).To(BeTrue())
		Expect(f.Known(0).State.Endpoints).To(BeEmpty())
	})

	It("takes an endpoint that said so as leaving, whatever is read of it later, and tells of it until the source does", func() {
		put(store, state(5, 4, 3, "a", "b"))
		Eventually(ready).Should(Equal(2))
		f.Depart(discovery.Answer, "a", "unknown")
		Eventually(ready).Should(Equal(1))
		Expect(f.Departing(8)).To(Equal([]string{"a"}))
		By("an entry that changes, one that is read anew, and one that lapses in an outage and returns")
		put(store, state(6, 4, 3, "a", "b"))
		Eventually(listed).Should(Equal(uint64(6)))
		Expect(ready()).To(Equal(1))
		outage()
		store.forget(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(uint64(9)))
		Expect(f.View().Fleet.MayGetWork("a")).To(BeFalse())
		Expect(f.Departing(8)).To(BeEmpty())
		put(store, state(12, 12, 8, "a", "b"))
		Eventually(listed).Should(Equal(uint64(12)))
		Expect(ready()).To(Equal(1))
		By("the source, which says so at last")
		leaving := state(15, 12, 8, "a", "b", "unknown")
		leaving.Endpoints[0].Leaving = true
		put(store, leaving)
		Eventually(listed).Should(Equal(uint64(15)))
		Expect(ready()).To(Equal(1), "another was heard of before it was listed")
		Expect(f.Departing(8)).To(Equal([]string{"unknown"}))
	})

	It("takes an endpoint as gone at once whose entry goes while the source answers", func() {
		put(store, state(5, 4, 3, "a", "b"))
		Eventually(ready).Should(Equal(2))
		store.forget(state(9, 8, 7, "b"))
		Eventually(listed).Should(Equal(uint64(9)))
		Eventually(version).Should(Equal(uint64(7)))
		Expect(ready()).To(Equal(1))
	})

	It("leaves the watching to a relay, and goes back to the source when that is out or old", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(ready).Should(Equal(1))
		peers.set(func(s *source) { s.out, s.state, s.relays = false, state(5, 4, 3, "a"), []string{"relay"} })
		relayed := func() int {
			peers.mu.Lock()
			defer peers.mu.Unlock()
			return peers.relayed
		}
		Eventually(relayed).Should(BeNumerically(">", 0))
		put(peers, state(9, 8, 7, "a", "b"))
		Eventually(version).Should(Equal(uint64(7)))
		peers.set(func(s *source) { s.age = 5 * time.Second })
		put(store, state(12, 11, 10, "a"))
		Eventually(version).Should(Equal(uint64(10)))
		peers.set(func(s *source) { s.out = true })
		put(store, state(15, 14, 13, "a"))
		Eventually(version).Should(Equal(uint64(13)))
	})

	It("relays what comes, as soon as it comes, or says that it is not kept", func() {
		put(store, state(5, 4, 3, "a"))
		Eventually(version).Should(Equal(uint64(3)))
		Eventually(listed).Should(Equal(uint64(5)))
		By("reading all anew, after which no changes are kept")
		store.forget(state(6, 4, 3, "a"))
		Eventually(listed).Should(Equal(uint64(6)))
		ask := func(since uint64, wait time.Duration) discovery.Relayed {
			return f.Relay(discovery.RelaySelect{Since: since, Document: 4, Wait: wait})
		}
		nothing := ask(6, 10*time.Millisecond)
		Expect(nothing.Changes.Revision).To(Equal(uint64(6)))
		Expect(nothing.Mark.Revision).To(Equal(uint64(4)))
		got := make(chan discovery.Relayed, 1)
		go func() { got <- ask(6, 5*time.Second) }()
		put(store, state(9, 4, 3, "a", "b"))
		Eventually(got).Should(Receive(HaveField("Changes.Revision", uint64(9))))
		go func() { got <- ask(9, 5*time.Second) }()
		put(store, state(11, 10, 7, "a", "b"))
		Eventually(got).Should(Receive(Or(HaveField("Mark.Revision", uint64(10)), HaveField("Changes.Revision", uint64(11)))))
		Eventually(func() uint64 { return ask(11, 0).Mark.Revision }).Should(Equal(uint64(10)))
		Eventually(listed).Should(Equal(uint64(11)))
		By("telling one whose revision lies between two of its own all that it may lack")
		Expect(ask(7, time.Second)).To(SatisfyAll(HaveField("Gone", false), HaveField("Changes.Revision", uint64(11))))
		Expect(ask(3, time.Second).Gone).To(BeTrue())
	})
})
