package discovery_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// countingSource counts the read and watch calls for documents.
type countingSource struct {
	*fakeSource
	documents atomic.Int64
}

func (c *countingSource) Document(ctx context.Context, p discovery.Progress) (discovery.LatestDocument, error) {
	c.documents.Add(1)
	return c.fakeSource.Document(ctx, p)
}

func (c *countingSource) WatchDocument(ctx context.Context, since revision.Revision, wait time.Duration, p discovery.Progress) (discovery.LatestDocument, error) {
	c.documents.Add(1)
	return c.fakeSource.WatchDocument(ctx, since, wait, p)
}

// followerPeers implements Peers on top of another follower. It provides no document.
type followerPeers struct {
	follower atomic.Pointer[discovery.Follower]
	relays   []string
	calls    atomic.Int64
}

func (n *followerPeers) State(_ context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	return n.follower.Load().LocalState(newerThan), nil
}

func (n *followerPeers) Relay(_ context.Context, _ string, s discovery.RelayRequest) (discovery.RelayResponse, error) {
	n.calls.Add(1)
	return n.follower.Load().Relay(s), nil
}

func (n *followerPeers) Relays() []string { return n.relays }

func (*followerPeers) Holders(func(discovery.DocumentID) bool) []string { return nil }

func (*followerPeers) Piece(context.Context, string, discovery.PieceRequest) (discovery.Piece, error) {
	return discovery.Piece{}, errUnavailable
}

func (*followerPeers) Announce() {}

func (*followerPeers) Contacts() []string { return nil }

// slowPeers delays responses with all endpoints.
type slowPeers struct {
	fakePeers
	delay time.Duration
}

func (s slowPeers) State(ctx context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	select {
	case <-time.After(s.delay):
		return s.fakePeers.State(ctx, newerThan)
	case <-ctx.Done():
		return discovery.PeerState{}, ctx.Err()
	}
}

// pieceCountingPeers counts requests for pieces.
type pieceCountingPeers struct {
	fakePeers
	asked *atomic.Int64
}

func (c pieceCountingPeers) Piece(ctx context.Context, peer string, s discovery.PieceRequest) (discovery.Piece, error) {
	c.asked.Add(1)
	return c.fakePeers.Piece(ctx, peer, s)
}

// slowSource responds to State one byte at a time.
type slowSource struct {
	*fakeSource
	duration time.Duration
}

func (t *slowSource) State(ctx context.Context, progress discovery.Progress) (discovery.State, error) {
	for until := time.Now().Add(t.duration); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			return discovery.State{}, ctx.Err()
		}
		progress(1)
	}
	return t.fakeSource.State(ctx, progress)
}

// stateCountingPeers counts requests for all endpoints.
type stateCountingPeers struct {
	fakePeers
	asked *atomic.Int64
}

func (c stateCountingPeers) State(ctx context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	c.asked.Add(1)
	return c.fakePeers.State(ctx, newerThan)
}

