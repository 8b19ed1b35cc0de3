package discovery

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// watchPause is the least time between two watches: what changes meanwhile comes
	// together.
	watchPause = 150 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call to the source.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// confirmedFor is how long what a view or a peer says may go unconfirmed. It is more
	// than one watch takes.
	confirmedFor = watchWait + 200*time.Millisecond
	// rumours bounds those that wait for the owner of the view; each is told again.
	rumours = 16
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
	// rumours are revisions of documents that peers have in force.
	rumours chan rumourNews
	// history is what changed last, for those to whom this instance relays.
	history *history
	// relaying is until when this instance relays to others, and relayed when a relay last
	// told of its document, by the steady clock.
	relaying atomic.Pointer[time.Time]
	relayed  atomic.Pointer[time.Time]
	// reading is the call to the source that was begun last and brings endpoints.
	reading atomic.Pointer[transfer]
	// wanted wakes the goroutine that takes documents from peers.
	wanted chan struct{}
	// shelf has the packed document that peers take.
	shelf *shelf
	// hesitation is how long this instance waits more than others until it reads the source
	// for a document that no peer gives.
	hesitation time.Duration
	// lapses belong to the goroutine of Run, as does release, which tells when what was
	// kept after an outage is to be taken as gone.
	lapses  lapses
	release <-chan time.Time
	// departures are what endpoints said of their leaving.
	departures *departures
	// refusedEntries counts the entries that named no endpoint to use.
	refusedEntries atomic.Uint64
}

// event hands news to the goroutine that owns the view.
type event struct {
	news     news
	accepted chan struct{}
}

// New returns a follower with an empty view.
func New(source Source, peers Peers, clock clockwork.Clock, log *logrus.Entry) *Follower {
	f := &Follower{
		source:     source,
		peers:      peers,
		clock:      clock,
		log:        log,
		events:     make(chan event),
		rumours:    make(chan rumourNews, rumours),
		history:    newHistory(),
		wanted:     make(chan struct{}, 1),
		shelf:      newShelf(clock),
		hesitation: rand.N(longestHesitation),
		departures: newDepartures(),
	}
	none := fleet.New(0, nil)
	f.view.Store(&View{Fleet: none, listed: none})
	return f
}

// RefusedEntries is how many entries named no endpoint to use.
func (f *Follower) RefusedEntries() uint64 { return f.refusedEntries.Load() }

// View returns what is known now.
func (f *Follower) View() *View { return f.view.Load() }

// Known returns what is known, to be told to a peer that has the endpoints of a revision. They are
// left out if it has as much.
func (f *Follower) Known(newerThan uint64) Known {
	view, now := f.View(), f.clock.Now()
	known := Known{State: State{Revision: view.listed.Revision}, Age: view.FleetAge(now), Mark: view.mark(now)}
	if known.State.Revision > newerThan {
		known.State.Endpoints = view.listed.All()
	}
	known.Same = known.State.Revision == newerThan
	return known
}

// Heard takes in the revision of the document that a peer has in force. It does not block:
// one for which there is no room is told again.
func (f *Follower) Heard(revision uint64) {
	if revision <= f.View().Document.Revision {
		return
	}
	select {
	case f.rumours <- rumourNews(revision):
	default:
	}
}

// Run follows source and peers until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { f.followEndpoints(ctx); return nil })
	t.Go(func() error { f.followDocument(ctx); return nil })
	t.Go(func() error { f.takeDocuments(ctx); return nil })
	t.Go(func() error { f.followPeers(ctx); return nil })
	for {
		select {
		case e := <-f.events:
			f.apply(e.news)
			close(e.accepted)
		case n := <-f.rumours:
			f.apply(n)
		case <-f.release:
			f.apply(lapseNews{})
		case <-f.departures.news:
			f.apply(departNews{})
		case <-ctx.Done():
			return nil
		}
	}
}

// deliver hands news to the owner of the view and waits until they are in the view.
func (f *Follower) deliver(ctx context.Context, n news) {
	e := event{news: n, accepted: make(chan struct{})}
	select {
	case f.events <- e:
		<-e.accepted
	case <-ctx.Done():
	}
}

// apply takes news into the view.
func (f *Follower) apply(n news) {
	view := *f.View()
	then := n.apply(f, &view)
	f.view.Store(&view)
	if then != nil {
		then()
	}
}

// confirmEndpoints takes in that the source confirmed the endpoints listed at a time, and when it
// was heard.
func (f *Follower) confirmEndpoints(view *View, at, heard time.Time) {
	now := f.clock.Now()
	if at.After(view.Confirmed) {
		view.Confirmed = at
	}
	if heard.After(view.heard) {
		if f.lapses.confirmed(view.heard, heard) {
			f.release = f.clock.After(f.lapses.until.Sub(now))
		}
		view.heard = heard
	}
	view.Fleet = f.lapses.keep(now, view.Fleet, view.listed)
}

// tellDocument has those told who wait here for a newer document, and all others.
func (f *Follower) tellDocument() {
	f.history.wake()
	f.peers.Announce()
}

// wantDocument wakes the goroutine that takes documents from peers.
func (f *Follower) wantDocument() {
	select {
	case f.wanted <- struct{}{}:
	default:
	}
}

// compile reads a document; nil if it is not valid.
func (f *Follower) compile(d Document, from string) *route.Table {
	config, err := f.source.Decode(d)
	if err == nil {
		config.Revision = d.Revision
		var table *route.Table
		if table, err = route.Compile(config); err == nil {
			return table
		}
	}
	f.log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": d.Revision, "from": from}).Error(err)
	return nil
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
