package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

const (
	// relayConfirmationTTL is how long a relay's confirmation that its document is the newest is
	// valid. maxStatusAge bounds the age of the source's confirmation that the relay reports; it is
	// larger because the relay may be receiving a large response.
	relayConfirmationTTL = time.Second
	maxStatusAge         = 3 * time.Second
	// sourceFallbackDelay is how long an instance that relies on relays searches its peers for a
	// missing document before it reads the source. maxSourceJitter bounds the random delay added to
	// it, which spreads the reads.
	sourceFallbackDelay = 900 * time.Millisecond
	maxSourceJitter     = 400 * time.Millisecond
	// relayDocumentTimeout is the timeout of a document watch while this instance acts as a relay.
	// It keeps the documents of the instances behind the relay confirmed within two seconds.
	relayDocumentTimeout = time.Second
	// documentPollInterval is the interval between checks whether the source has to be watched.
	documentPollInterval = 100 * time.Millisecond
)

// followDocument watches the source for documents unless relays do.
func (f *Follower) followDocument(ctx context.Context) {
	retry := newRetry()
	fullRead, first := true, true
	for ctx.Err() == nil {
		if !f.watchesDocument() {
			sleep(ctx, f.clock, documentPollInterval)
			continue
		}
		begin := f.clock.Now()
		err := f.readOrWatchDocument(ctx, fullRead)
		switch {
		case err == nil:
			fullRead = false
			retry.Reset()
			sleep(ctx, f.clock, f.documentWatchInterval(first)-f.clock.Since(begin))
			first = first && f.View().Table == nil
		case errors.Is(err, ErrHistoryGone):
			f.log.WithFields(logrus.Fields{"event": "history_gone", "of": "document", "revision": f.View().DocumentAt}).Info()
			fullRead = true
		default:
			sleep(ctx, f.clock, retry.NextBackOff())
		}
	}
}

// watchesDocument reports whether this instance has to watch the source for documents: it has no
// relay, no relay confirms that its document is the newest, or no peer provides a document that is
// known to exist.
func (f *Follower) watchesDocument() bool {
	view, now := f.View(), f.clock.Now()
	if lacking, lacks := view.Lacking(now); lacks && lacking > sourceFallbackDelay+f.sourceJitter {
		return true
	}
	if view.ordersRevision() < view.DocumentAt {
		// The peer that provided the document did not provide all orders.
		return true
	}
	relayed := f.lastRelayed.Load()
	return view.Document.Revision == 0 || relayed == nil || now.Sub(*relayed) > relayConfirmationTTL || len(f.peers.Relays()) == 0
}

// documentWatchInterval returns the minimum time between the starts of two successful calls. After
// startup with a document, it is long enough for a relay to confirm that document first, so that
// instances which start together do not all watch the source.
func (f *Follower) documentWatchInterval(first bool) time.Duration {
	if first && f.View().Table != nil {
		return joinDelay + relayTimeout + relayResponseGrace
	}
	return minWatchInterval
}

// readOrWatchDocument reads the newest document or watches for one. The call is canceled when a
// peer provides a newer document.
func (f *Follower) readOrWatchDocument(ctx context.Context, fullRead bool) error {
	view := f.View()
	_, lacks := view.Lacking(f.clock.Now())
	call := f.watchDocument
	if fullRead || lacks || view.ordersRevision() == 0 {
		// A watch returns every missed version, a read only the newest one.
		call = f.readDocument
	}
	err := call(ctx, view)
	if err != nil && f.View().InForce() != view.InForce() {
		return nil
	}
	return err
}

func (f *Follower) readDocument(ctx context.Context, view *View) error {
	callCtx, transfer := newTransfer(ctx, f.clock, readTimeout)
	defer transfer.end()
	go f.cancelWhenReplaced(callCtx, transfer, view.InForce())
	newest, err := f.source.Document(callCtx, transfer.progress)
	if err != nil {
		f.logFailedCall("document", "read", transfer, err)
		return err
	}
	f.logCall("document", "read", transfer, newest.At)
	f.deliverDocument(ctx, newest, 0, transfer.begin)
	return nil
}

func (f *Follower) watchDocument(ctx context.Context, view *View) error {
	wait := f.documentWatchTimeout()
	callCtx, transfer := newTransfer(ctx, f.clock, wait+responseGrace)
	defer transfer.end()
	go f.cancelWhenReplaced(callCtx, transfer, view.InForce())
	since := view.watchRevision()
	newest, err := f.source.WatchDocument(callCtx, since, wait, transfer.progress)
	if err != nil {
		f.logFailedCall("document", "watch", transfer, err)
		return err
	}
	f.logCall("document", "watch", transfer, newest.At)
	f.deliverDocument(ctx, newest, since, transfer.confirmedAt(wait))
	return nil
}

// documentWatchTimeout returns the timeout of a document watch, which is shorter while this
// instance acts as a relay.
func (f *Follower) documentWatchTimeout() time.Duration {
	if f.watchTimeout() == relayWatchTimeout {
		return relayDocumentTimeout
	}
	return watchTimeout
}

// cancelWhenReplaced cancels a call once another document than the given one is in force.
func (f *Follower) cancelWhenReplaced(ctx context.Context, t *transfer, inForce DocumentID) {
	for {
		changed := f.history.changed()
		if f.View().InForce() != inForce {
			t.cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// deliverDocument delivers a response of the source to the view. The response contains the orders
// given after since, or all orders in force if since is 0.
func (f *Follower) deliverDocument(ctx context.Context, newest LatestDocument, since revision.Revision, at time.Time) {
	f.logInvalidEvacuations(newest.Evacuations, newest.At)
	f.logInvalidRollouts(newest.Rollouts)
	view := f.View()
	n := documentUpdate{document: newest.Document, confirmedAt: at, from: "source", orders: orders{since: since, at: newest.At, evacuations: newest.Evacuations, rollouts: newest.Rollouts}}
	n.status = DocumentStatus{Revision: max(newest.Document.Revision, view.Document.Revision), At: newest.At}
	if newest.Document.Revision > max(view.Document.Revision, view.rejected) {
		n.table = f.compile(newest.Document, n.from)
	}
	f.deliver(ctx, n)
}
