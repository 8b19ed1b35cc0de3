package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pieceTimeout bounds the request for a piece, which takes 35 ms on an idle link of 10 Mbit/s.
	pieceTimeout = time.Second
	// maxHoldersTried bounds the number of peers tried in a row.
	maxHoldersTried = 4
	// minFetchBackoff and maxFetchBackoff bound the backoff after all peers were busy. It doubles
	// with each attempt, and a random delay of up to fetchJitter is added.
	minFetchBackoff = 20 * time.Millisecond
	maxFetchBackoff = 60 * time.Millisecond
	fetchJitter     = 40 * time.Millisecond
	// fetchPollInterval is the interval between checks while no document is known to be missing, or
	// while no peer has a recently confirmed first document.
	fetchPollInterval = 250 * time.Millisecond
)

// partialDocument is a compressed document of which some pieces were fetched. The rest may come
// from any peer with the same document.
type partialDocument struct {
	document packedDocument
	size     int
	at       time.Time
}

// complete reports whether all pieces have been fetched.
func (b *partialDocument) complete() bool { return b.size > 0 && len(b.document.data) == b.size }

// add appends a piece that was requested at the given time. A piece of a different document
// replaces the pieces so far.
func (b *partialDocument) add(p Piece, at time.Time) {
	if p.Digest != b.document.digest || p.Offset != len(b.document.data) {
		*b = partialDocument{document: packedDocument{digest: p.Digest}, size: p.Size}
		if p.Offset != 0 {
			return
		}
	}
	b.document.revision = p.Status.Revision
	b.document.data = append(b.document.data, p.Data...)
	b.at = at
}

// fetchDocuments fetches newer documents from peers.
func (f *Follower) fetchDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-f.documentWanted:
		case <-f.clock.After(fetchPollInterval):
		case <-ctx.Done():
		}
		f.fetchUntilNewest(ctx)
	}
}

// fetchUntilNewest fetches documents until no peer has a newer one.
func (f *Follower) fetchUntilNewest(ctx context.Context) {
	var b partialDocument
	pause := minFetchBackoff
	for f.lacksDocument() && ctx.Err() == nil {
		had := len(b.document.data)
		switch {
		case f.fetchDocument(ctx, &b) || len(b.document.data) > had:
			pause = minFetchBackoff
			continue
		case f.View().Document.Revision == 0:
			sleep(ctx, f.clock, fetchPollInterval)
		default:
			sleep(ctx, f.clock, pause+rand.N(fetchJitter))
			pause = min(2*pause, maxFetchBackoff)
		}
	}
}

// lacksDocument reports whether a peer has a newer document than this instance.
func (f *Follower) lacksDocument() bool {
	view := f.View()
	_, lacks := view.Lacking(f.clock.Now())
	return (lacks || view.Document.Revision == 0) && len(f.holders(view)) > 0
}

func (f *Follower) holders(view *View) []string {
	return f.peers.Holders(func(d DocumentID) bool { return !view.resolves(d) })
}

// fetchDocument tries a few peers and reports whether a document was activated.
func (f *Follower) fetchDocument(ctx context.Context, b *partialDocument) bool {
	holders := f.holders(f.View())
	for _, peer := range holders[:min(maxHoldersTried, len(holders))] {
		if f.fetchFrom(ctx, peer, b) {
			return true
		}
	}
	return false
}

// fetchFrom fetches the missing pieces from a peer.
func (f *Follower) fetchFrom(ctx context.Context, peer string, b *partialDocument) bool {
	for {
		at := f.clock.Now()
		request := nextPiece(f.View(), b)
		callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
		piece, err := f.peers.Piece(callCtx, peer, request)
		cancel()
		if err != nil {
			f.log.WithFields(logrus.Fields{"event": "piece_refused", "peer": peer, "offset": request.Offset, "ms": f.clock.Since(at).Milliseconds()}).Info(err)
			return false
		}
		if piece.Busy || len(piece.Data) == 0 {
			return false
		}
		b.add(piece, at)
		if b.complete() {
			return f.activateFetched(ctx, peer, b, piece.Status)
		}
	}
}

// nextPiece returns the request for the next piece. An instance without a document only accepts one
// that was recently confirmed to be the newest.
func nextPiece(view *View, b *partialDocument) PieceRequest {
	request := PieceRequest{NewerThan: view.resolvedRevision(), Version: view.InForce().Version, Digest: b.document.digest, Offset: len(b.document.data)}
	if view.Document.Revision == 0 {
		request.MaxAge = confirmationTTL
	}
	return request
}

// activateFetched verifies a complete document and puts it in force.
func (f *Follower) activateFetched(ctx context.Context, peer string, b *partialDocument, status DocumentStatus) bool {
	complete := *b
	*b = partialDocument{}
	document, err := complete.document.unpack()
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "piece_refused", "peer": peer, "offset": complete.size}).Warn(err)
		return false
	}
	f.documentCache.put(&complete.document)
	n := documentUpdate{document: document, status: status, confirmedAt: complete.at.Add(-status.Age), from: "peer"}
	n.table = f.compile(document, n.from)
	f.deliver(ctx, n)
	return n.table != nil
}
