package discovery_test

import (
	"context"
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
