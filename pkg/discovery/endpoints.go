package discovery

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

const (
	// watchTimeout is the timeout of a watch. A partition that drops the response is detected after
	// watchTimeout plus responseGrace.
	watchTimeout  = 1500 * time.Millisecond
	responseGrace = 500 * time.Millisecond
	// relayWatchTimeout is the watch timeout of an instance that acts as a relay, and relayTimeout
	// the timeout of a request to a relay. Data older than maxRelayAge is rejected: a change may be
	// as old as the watch that returned it and is confirmed one interval and one watch later; the
	// remainder allows for network latency.
	relayWatchTimeout  = 400 * time.Millisecond
	relayTimeout       = 400 * time.Millisecond
	relayResponseGrace = 200 * time.Millisecond
	maxRelayAge        = 2*relayWatchTimeout + minWatchInterval + 150*time.Millisecond
	// readTimeout bounds the time until the response to a full read starts to arrive.
	readTimeout = time.Second
	// minRelayInterval is the minimum time between two requests to relays.
	minRelayInterval = 50 * time.Millisecond
	// peerPollInterval is the interval of requests to peers while the source does not respond.
	// peerTimeout bounds a response, which may contain all endpoints: 12,000 endpoints are 1.7 MB
	// and take 1.4 s at 10 Mbit/s. A peer that stops responding is detected earlier, by its
	// connection.
	peerPollInterval = 300 * time.Millisecond
	peerTimeout      = 3 * time.Second
	// sourceReadGrace is how long a response of the source may take before peers are queried as
	// well: 3,000 endpoints are 0.8 MB and take 0.7 s on an idle link of 10 Mbit/s.
	sourceReadGrace = 2 * time.Second
	// joinDelay is how long an instance waits after startup, once it has read the endpoints, before
	// it watches for changes. By then it has discovered relays, so that instances which start
	// together do not all watch the source: 295 instances made 600 calls in the first two seconds.
	joinDelay = time.Second
	// relayRoleTTL is how long an instance acts as a relay after the last request.
	relayRoleTTL = 5 * time.Second
)

// followEndpoints keeps the endpoints up to date from a relay or from the source.
func (f *Follower) followEndpoints(ctx context.Context) {
	retry := newRetry()
	reached, fullRead, first := true, true, true
	for ctx.Err() == nil {
		begin := f.clock.Now()
		if !f.View().Confirmed.IsZero() && f.requestFromRelays(ctx) {
			fullRead = false
			f.failedCalls.Store(0)
			sleep(ctx, f.clock, minRelayInterval-f.clock.Since(begin))
			continue
		}
		err := f.requestFromSource(ctx, fullRead, !reached)
		switch {
		case err == nil:
			fullRead = false
			f.failedCalls.Store(0)
			retry.Reset()
			reached = f.logReachability(reached, nil)
			sleep(ctx, f.clock, watchInterval(first)-f.clock.Since(begin))
			first = false
		case errors.Is(err, ErrHistoryGone):
			f.log.WithFields(logrus.Fields{"event": "history_gone", "of": "endpoints", "revision": f.View().listed.Revision}).Info()
			fullRead = true
		case ctx.Err() == nil:
			f.failedCalls.Add(1)
			reached = f.logReachability(reached, err)
			sleep(ctx, f.clock, retry.NextBackOff())
		}
	}
}

// watchInterval returns the minimum time between the starts of two successful calls.
func watchInterval(first bool) time.Duration {
	if first {
		return joinDelay
	}
	return minWatchInterval
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	return retry
}