var _ = Describe("the timeouts of a follower's calls", func() {
	follow := func(s discovery.Source, p discovery.Peers) *discovery.Follower {
		return discovery.New(s, p, clockwork.NewRealClock(), logging.Discard().For("discovery"))
	}
	run := func(f *discovery.Follower) {
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
	}
	inForce := func(f *discovery.Follower) func() revision.Revision {
		return func() revision.Revision { return f.View().Document.Revision }
	}

	It("keeps serving when the holders of a newer version are silent, though neighbours have heard of it", func() {
		store := &fakeSource{state: state(5, 4, 3, "a")}
		of, ofOther := &followerPeers{}, &followerPeers{}
		f, other := follow(store, of), follow(store, ofOther)
		of.follower.Store(other)
		ofOther.follower.Store(f)
		run(f)
		run(other)
		Eventually(inForce(f)).Should(Equal(revision.Revision(4)))
		Eventually(inForce(other)).Should(Equal(revision.Revision(4)))
		store.set(func(s *fakeSource) { s.unavailable = true })
		f.ObserveDocument(discovery.DocumentID{Revision: 20})
		By("the neighbour learning of it from this one")
		Eventually(func() revision.Revision { return other.View().Newest().Revision }).WithTimeout(8 * time.Second).Should(Equal(revision.Revision(20)))
		neither := func() bool { return f.View().Behind(time.Now()) || other.View().Behind(time.Now()) }
		Eventually(neither).WithTimeout(8 * time.Second).Should(BeFalse())
		Consistently(neither).WithTimeout(2 * time.Second).Should(BeFalse())
	})

	It("forgets word of a version that the source does not have", func() {
		store := &fakeSource{state: state(5, 4, 3, "a")}
		f := follow(store, fakePeers{&fakeSource{unavailable: true}})
		run(f)
		Eventually(inForce(f)).Should(Equal(revision.Revision(4)))
		f.ObserveDocument(discovery.DocumentID{Revision: 8})
		lacks := func() bool {
			_, lacking := f.View().Lacking(time.Now())
			return lacking
		}
		Eventually(lacks).Should(BeTrue())
		store.set(func(s *fakeSource) { s.state = state(9, 4, 3, "a") })
		Eventually(lacks).Should(BeFalse())
	})

	DescribeTable("does not load a document again that it rejected, and keeps confirming the last good one", func(refused sourceState) {
		store := &countingSource{fakeSource: &fakeSource{state: state(5, 4, 3, "a")}}
		f := follow(store, fakePeers{&fakeSource{unavailable: true}})
		run(f)
		Eventually(inForce(f)).Should(Equal(revision.Revision(4)))
		store.set(func(s *fakeSource) { s.state = refused })
		Eventually(func() revision.Revision { return f.View().DocumentAt }).Should(Equal(revision.Revision(9)))
		before := store.documents.Load()
		Consistently(func() time.Duration { return f.View().Age(time.Now()) }).WithTimeout(3 * time.Second).Should(BeNumerically("<", 2500*time.Millisecond))
		Expect(store.documents.Load() - before).To(BeNumerically("<=", 4))
		Expect(f.View().Table.Version).To(Equal(uint64(3)))
	},
		Entry("of an older version", sourceState{Revision: 9, Document: discovery.Document{Revision: 8, Data: []byte(`{"Version":2}`)}}),
		Entry("that does not parse", sourceState{Revision: 9, Document: discovery.Document{Revision: 8, Data: []byte(`{`)}}),
	)

	It("waits for the first document, and does not read again and again", func() {
		store := &countingSource{fakeSource: &fakeSource{state: sourceState{Revision: 5}}}
		f := follow(store, fakePeers{&fakeSource{unavailable: true}})
		run(f)
		Consistently(store.documents.Load).WithTimeout(3 * time.Second).Should(BeNumerically("<=", 5))
		store.set(func(s *fakeSource) { s.state = state(9, 8, 2, "a") })
		Eventually(inForce(f)).Should(Equal(revision.Revision(8)))
	})

	It("pauses between requests to a relay whose document it rejected", func() {
		store := &fakeSource{state: state(5, 4, 3, "a")}
		of := &followerPeers{relays: []string{"relay"}}
		f, relay := follow(store, of), follow(store, fakePeers{&fakeSource{unavailable: true}})
		of.follower.Store(relay)
		run(f)
		Eventually(inForce(f)).Should(Equal(revision.Revision(4)))
		store.set(func(s *fakeSource) { s.state = state(9, 8, 2, "a") })
		Eventually(func() revision.Revision { return f.View().DocumentAt }).Should(Equal(revision.Revision(9)))
		run(relay)
		Eventually(inForce(relay)).Should(Equal(revision.Revision(8)))
		before := of.calls.Load()
		Consistently(func() int64 { return of.calls.Load() - before }).WithTimeout(time.Second).Should(BeNumerically("<=", 20))
	})

	It("accepts endpoints from a peer whose large response arrives slowly", func() {
		store, peers := &fakeSource{state: state(5, 4, 3, "a")}, &fakeSource{state: state(9, 4, 3, "a", "b")}
		f := follow(store, slowPeers{fakePeers{peers}, 1200 * time.Millisecond})
		run(f)
		Eventually(inForce(f)).Should(Equal(revision.Revision(4)))
		store.set(func(s *fakeSource) { s.unavailable = true })
		Eventually(func() int { return len(f.View().Fleet.All()) }).WithTimeout(8 * time.Second).Should(Equal(2))
	})

	It("queries no peer for endpoints while the source is sending them", func() {
		store := &slowSource{fakeSource: &fakeSource{state: state(5, 4, 3, "a")}, duration: 1300 * time.Millisecond}
		var asked atomic.Int64
		f := follow(store, stateCountingPeers{fakePeers{&fakeSource{unavailable: true}}, &asked})
		run(f)
		Eventually(func() int { return len(f.View().Fleet.All()) }).WithTimeout(8 * time.Second).Should(Equal(1))
		// One request is tolerated: a busy machine may pause the source for longer than the stall
		// timeout.
		Expect(asked.Load()).To(BeNumerically("<=", 1))
	})

	It("queries peers for endpoints while the source is slow to send them", func() {
		store := &slowSource{fakeSource: &fakeSource{state: state(5, 4, 3, "a")}, duration: time.Minute}
		f := follow(store, fakePeers{&fakeSource{state: state(5, 4, 3, "a")}})
		run(f)
		Eventually(func() int { return len(f.View().Fleet.All()) }).WithTimeout(8 * time.Second).Should(Equal(1))
	})

	It("limits requests for a first document that no peer has recently confirmed", func() {
		store, peers := &fakeSource{unavailable: true}, &fakeSource{state: state(5, 4, 3, "a"), age: time.Minute}
		var asked atomic.Int64
		run(follow(store, pieceCountingPeers{fakePeers{peers}, &asked}))
		Consistently(asked.Load).WithTimeout(2 * time.Second).Should(BeNumerically("<=", 10))
		Expect(asked.Load()).To(BeNumerically(">", 0))
	})
})

