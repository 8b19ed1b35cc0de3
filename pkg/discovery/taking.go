package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pieceTimeout bounds a call for one piece: 35 ms on an idle link of 10 Mbit/s.
	pieceTimeout = time.Second
	// holdersAsked bounds the peers that are asked in a row.
	holdersAsked = 4
	// takePause and longestTakePause bound the pause until peers are asked anew that all were
	// busy: each is twice as long as the one before, and spread by takeJitter.
	takePause        = 20 * time.Millisecond
	longestTakePause = 60 * time.Millisecond
	takeJitter       = 40 * time.Millisecond
	// takePoll is the time between looks while nothing is known to be lacked, or nobody is
	// trusted with the first document.
	takePoll = 250 * time.Millisecond
)

// begun is a packed document of which some pieces have come. The rest may come from any
// peer that has the same.
type begun struct {
	parcel parcel
	size   int
	at     time.Time
}

// whole tells whether all pieces have come.
func (b *begun) whole() bool { return b.size > 0 && len(b.parcel.data) == b.size }

// add takes a piece in that was asked for at a time. One of another document begins anew.
func (b *begun) add(p Piece, at time.Time) {
	if p.Digest != b.parcel.digest || p.Offset != len(b.parcel.data) {
		*b = begun{parcel: parcel{digest: p.Digest}, size: p.Size}
		if p.Offset != 0 {
			return
		}
	}
	b.parcel.revision = p.Mark.Revision
	b.parcel.data = append(b.parcel.data, p.Data...)
	b.at = at
}

// takeDocuments takes documents from peers that have newer ones than this instance.
func (f *Follower) takeDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-f.wanted:
		case <-f.clock.After(takePoll):
		case <-ctx.Done():
		}
		f.takeUntilNewest(ctx)
	}
}

// takeUntilNewest takes documents until no peer has a newer one.
func (f *Follower) takeUntilNewest(ctx context.Context) {
	var b begun
	pause := takePause
	for f.lacksDocument() && ctx.Err() == nil {
		had := len(b.parcel.data)
		switch {
		case f.takeDocument(ctx, &b) || len(b.parcel.data) > had:
			pause = takePause
			continue
		case f.View().Document.Revision == 0:
			sleep(ctx, f.clock, takePoll)
		default:
			sleep(ctx, f.clock, pause+rand.N(takeJitter))
			pause = min(2*pause, longestTakePause)
		}
	}
}

// lacksDocument tells whether some peer has a newer document than this instance.
func (f *Follower) lacksDocument() bool {
	view := f.View()
	_, lacks := view.Lacking(f.clock.Now())
	return (lacks || view.Document.Revision == 0) && len(f.holders(view)) > 0
}

func (f *Follower) holders(view *View) []string { return f.peers.Holders(view.settled()) }

// takeDocument asks a few peers, and tells whether a document was taken.
func (f *Follower) takeDocument(ctx context.Context, b *begun) bool {
	holders := f.holders(f.View())
	for _, peer := range holders[:min(holdersAsked, len(holders))] {
		if f.takeFrom(ctx, peer, b) {
			return true
		}
	}
	return false
}

// takeFrom takes the pieces that are missing from a peer.
func (f *Follower) takeFrom(ctx context.Context, peer string, b *begun) bool {
	for {
		at := f.clock.Now()
		selection := selectPiece(f.View(), b)
		callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
		piece, err := f.peers.Piece(callCtx, peer, selection)
		cancel()
		if err != nil {
			f.log.WithFields(logrus.Fields{"event": "piece_refused", "peer": peer, "offset": selection.Offset, "ms": f.clock.Since(at).Milliseconds()}).Info(err)
			return false
		}
		if piece.Busy || len(piece.Data) == 0 {
			return false
		}
		b.add(piece, at)
		if b.whole() {
			return f.open(ctx, peer, b, piece.Mark)
		}
	}
}

// selectPiece says which piece is wanted next: one of any newer document, or one of the first
// document, if that was known to be the newest a while ago.
func selectPiece(view *View, b *begun) PieceSelect {
	selection := PieceSelect{NewerThan: view.settled(), Digest: b.parcel.digest, Offset: len(b.parcel.data)}
	if view.Document.Revision == 0 {
		selection.MaxAge = confirmedFor
	}
	return selection
}

// open puts a document in force that has come whole.
func (f *Follower) open(ctx context.Context, peer string, b *begun, mark Mark) bool {
	taken := *b
	*b = begun{}
	document, err := taken.parcel.unpack()
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "piece_refused", "peer": peer, "offset": taken.size}).Warn(err)
		return false
	}
	f.shelf.put(&taken.parcel)
	n := documentNews{document: document, mark: mark, at: taken.at.Add(-mark.Age), from: "peer"}
	n.table = f.compile(document, n.from)
	f.deliver(ctx, n)
	return n.table != nil
}
