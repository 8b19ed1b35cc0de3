package discovery

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// watchWait is how long one watch waits. A cut that swallows its answer is
	// noticed after watchWait and answerSlack.
	watchWait   = 1500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// relayWatchWait is how long the watches of those wait that relay to others, and
	// relayWait is how long a call to a relay waits. What a relay tells that is older
	// than maxRelayAge is not relied on: changes may be as old as the watch that told of them, and
	// are confirmed a pause and another watch later; the rest is for the way.
	relayWatchWait = 400 * time.Millisecond
	relayWait      = 400 * time.Millisecond
	relayTimeout   = 200 * time.Millisecond
	maxRelayAge    = 2*relayWatchWait + watchPause + 150*time.Millisecond
	// readTimeout is how long the answer to a reading of everything may take to begin.
	readTimeout = time.Second
	// relayPause is the least time between two questions to relays.
	relayPause = 50 * time.Millisecond
	// peerPoll is the time between questions to peers while the source is silent. peerTimeout
	// bounds an answer, which may hold all endpoints: 1.7 MB of 12,000, 1.4 s at 10 Mbit/s. A peer
	// that is silent ends its connection sooner.
	peerPoll    = 300 * time.Millisecond
	peerTimeout = 3 * time.Second
	// readingFor is how long an answer of the source may take to come until peers are asked as well:
	// 0.8 MB of 3,000 endpoints take 0.7 s on an idle link of 10 Mbit/s.
	readingFor = 2 * time.Second
	// joining is how long an instance that starts waits, with what it has read, until it follows:
	// by then it has heard of the others, and of relays among them. Without it, of 295 that start
	// together each watches the source twice: 600 calls in the first two seconds.
	joining = time.Second
	// relayingFor is how long an instance takes itself to be a relay after it was asked.
	relayingFor = 5 * time.Second
)

// followEndpoints follows the endpoints, at a relay or at the source.
func (f *Follower) followEndpoints(ctx context.Context) {
	retry := newRetry()
	reached, anew, first := true, true, true
	for ctx.Err() == nil {
		begin := f.clock.Now()
		if !f.View().Confirmed.IsZero() && f.askRelays(ctx) {
			anew = false
			sleep(ctx, f.clock, relayPause-f.clock.Since(begin))
			continue
		}
		err := f.askSource(ctx, anew)
		switch {
		case err == nil:
			anew = false
			retry.Reset()
			reached = f.tellReached(reached, nil)
			sleep(ctx, f.clock, pauseAfter(first)-f.clock.Since(begin))
			first = false
		case errors.Is(err, ErrHistoryGone):
			f.log.WithFields(logrus.Fields{"event": "history_gone", "of": "endpoints", "revision": f.View().listed.Revision}).Info()
			anew = true
		case ctx.Err() == nil:
			reached = f.tellReached(reached, err)
			sleep(ctx, f.clock, retry.NextBackOff())
		}
	}
}

// pauseAfter is the least time from the beginning of a call that was answered to the next one.
func pauseAfter(first bool) time.Duration {
	if first {
		return joining
	}
	return watchPause
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	return retry
}

// tellReached logs a change of whether the source answers.
func (f *Follower) tellReached(before bool, err error) bool {
	now := err == nil
	if now == before {
		return now
	}
	if now {
		f.log.WithField("event", "source_regained").Info()
	} else {
		f.log.WithField("event", "source_lost").WithField("error", err.Error()).Warn()
	}
	return now
}

// askSource reads all endpoints, or waits for changes of those that the view has. What came
// is delivered though the time of its call is over: the next watch goes on after it.
func (f *Follower) askSource(ctx context.Context, anew bool) error {
	if anew {
		return f.readState(ctx)
	}
	wait := f.watchWait()
	callCtx, transfer := newTransfer(ctx, f.clock, wait+answerSlack)
	defer transfer.end()
	f.reading.Store(transfer)
	since := f.View().listed.Revision
	changes, err := f.source.Watch(callCtx, since, wait, transfer.progress)
	if err != nil {
		f.tellFailed("endpoints", "watch", transfer, err)
		return err
	}
	f.tellCalled("endpoints", "watch", transfer)
	n := changeNews{changes: changes, since: since, heard: transfer.confirmedAt(wait)}
	n.at = n.heard
	if len(changes.Endpoints) > 0 {
		// They may have been told at any time of the watch, and been held up since.
		n.at = transfer.begin
	}
	f.deliver(ctx, n)
	return nil
}

