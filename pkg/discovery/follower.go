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
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// minWatchInterval is the minimum time between two watches. Changes in between are delivered
	// together.
	minWatchInterval = 150 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to the source.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// confirmationTTL is how long a confirmation is valid. It is longer than one watch.
	confirmationTTL = watchTimeout + 200*time.Millisecond
	// peerDocumentQueue is the capacity of the queue of documents reported by peers. Dropped ones are
	// reported again.
	peerDocumentQueue = 16
)

// Follower maintains the view of the configuration and the endpoints. A single goroutine updates
// the view; readers load it through an atomic pointer.
type Follower struct {
	source  Source
	peers   Peers
	clock   clockwork.Clock
	log     *logrus.Entry
	view    atomic.Pointer[View]
	updates chan updateRequest
	// loaded is closed when the first view is loaded. Only the goroutine of Run closes it.
	loaded chan struct{}
	// peerDocuments receives the documents that peers have in force.
	peerDocuments chan peerDocumentUpdate
	// history holds recent changes for instances that use this one as a relay.
	history *history
	// relayingUntil is when this instance stops acting as a relay, and lastRelayed when a relay
	// last confirmed its document. Both use the monotonic clock.
	relayingUntil atomic.Pointer[time.Time]
	lastRelayed   atomic.Pointer[time.Time]
	// endpointCall is the latest call to the source for endpoints.
	endpointCall atomic.Pointer[transfer]
	// documentWanted wakes the goroutine that fetches documents from peers.
	documentWanted chan struct{}
	// documentCache holds the compressed document that is served to peers.
	documentCache *documentCache
	// sourceJitter is this instance's random delay before it reads the source for a document that
	// no peer provides.
	sourceJitter time.Duration
	// outageGrace and outageGraceEnd are only accessed by the goroutine of Run. outageGraceEnd
	// fires when endpoints retained after an outage have to be dropped.
	outageGrace    outageGrace
	outageGraceEnd <-chan time.Time
	// failedCalls is the number of calls for endpoints that have failed in a row.
	failedCalls atomic.Int32
	// removals contains recently removed entries, and settled fires when the source has been restored
	// for so long that its entries are believed. Both are only accessed by the goroutine of Run.
	removals removals
	settled  <-chan time.Time
	// onRestore is called when the source was restored from an older copy.
	onRestore func()
	// startedAt is when this instance started.
	startedAt time.Time
	// departures holds the departures announced by endpoints.
	departures *departures
	// refusedEntries counts invalid entries.
	refusedEntries atomic.Uint64
	// olderResponses counts responses of the source that were older than the view.
	olderResponses atomic.Uint64
}

// updateRequest passes an update to the goroutine that owns the view.
type updateRequest struct {
	update  update
	applied chan struct{}
}

// New returns a follower with an empty view.
func New(source Source, peers Peers, clock clockwork.Clock, log *logrus.Entry) *Follower {
	f := &Follower{
		source:         source,
		peers:          peers,
		clock:          clock,
		log:            log,
		updates:        make(chan updateRequest),
		loaded:         make(chan struct{}),
		peerDocuments:  make(chan peerDocumentUpdate, peerDocumentQueue),
		history:        newHistory(),
		documentWanted: make(chan struct{}, 1),
		documentCache:  newDocumentCache(clock),
		sourceJitter:   rand.N(maxSourceJitter),
		departures:     newDepartures(),
		removals:       removals{},
		startedAt:      clock.Now(),
		onRestore:      func() {},
	}
	none := fleet.New(0, nil)
	f.view.Store(&View{Fleet: none, listed: none})
	return f
}

// OnRestore sets the function to call when the source was restored from an older copy and may have lost
// what this instance wrote there. It must be set before Run and must not block.
func (f *Follower) OnRestore(fn func()) { f.onRestore = fn }

// RefusedEntries returns the number of invalid entries seen.
func (f *Follower) RefusedEntries() uint64 { return f.refusedEntries.Load() }