// delayedSource delays its response with the given revision after it was created.
type delayedSource struct {
	*fakeSource
	revision  revision.Revision
	delay     time.Duration
	createdAt atomic.Pointer[time.Time]
}

func (h *delayedSource) Watch(ctx context.Context, since revision.Revision, wait time.Duration, p discovery.Progress) (discovery.Changes, error) {
	changes, err := h.fakeSource.Watch(ctx, since, wait, p)
	if now := time.Now(); err == nil && changes.Revision == h.revision && h.createdAt.CompareAndSwap(nil, &now) {
		time.Sleep(h.delay)
	}
	return changes, err
}

var _ = Describe("a response of the source that is held up in transit", func() {
	It("confirms the endpoints no later than it was created", func() {
		store := &delayedSource{fakeSource: &fakeSource{state: state(5, 4, 3, "a")}, revision: 9, delay: time.Second}
		f := discovery.New(store, fakePeers{&fakeSource{unavailable: true}}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		listed := func() revision.Revision { return f.View().Fleet.Revision }
		Eventually(listed).Should(Equal(revision.Revision(5)))
		By("changing the endpoints during a watch")
		watches := func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.watches
		}
		Eventually(watches).Should(BeNumerically(">", 0))
		store.set(func(s *fakeSource) { s.state = state(9, 4, 3, "a", "b") })
		var first time.Time
		Eventually(func() revision.Revision {
			view := f.View()
			first = view.Confirmed
			return view.Fleet.Revision
		}).WithPolling(100 * time.Microsecond).Should(Equal(revision.Revision(9)))
		const slack = 20 * time.Millisecond
		Expect(first).To(BeTemporally("<=", store.createdAt.Load().Add(slack)))
	})
})
