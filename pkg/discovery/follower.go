package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// watchWait is how long one watch waits. A cut that swallows its answer is
	// noticed after watchWait and answerSlack.
	watchWait   = 1500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// relayWatchWait is how long the watches of those wait that relay to others, and
	// relayWait is how long a call to a relay waits. What a relay tells that is older
	// than maxRelayAge is not relied on.
	relayWatchWait = 400 * time.Millisecond
	relayWait      = 400 * time.Millisecond
	relayTimeout   = 200 * time.Millisecond
	maxRelayAge    = 900 * time.Millisecond
	readTimeout    = time.Second
	// watchPause is the least time between two watches: what changes meanwhile comes
	// together.
	watchPause = 150 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call to the source.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// peerPoll is the time between questions to peers while the source is silent.
	peerPoll    = 300 * time.Millisecond
	peerTimeout = 400 * time.Millisecond
	// confirmedFor is how long a view may go unconfirmed before peers are asked. It
	// is more than one watch takes.
	confirmedFor = watchWait + 200*time.Millisecond
)

// Follower keeps a view up to date. One goroutine owns the state; readers take the
// view through an atomic pointer.
type Follower struct {
	source Source
	peers  Peers
	clock  clockwork.Clock
	log    *logrus.Entry
	view   atomic.Pointer[View]
	events chan event
	// history is what changed last, for those to whom this instance relays.
	history *history
	// relaying is until when this instance relays to others, by the steady clock.
	relaying atomic.Pointer[time.Time]
	// refused is the revision of a document that does not compile, so that it is
	// told once. It belongs to the goroutine of Run.
	refused uint64
	// lapses belong to the goroutine of Run, as does release, which tells when what was
	// kept after an outage is to be taken as gone.
	lapses  lapses
	release <-chan time.Time
}

// event is news for the goroutine that owns the view.
type event struct {
	state   *State
	changes *Changes
	// since is the revision that the changes follow.
	since uint64
	// at is when the news were asked for; the source confirmed them then or later.
	at       time.Time
	from     string
	accepted chan struct{}
}

// New returns a follower with an empty view.
func New(source Source, peers Peers, clock clockwork.Clock, log *logrus.Entry) *Follower {
	f := &Follower{source: source, peers: peers, clock: clock, log: log, events: make(chan event), history: newHistory()}
	none := fleet.New(0, nil)
	f.view.Store(&View{Fleet: none, listed: none})
	return f
}

// View returns what is known now.
func (f *Follower) View() *View { return f.view.Load() }

// State returns what is known, to be told to a peer, and its age.
func (f *Follower) State() (State, time.Duration) {
	view := f.View()
	return State{Revision: view.Fleet.Revision, Document: view.Document, Endpoints: view.listed.All()}, view.Age(f.clock.Now())
}

// Run follows source and peers until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { f.followSource(ctx); return nil })
	t.Go(func() error { f.followPeers(ctx); return nil })
	for {
		select {
		case e := <-f.events:
			f.apply(e)
			close(e.accepted)
		case <-f.release:
			f.takeLapsed()
		case <-ctx.Done():
			return nil
		}
	}
}

// deliver hands news to the owner of the view and waits until they are in the view.
func (f *Follower) deliver(ctx context.Context, e event) {
	e.accepted = make(chan struct{})
	select {
	case f.events <- e:
		<-e.accepted
	case <-ctx.Done():
	}
}

func (f *Follower) followSource(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRetry
	pause.MaxInterval = lastRetry
	reached := true
	since := uint64(0)
	for ctx.Err() == nil {
		if next, ok := f.relayed(ctx, since); ok {
			since = next
			continue
		}
		begin := f.clock.Now()
		next, err := f.step(ctx, since)
		if err == nil {
			since = next
			pause.Reset()
			reached = f.tellReached(reached, nil)
			sleep(ctx, f.clock, watchPause-f.clock.Since(begin))
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.WithFields(logrus.Fields{"event": "history_gone", "revision": since}).Info()
			since = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		reached = f.tellReached(reached, err)
		f.log.WithFields(logrus.Fields{"event": "source_call_failed", "revision": since, "ms": f.clock.Since(begin).Milliseconds()}).Info(err)
		sleep(ctx, f.clock, pause.NextBackOff())
	}
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

// step reads all, or waits for changes, and returns the revision to go on from. What came
// is delivered though the time of its call is over: the next watch goes on after it.
func (f *Follower) step(ctx context.Context, since uint64) (uint64, error) {
	at := f.clock.Now()
	if since == 0 {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		state, err := f.source.State(callCtx)
		if err != nil {
			return 0, err
		}
		f.deliver(ctx, event{state: &state, at: at, from: "source"})
		return state.Revision, nil
	}
	wait := f.watchWait()
	callCtx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	changes, err := f.source.Watch(callCtx, since, wait)
	if err != nil {
		return 0, err
	}
	f.deliver(ctx, event{changes: &changes, since: since, at: f.clock.Now(), from: "source"})
	return changes.Revision, nil
}

// watchWait is how long a watch waits: less while others rely on this instance.
func (f *Follower) watchWait() time.Duration {
	if until := f.relaying.Load(); until != nil && f.clock.Now().Before(*until) {
		return relayWatchWait
	}
	return watchWait
}

// relayingFor is how long an instance takes itself to be a relay after it was asked.
const relayingFor = 5 * time.Second

// Relay answers an instance that relies on this one: as Since.
func (f *Follower) Relay(revision uint64, wait time.Duration) (Changes, time.Duration, error) {
	until := f.clock.Now().Add(relayingFor)
	f.relaying.Store(&until)
	return f.Since(revision, wait)
}

// relayed takes the changes after a revision from a relay, and tells whether one gave them
// fresh enough.
func (f *Follower) relayed(ctx context.Context, since uint64) (uint64, bool) {
	relays := f.peers.Relays()
	if since == 0 || len(relays) == 0 {
		return 0, false
	}
	for _, relay := range relays {
		callCtx, cancel := context.WithTimeout(ctx, relayWait+relayTimeout)
		changes, age, err := f.peers.Relay(callCtx, relay, since, relayWait)
		cancel()
		if err != nil || age > maxRelayAge {
			f.log.WithFields(logrus.Fields{"event": "relay_refused", "relay": relay, "revision": since, "age_ms": age.Milliseconds()}).Info(err)
			continue
		}
		f.deliver(ctx, event{changes: &changes, since: since, at: f.clock.Now().Add(-age), from: "relay"})
		return changes.Revision, true
	}
	return 0, false
}

// followPeers asks peers while the source does not confirm the view.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, f.clock, peerPoll)
		view := f.View()
		if view.Age(f.clock.Now()) < confirmedFor {
			continue
		}
		f.askPeer(ctx, view)
	}
}