// logReachability logs transitions between reachable and unreachable, and returns the new state.
func (f *Follower) logReachability(before bool, err error) bool {
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

// requestFromSource reads all endpoints or watches for changes since the view's revision. A
// response is delivered even after the call has timed out, because the next watch continues from
// it. After a failed call the watch does not wait for changes, so that it tells at once whether the source
// is reachable on a new connection.
func (f *Follower) requestFromSource(ctx context.Context, fullRead, afterFailure bool) error {
	if fullRead {
		return f.readState(ctx)
	}
	wait := f.watchTimeout()
	if afterFailure {
		wait = 0
	}
	callCtx, transfer := newTransfer(ctx, f.clock, wait+responseGrace)
	defer transfer.end()
	f.endpointCall.Store(transfer)
	since := f.View().listed.Revision
	changes, err := f.source.Watch(callCtx, since, wait, transfer.progress)
	if err != nil {
		f.logFailedCall("endpoints", "watch", transfer, err)
		return err
	}
	f.logCall("endpoints", "watch", transfer, changes.Revision)
	n := changesUpdate{changes: changes, since: since, heardAt: transfer.confirmedAt(wait)}
	n.confirmedAt = n.heardAt
	if len(changes.Endpoints) > 0 {
		// The changes may have been sent at any time during the watch and delayed since.
		n.confirmedAt = transfer.begin
	}
	f.deliver(ctx, n)
	return nil
}

func (f *Follower) readState(ctx context.Context) error {
	callCtx, transfer := newTransfer(ctx, f.clock, readTimeout)
	defer transfer.end()
	f.endpointCall.Store(transfer)
	state, err := f.source.State(callCtx, transfer.progress)
	if err != nil {
		f.logFailedCall("endpoints", "read", transfer, err)
		return err
	}
	f.logCall("endpoints", "read", transfer, state.Revision)
	f.deliver(ctx, endpointsUpdate{state: state, confirmedAt: transfer.begin, heardAt: transfer.begin})
	return nil
}

// logFailedCall logs a failed call to the source and how much of the response had arrived.
func (f *Follower) logFailedCall(of, call string, t *transfer, err error) {
	if errors.Is(err, ErrHistoryGone) {
		return
	}
	f.log.WithFields(f.callFields("source_call_failed", of, call, t)).Info(err)
}

// logCall logs a successful call to the source and the revision of its response.
func (f *Follower) logCall(of, call string, t *transfer, at revision.Revision) {
	f.log.WithFields(f.callFields("source_call", of, call, t)).WithField("revision", at).Info()
}

// logOlder logs and counts a response that is older than what this instance knows and was dropped.
func (f *Follower) logOlder(of string, at, known revision.Revision) {
	f.olderResponses.Add(1)
	f.log.WithFields(logrus.Fields{"event": "source_older", "of": of, "revision": at, "known": known}).Warn("the response of the source is older than the known state and was dropped")
}

func (f *Follower) callFields(event, of, call string, t *transfer) logrus.Fields {
	return logrus.Fields{"event": event, "of": of, "call": call, "bytes": t.bytes.Load(), "ms": f.clock.Since(t.begin).Milliseconds()}
}

// watchTimeout returns the timeout of an endpoint watch, which is shorter while this instance acts
// as a relay.
func (f *Follower) watchTimeout() time.Duration {
	if until := f.relayingUntil.Load(); until != nil && f.clock.Now().Before(*until) {
		return relayWatchTimeout
	}
	return watchTimeout
}

// requestFromRelays requests changes from the relays in order, and reports whether one of them
// provided sufficiently recent data.
func (f *Follower) requestFromRelays(ctx context.Context) bool {
	for _, relay := range f.peers.Relays() {
		if f.requestFromRelay(ctx, relay) {
			return true
		}
	}
	return false
}

func (f *Follower) requestFromRelay(ctx context.Context, relay string) bool {
	view := f.View()
	request := RelayRequest{Since: view.listed.Revision, Document: view.known(), Evacuations: view.Evacuations(), Rollouts: view.Rollouts(), Wait: relayTimeout}
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout+relayResponseGrace)
	response, err := f.peers.Relay(callCtx, relay, request)
	cancel()
	now := f.clock.Now()
	if err == nil {
		f.deliver(ctx, statusUpdate{status: response.Status, at: now.Add(-response.Status.Age)})
	}
	if err == nil && response.Gone {
		err = ErrHistoryGone
	}
	if err != nil || response.Age > maxRelayAge {
		f.log.WithFields(logrus.Fields{"event": "relay_refused", "relay": relay, "revision": request.Since, "age_ms": response.Age.Milliseconds()}).Info(err)
		return false
	}
	confirmed := now.Add(-response.Age)
	f.deliver(ctx, changesUpdate{changes: response.Changes, since: request.Since, confirmedAt: confirmed, heardAt: confirmed})
	if response.Status.Age <= maxStatusAge {
		f.lastRelayed.Store(&now)
	}
	return true
}

// followPeers queries peers while the source does not confirm the endpoints.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, f.clock, peerPollInterval)
		view := f.View()
		if since(view.lastHeard, f.clock.Now()) >= confirmationTTL && !f.sourceResponding() {
			f.requestFromPeer(ctx, view)
		}
	}
}

// sourceResponding reports whether a recent call to the source is still receiving data. Peers would
// send the same data over the same link.
func (f *Follower) sourceResponding() bool {
	now := f.clock.Now()
	t := f.endpointCall.Load()
	return t != nil && now.Sub(t.begin) < sourceReadGrace && t.receiving(now, peerPollInterval)
}

// requestFromPeer requests the endpoints from a peer. Newer endpoints are accepted whatever their
// age, except by an instance that has none yet: it only accepts recently confirmed ones.
func (f *Follower) requestFromPeer(ctx context.Context, view *View) {
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
		f.deliver(ctx, changesUpdate{changes: Changes{Revision: known.State.Revision}, since: known.State.Revision, confirmedAt: confirmed, heardAt: confirmed})
	case known.Age <= confirmationTTL || !view.Confirmed.IsZero():
		f.deliver(ctx, endpointsUpdate{state: known.State, confirmedAt: confirmed, heardAt: confirmed})
	}
	f.deliver(ctx, statusUpdate{status: known.Status, at: at.Add(-known.Status.Age)})
}