func (f *Follower) readState(ctx context.Context) error {
	callCtx, transfer := newTransfer(ctx, f.clock, readTimeout)
	defer transfer.end()
	f.reading.Store(transfer)
	state, err := f.source.State(callCtx, transfer.progress)
	if err != nil {
		f.tellFailed("endpoints", "read", transfer, err)
		return err
	}
	f.tellCalled("endpoints", "read", transfer)
	f.deliver(ctx, stateNews{state: state, at: transfer.begin, heard: transfer.begin})
	return nil
}

// tellFailed logs a call to the source that failed, and how far its answer had come.
func (f *Follower) tellFailed(of, call string, t *transfer, err error) {
	if errors.Is(err, ErrHistoryGone) {
		return
	}
	f.log.WithFields(f.callFields("source_call_failed", of, call, t)).Info(err)
}

// tellCalled logs a call to the source that was answered: each costs the source, which all share.
func (f *Follower) tellCalled(of, call string, t *transfer) {
	f.log.WithFields(f.callFields("source_call", of, call, t)).Info()
}

func (f *Follower) callFields(event, of, call string, t *transfer) logrus.Fields {
	return logrus.Fields{"event": event, "of": of, "call": call, "bytes": t.bytes.Load(), "ms": f.clock.Since(t.begin).Milliseconds()}
}

// watchWait is how long a watch waits: less while others rely on this instance.
func (f *Follower) watchWait() time.Duration {
	if until := f.relaying.Load(); until != nil && f.clock.Now().Before(*until) {
		return relayWatchWait
	}
	return watchWait
}

// askRelays takes what is new from a relay, and tells whether one gave it fresh enough.
func (f *Follower) askRelays(ctx context.Context) bool {
	for _, relay := range f.peers.Relays() {
		if f.askRelay(ctx, relay) {
			return true
		}
	}
	return false
}

func (f *Follower) askRelay(ctx context.Context, relay string) bool {
	view := f.View()
	selection := RelaySelect{Since: view.listed.Revision, Document: view.known(), Evacuations: view.Evacuations(), Rollouts: view.Rollouts(), Wait: relayWait}
	callCtx, cancel := context.WithTimeout(ctx, relayWait+relayTimeout)
	told, err := f.peers.Relay(callCtx, relay, selection)
	cancel()
	now := f.clock.Now()
	if err == nil {
		f.deliver(ctx, markNews{mark: told.Mark, at: now.Add(-told.Mark.Age)})
	}
	if err == nil && told.Gone {
		err = ErrHistoryGone
	}
	if err != nil || told.Age > maxRelayAge {
		f.log.WithFields(logrus.Fields{"event": "relay_refused", "relay": relay, "revision": selection.Since, "age_ms": told.Age.Milliseconds()}).Info(err)
		return false
	}
	confirmed := now.Add(-told.Age)
	f.deliver(ctx, changeNews{changes: told.Changes, since: selection.Since, at: confirmed, heard: confirmed})
	if told.Mark.Age <= maxMarkAge {
		f.relayed.Store(&now)
	}
	return true
}

// followPeers asks peers while the source does not confirm the endpoints.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, f.clock, peerPoll)
		view := f.View()
		if since(view.heard, f.clock.Now()) >= confirmedFor && !f.sourceTells() {
			f.askPeer(ctx, view)
		}
	}
}

// sourceTells tells whether the source is answering a call that was begun not long ago. Peers would
// send the same over the same link.
func (f *Follower) sourceTells() bool {
	now := f.clock.Now()
	t := f.reading.Load()
	return t != nil && now.Sub(t.begin) < readingFor && t.coming(now, peerPoll)
}

// askPeer takes what a peer knows. One that knows more is listened to however old its
// knowledge is; who knows nothing yet begins with what is fresh.
func (f *Follower) askPeer(ctx context.Context, view *View) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	at := f.clock.Now()
	known, err := f.peers.State(callCtx, view.listed.Revision)
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "peer_refused", "revision": view.listed.Revision}).Info(err)
		return
	}
	switch confirmed := at.Add(-known.Age); {
	case known.Same:
		f.deliver(ctx, changeNews{changes: Changes{Revision: known.State.Revision}, since: known.State.Revision, at: confirmed, heard: confirmed})
	case known.Age <= confirmedFor || !view.Confirmed.IsZero():
		f.deliver(ctx, stateNews{state: known.State, at: confirmed, heard: confirmed})
	}
	f.deliver(ctx, markNews{mark: known.Mark, at: at.Add(-known.Mark.Age)})
}