func (f *Follower) askPeer(ctx context.Context, view *View) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	at := f.clock.Now()
	state, age, err := f.peers.State(ctx, view.Fleet.Revision)
	if err != nil || age > confirmedFor {
		f.log.WithFields(logrus.Fields{
			"event": "peer_refused", "revision": view.Fleet.Revision, "peer_revision": state.Revision,
			"document": view.Document.Revision, "peer_document": state.Document.Revision, "age_ms": age.Milliseconds(),
		}).Info(err)
		return
	}
	f.deliver(ctx, event{state: &state, at: at.Add(-age), from: "peer"})
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}

// apply takes news into the view, unless the view knows more already.
func (f *Follower) apply(e event) {
	view := *f.View()
	switch {
	case e.state != nil && e.state.Revision >= view.Fleet.Revision:
		if e.state.Revision > view.Fleet.Revision {
			defer f.history.restart()
		}
		view.listed = fleet.New(e.state.Revision, e.state.Endpoints)
		f.applyDocument(&view, e.state.Document, e.from)
	case e.changes != nil && e.since <= view.Fleet.Revision && e.changes.Revision >= view.Fleet.Revision:
		defer f.history.add(view.Fleet.Revision, *e.changes)
		view.listed = view.listed.With(e.changes.Revision, e.changes.Endpoints)
		f.applyDocument(&view, e.changes.Document, e.from)
	case e.state != nil:
		return
	case e.changes != nil && e.changes.Revision < view.Fleet.Revision:
		// A peer told more already; the source's later changes follow.
	}
	now := f.clock.Now()
	if e.at.After(view.Confirmed) {
		if f.lapses.confirmed(view.Confirmed, e.at) {
			f.release = f.clock.After(f.lapses.until.Sub(now))
		}
		view.Confirmed = e.at
	}
	view.Fleet = f.lapses.keep(now, view.Fleet, view.listed)
	f.view.Store(&view)
}

// takeLapsed takes endpoints as gone that were kept after an outage.
func (f *Follower) takeLapsed() {
	view := *f.View()
	if lapsed := len(view.Fleet.All()) - len(view.listed.All()); lapsed > 0 {
		f.log.WithFields(logrus.Fields{"event": "endpoints_lapsed", "endpoints": lapsed, "revision": view.listed.Revision}).Info()
	}
	view.Fleet = view.listed
	f.view.Store(&view)
}

// applyDocument puts a configuration in force if it is newer than the one that is.
func (f *Follower) applyDocument(view *View, d Document, from string) {
	if d.Revision <= view.Document.Revision || d.Revision == f.refused {
		return
	}
	table, err := f.compile(d)
	if err != nil {
		f.refused = d.Revision
		f.log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": d.Revision, "from": from}).Error(err)
		return
	}
	if view.Table != nil && table.Version < view.Table.Version {
		f.log.WithFields(logrus.Fields{"event": "configuration_older", "revision": d.Revision, "version": table.Version, "in_force": view.Table.Version}).Warn()
		return
	}
	view.Table = table
	view.Document = d
	f.log.WithFields(logrus.Fields{"event": "configuration_in_force", "version": table.Version, "revision": d.Revision, "from": from}).Info()
}

func (f *Follower) compile(d Document) (*route.Table, error) {
	config, err := f.source.Decode(d)
	if err != nil {
		return nil, err
	}
	config.Revision = d.Revision
	return route.Compile(config)
}