// OlderResponses returns the number of responses of the source that were dropped because they were
// older than the known state.
func (f *Follower) OlderResponses() uint64 { return f.olderResponses.Load() }

// View returns the current view.
func (f *Follower) View() *View { return f.view.Load() }

// Loaded returns a channel that is closed when the first view is loaded.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// LocalState returns the local state for a peer that has the endpoints of revision newerThan. The
// endpoints are omitted unless they are newer.
func (f *Follower) LocalState(newerThan revision.Revision) PeerState {
	view, now := f.View(), f.clock.Now()
	known := PeerState{State: State{Revision: view.listed.Revision}, Age: view.FleetAge(now), Status: view.status(now)}
	if known.State.Revision > newerThan {
		known.State.Endpoints = view.entries()
	}
	known.Same = known.State.Revision == newerThan
	return known
}

// ObserveDocument records the document that a peer has in force. It does not block: if the queue is
// full the document is dropped, and reported again later.
func (f *Follower) ObserveDocument(d DocumentID) {
	if !d.newerThan(f.View().InForce()) {
		return
	}
	select {
	case f.peerDocuments <- peerDocumentUpdate(d):
	default:
	}
}

// Run follows the source and the peers until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { f.askPeers(ctx); return nil })
	t.Go(func() error { f.followEndpoints(ctx); return nil })
	t.Go(func() error { f.followDocument(ctx); return nil })
	t.Go(func() error { f.fetchDocuments(ctx); return nil })
	t.Go(func() error { f.followPeers(ctx); return nil })
	for {
		select {
		case e := <-f.updates:
			f.apply(e.update)
			close(e.applied)
		case n := <-f.peerDocuments:
			f.apply(n)
		case <-f.outageGraceEnd:
			f.apply(outageGraceExpired{})
		case <-f.settled:
			f.apply(settled{})
		case <-f.departures.notify:
			f.apply(departuresUpdate{})
		case <-ctx.Done():
			return nil
		}
	}
}

// deliver passes an update to the goroutine that owns the view and waits until it is applied.
func (f *Follower) deliver(ctx context.Context, n update) {
	e := updateRequest{update: n, applied: make(chan struct{})}
	select {
	case f.updates <- e:
		<-e.applied
	case <-ctx.Done():
	}
}

// apply applies an update and publishes the new view.
func (f *Follower) apply(n update) {
	view := *f.View()
	then := n.apply(f, &view)
	if _, lacks := view.Lacking(f.clock.Now()); view.peersAsked && view.Table != nil && !lacks {
		view.current = true
	}
	f.view.Store(&view)
	if view.Loaded() {
		f.signalLoaded()
	}
	if then != nil {
		then()
	}
}

// signalLoaded closes the channel of Loaded, once.
func (f *Follower) signalLoaded() {
	select {
	case <-f.loaded:
	default:
		close(f.loaded)
	}
}

// confirmEndpoints records that the source confirmed the listed endpoints as of at, and that it was
// last heard from at heard.
func (f *Follower) confirmEndpoints(view *View, at, heard time.Time) {
	now := f.clock.Now()
	if at.After(view.Confirmed) {
		view.Confirmed = at
	}
	if heard.After(view.lastHeard) {
		if f.outageGrace.sourceConfirmed(view.lastHeard, heard, int(f.failedCalls.Load())) {
			f.outageGraceEnd = f.clock.After(f.outageGrace.until.Sub(now))
		}
		view.lastHeard = heard
	}
	view.Fleet = f.outageGrace.retain(now, view.Fleet, view.listed)
}

// announceDocument notifies waiting relay requests and the other instances of a newer document.
func (f *Follower) announceDocument() {
	f.history.notifyWaiters()
	f.peers.Announce()
}

// wakeDocumentFetcher wakes the goroutine that fetches documents from peers.
func (f *Follower) wakeDocumentFetcher() {
	select {
	case f.documentWanted <- struct{}{}:
	default:
	}
}

// compile decodes and compiles a document. It returns nil if the document is invalid.
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
