package discovery_test

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

var _ = Describe("a follower that starts while its source lists an older copy", func() {
	It("asks its peers and never serves by the older document", func() {
		source, peers := &fakeSource{}, &fakeSource{contacts: []string{"peer"}}
		source.set(func(s *fakeSource) { s.state = state(revision.At(1, 12), revision.At(1, 11), 3, "a") })
		peers.set(func(s *fakeSource) { s.state = state(14, 14, 5, "a") })
		f := discovery.New(source, fakePeers{peers}, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		Eventually(func(g Gomega) {
			view := f.View()
			if view.Complete() && !view.Behind(time.Now()) {
				Expect(view.Table.Version).To(Equal(uint64(5)))
			}
			g.Expect(view.Complete()).To(BeTrue())
			g.Expect(view.Table.Version).To(Equal(uint64(5)))
		}).WithPolling(100 * time.Microsecond).Should(Succeed())
	})
})

// pendingPeers answers the question of an instance that starts once asked is closed, however long that
// takes.
type pendingPeers struct {
	fakePeers
	asked chan struct{}
}

func (p pendingPeers) Piece(context.Context, string, discovery.PieceRequest) (discovery.Piece, error) {
	<-p.asked
	return discovery.Piece{}, errUnavailable
}

// pendingEndpoints is a source that lists its endpoints once listed is closed.
type pendingEndpoints struct {
	*fakeSource
	listed chan struct{}
}

func (s pendingEndpoints) State(ctx context.Context, progress discovery.Progress) (discovery.State, error) {
	select {
	case <-s.listed:
	case <-ctx.Done():
		return discovery.State{}, ctx.Err()
	}
	return s.fakeSource.State(ctx, progress)
}

var _ = Describe("the signal of the first view", func() {
	var (
		source pendingEndpoints
		answer func()
		f      *discovery.Follower
	)

	BeforeEach(func() {
		source = pendingEndpoints{&fakeSource{}, make(chan struct{})}
		source.set(func(s *fakeSource) { s.state = state(9, 8, 3, "a") })
		peers := pendingPeers{fakePeers{&fakeSource{contacts: []string{"peer"}, unavailable: true}}, make(chan struct{})}
		answer = sync.OnceFunc(func() { close(peers.asked) })
		// The clock stands still, so that the call to the peer does not time out.
		f = discovery.New(source, peers, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		DeferCleanup(answer)
		Eventually(func() bool { return f.View().Table != nil }).Should(BeTrue())
	})

	It("is not given before the peers have been asked", func() {
		close(source.listed)
		Eventually(func() int { return len(f.View().Fleet.Ready("s")) }).Should(Equal(1))
		Consistently(f.Loaded()).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		answer()
		Eventually(f.Loaded()).Should(BeClosed())
		Expect(f.View().Complete()).To(BeTrue())
	})

	It("is not given before the endpoints are known", func() {
		answer()
		Eventually(func() bool { return f.View().Complete() }).Should(BeTrue())
		Consistently(f.Loaded()).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		close(source.listed)
		Eventually(f.Loaded()).Should(BeClosed())
		Expect(f.View().Fleet.Ready("s")).To(HaveLen(1))
	})
})

// contactPeers are peers that answer the question of an instance that starts in different ways. The state
// of fakePeers is what the others fetch.
type contactPeers struct {
	fakePeers
	answers map[string]func(ctx context.Context) (discovery.Piece, error)
}

func (p contactPeers) Piece(ctx context.Context, peer string, request discovery.PieceRequest) (discovery.Piece, error) {
	if answer := p.answers[peer]; answer != nil {
		return answer(ctx)
	}
	return p.fakePeers.Piece(ctx, peer, request)
}

// silent does not respond until the call times out.
func silent(ctx context.Context) (discovery.Piece, error) {
	<-ctx.Done()
	return discovery.Piece{}, ctx.Err()
}

var _ = Describe("the question of an instance that starts to its peers", func() {
	// peerTimeout is how long a peer may take to respond.
	const peerTimeout = 300 * time.Millisecond
	begin := func(source *fakeSource, peers contactPeers) *discovery.Follower {
		f := discovery.New(source, peers, clockwork.NewRealClock(), logging.Discard().For("discovery"))
		var t tomb.Tomb
		t.Go(func() error { return f.Run(&t) })
		DeferCleanup(func() {
			t.Kill(nil)
			_ = t.Wait()
		})
		return f
	}

	It("takes one timeout, however many do not respond", func() {
		source := &fakeSource{state: state(9, 8, 3, "a")}
		peers := contactPeers{fakePeers{&fakeSource{contacts: []string{"a", "b", "c", "d"}}}, map[string]func(context.Context) (discovery.Piece, error){"a": silent, "b": silent, "c": silent, "d": silent}}
		at := time.Now()
		f := begin(source, peers)
		Eventually(f.Loaded()).Should(BeClosed())
		Expect(time.Since(at)).To(And(BeNumerically(">=", peerTimeout), BeNumerically("<", 3*peerTimeout)))
	})

	It("is not delayed by peers that know nothing yet or refuse connections", func() {
		nothing := func(context.Context) (discovery.Piece, error) { return discovery.Piece{}, nil }
		refuse := func(context.Context) (discovery.Piece, error) { return discovery.Piece{}, errUnavailable }
		peers := contactPeers{fakePeers{&fakeSource{contacts: []string{"a", "b"}}}, map[string]func(context.Context) (discovery.Piece, error){"a": nothing, "b": refuse}}
		at := time.Now()
		f := begin(&fakeSource{state: state(9, 8, 3, "a")}, peers)
		Eventually(f.Loaded()).Should(BeClosed())
		Expect(time.Since(at)).To(BeNumerically("<", peerTimeout))
	})

	It("is not ended by a peer that has only the older copy while another knows a newer configuration", func() {
		older, newer := state(revision.At(1, 12), revision.At(1, 11), 3, "a"), state(14, 14, 5, "a")
		outdated := fakePeers{&fakeSource{state: older}}
		peers := contactPeers{fakePeers{&fakeSource{state: newer, contacts: []string{"outdated", "slow"}}}, nil}
		peers.answers = map[string]func(context.Context) (discovery.Piece, error){
			"outdated": func(ctx context.Context) (discovery.Piece, error) {
				return outdated.Piece(ctx, "", discovery.PieceRequest{NewerThan: math.MaxUint64, Version: math.MaxUint64})
			},
			"slow": func(ctx context.Context) (discovery.Piece, error) {
				time.Sleep(peerTimeout / 3)
				return peers.fakePeers.Piece(ctx, "", discovery.PieceRequest{NewerThan: math.MaxUint64, Version: math.MaxUint64})
			},
		}
		f := begin(&fakeSource{state: older}, peers)
		Eventually(func(g Gomega) {
			view := f.View()
			if view.Complete() && !view.Behind(time.Now()) {
				Expect(view.Table.Version).To(Equal(uint64(5)))
			}
			g.Expect(view.Complete()).To(BeTrue())
			g.Expect(view.Table.Version).To(Equal(uint64(5)))
		}).WithPolling(100 * time.Microsecond).Should(Succeed())
	})
})
