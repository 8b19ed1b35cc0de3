package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// relayedFor is how long a relay's word counts that its document is the newest, and
	// maxMarkAge how long before it the source may have confirmed that: the relay may be
	// taking in a large answer, which others need not do as well.
	relayedFor = time.Second
	maxMarkAge = 3 * time.Second
	// sourceAfter is how long an instance that leaves the watching to relays looks among its
	// peers for a document that it lacks, until it reads the source; longestHesitation is how
	// much longer some wait, so that not all read it at once.
	sourceAfter       = 900 * time.Millisecond
	longestHesitation = 400 * time.Millisecond
	// relayDocumentWait is how long a relay's watch of documents waits: with the way to those who
	// rely on it, their documents are then confirmed within two seconds.
	relayDocumentWait = time.Second
	// documentPoll is the time between looks whether the source is to be watched.
	documentPoll = 100 * time.Millisecond
)

// followDocument watches the source for documents, unless relays do.
func (f *Follower) followDocument(ctx context.Context) {
	retry := newRetry()
	anew, first := true, true
	for ctx.Err() == nil {
		if !f.watchesDocument() {
			sleep(ctx, f.clock, documentPoll)
			continue
		}
		begin := f.clock.Now()
		err := f.askForDocument(ctx, anew)
		switch {
		case err == nil:
			anew = false
			retry.Reset()
			sleep(ctx, f.clock, f.documentPause(first)-f.clock.Since(begin))
			first = first && f.View().Table == nil
		case errors.Is(err, ErrHistoryGone):
			f.log.WithFields(logrus.Fields{"event": "history_gone", "of": "document", "revision": f.View().DocumentAt}).Info()
			anew = true
		default:
			sleep(ctx, f.clock, retry.NextBackOff())
		}
	}
}

// watchesDocument tells whether this instance watches the source for documents: it has no
// relays, none of them tells that its document is the newest, or no peer gives one that is
// known to exist.
func (f *Follower) watchesDocument() bool {
	view, now := f.View(), f.clock.Now()
	if lacking, lacks := view.Lacking(now); lacks && lacking > sourceAfter+f.hesitation {
		return true
	}
	if view.knownOrders() < view.DocumentAt {
		// Those who told of the document did not tell of all orders.
		return true
	}
	relayed := f.relayed.Load()
	return view.Document.Revision == 0 || relayed == nil || now.Sub(*relayed) > relayedFor || len(f.peers.Relays()) == 0
}

// documentPause is the least time from the beginning of a call that was answered to the next one. An
// instance that starts with a document waits until a relay may have told it that there is none newer:
// else of 295 that come back together each watches the source once more.
func (f *Follower) documentPause(first bool) time.Duration {
	if first && f.View().Table != nil {
		return joining + relayWait + relayTimeout
	}
	return watchPause
}

// askForDocument reads the newest document, or waits for one. The call is given up when a
// peer gives a newer one meanwhile.
func (f *Follower) askForDocument(ctx context.Context, anew bool) error {
	view := f.View()
	_, lacks := view.Lacking(f.clock.Now())
	ask := f.watchDocument
	if anew || lacks || view.knownOrders() == 0 {
		// The answer to a watch would hold every version that was missed; this one has the newest alone.
		ask = f.readDocument
	}
	err := ask(ctx, view)
	if err != nil && f.View().Document.Revision > view.Document.Revision {
		return nil
	}
	return err
}

// readDocument reads the newest document.
func (f *Follower) readDocument(ctx context.Context, view *View) error {
	callCtx, transfer := newTransfer(ctx, f.clock, readTimeout)
	defer transfer.end()
	go f.endWhenNewer(callCtx, transfer, view.Document.Revision)
	newest, err := f.source.Document(callCtx, transfer.progress)
	if err != nil {
		f.tellFailed("document", "read", transfer, err)
		return err
	}
	f.tellCalled("document", "read", transfer)
	f.takeIn(ctx, newest, 0, transfer.begin)
	return nil
}

// watchDocument waits for a document.
func (f *Follower) watchDocument(ctx context.Context, view *View) error {
	wait := f.documentWait()
	callCtx, transfer := newTransfer(ctx, f.clock, wait+answerSlack)
	defer transfer.end()
	go f.endWhenNewer(callCtx, transfer, view.Document.Revision)
	since := view.ordersAt()
	newest, err := f.source.WatchDocument(callCtx, since, wait, transfer.progress)
	if err != nil {
		f.tellFailed("document", "watch", transfer, err)
		return err
	}
	f.tellCalled("document", "watch", transfer)
	f.takeIn(ctx, newest, since, transfer.confirmedAt(wait))
	return nil
}

// documentWait is how long a watch of documents waits: less while others rely on this instance.
func (f *Follower) documentWait() time.Duration {
	if f.watchWait() == relayWatchWait {
		return relayDocumentWait
	}
	return watchWait
}

// endWhenNewer ends a call when a document is in force that is newer than a revision.
func (f *Follower) endWhenNewer(ctx context.Context, t *transfer, revision uint64) {
	for {
		changed := f.history.changed()
		if f.View().Document.Revision > revision {
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

// takeIn delivers what the source told: a document, or that there is no newer one; and all
// orders that were given since a revision, or if that is 0 all that are in force.
func (f *Follower) takeIn(ctx context.Context, newest Newest, since uint64, at time.Time) {
	f.refuseMalformed(newest.Evacuations, newest.At)
	f.refuseRollouts(newest.Rollouts)
	view := f.View()
	n := documentNews{document: newest.Document, at: at, from: "source", orders: orders{since: since, at: newest.At, given: newest.Evacuations, rollouts: newest.Rollouts}}
	n.mark = Mark{Revision: max(newest.Document.Revision, view.Document.Revision), At: newest.At}
	if newest.Document.Revision > max(view.Document.Revision, view.refused) {
		n.table = f.compile(newest.Document, n.from)
	}
	f.deliver(ctx, n)
}
