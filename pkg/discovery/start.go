package discovery

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

const (
	// startPeerTimeout is how long an instance that has started waits for the response of a peer, and
	// maxStartPeers the number of peers that it asks.
	startPeerTimeout = 300 * time.Millisecond
	maxStartPeers    = 4
)

// askPeers asks a few peers what they have in force before this instance serves by what the source
// lists: the source may have been restored from an older copy. It asks them concurrently, so that peers
// that do not respond delay the instance by one timeout in total, and waits for all, because one of them
// may know a newer configuration than the others.
func (f *Follower) askPeers(ctx context.Context) {
	contacts := f.peers.Contacts()
	var calls sync.WaitGroup
	for _, n := range rand.Perm(len(contacts))[:min(maxStartPeers, len(contacts))] {
		calls.Go(func() { f.askPeer(ctx, contacts[n]) })
	}
	calls.Wait()
	f.deliver(ctx, peersAsked{})
}

// askPeer asks a peer for its status alone. A peer without a configuration knows nothing newer.
func (f *Follower) askPeer(ctx context.Context, peer string) {
	callCtx, cancel := context.WithTimeout(ctx, startPeerTimeout)
	defer cancel()
	at := f.clock.Now()
	piece, err := f.peers.Piece(callCtx, peer, PieceRequest{NewerThan: revision.Revision(math.MaxUint64), Version: math.MaxUint64})
	if err != nil || piece.Status.Revision == 0 {
		return
	}
	f.deliver(ctx, statusUpdate{status: piece.Status, at: at.Add(-piece.Status.Age)})
}

// peersAsked records that the peers were asked.
type peersAsked struct{}

func (peersAsked) apply(_ *Follower, view *View) func() {
	view.peersAsked = true
	return nil
}
