package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// watchersPerDomain is how many instances of a failure domain hold the watch
	// on the head. The others learn from their peers' heartbeats.
	watchersPerDomain = 2
	// checkPeriod is the time between looks at whether this instance should watch.
	checkPeriod = 250 * time.Millisecond
	// behindQueue bounds the pulls that wait; more would bring nothing new.
	behindQueue = 16
)

// Peer is another instance of which a newer configuration may be had.
type Peer struct {
	Name          string
	FailureDomain string
	Address       string
}

// Puller reads an update from a peer.
type Puller interface {
	Pull(ctx context.Context, address string, from uint64) (Update, error)
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Self Peer
	// Peers returns the live ones.
	Peers   func() []Peer
	Puller  Puller
	Timeout time.Duration
	// AntiEntropy is the time between reads of the head without a watch.
	AntiEntropy time.Duration
	// Confirmed is called once the replica is known to be as new as can be found out.
	Confirmed func()
	Clock     clockwork.Clock
	Ring      *timeline.Ring
	Log       *logrus.Entry
}

// Follower keeps a replica up to date: by a watch if this instance is one of its
// domain's watchers, by pulls from peers that are ahead, and by reading the head
// now and then.
type Follower struct {
	FollowerOptions
	store   *Store
	replica *Replica
	kv      infra.KeyValue
	behind  chan Peer
	reached atomic.Bool
}

// NewFollower returns a follower; Run must be called for it to work.
func NewFollower(o FollowerOptions, store *Store) *Follower {
	return &Follower{FollowerOptions: o, store: store, replica: store.replica, kv: store.kv, behind: make(chan Peer, behindQueue)}
}

// Reached tells whether the key-value service answered the last time.
func (f *Follower) Reached() bool { return f.reached.Load() }

// Behind says that a peer is ahead. It does not block.
func (f *Follower) Behind(p Peer) {
	select {
	case f.behind <- p:
	default:
	}
}

// Run starts the follower's goroutines under t.
func (f *Follower) Run(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.confirm(ctx) })
	t.Go(func() error { return f.pull(ctx) })
	t.Go(func() error { return f.poll(ctx) })
	t.Go(func() error { return f.watch(ctx) })
}

// confirm tries until the replica is as new as can be found out: from the service,
// or if that is out from every peer that can be reached, one at least.
func (f *Follower) confirm(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := f.refresh(ctx); err == nil || f.askPeers(ctx) {
			f.Confirmed()
			return nil
		}
		f.pause(ctx, checkPeriod)
	}
	return nil
}

func (f *Follower) askPeers(ctx context.Context) bool {
	answered := false
	for _, peer := range f.Peers() {
		answered = f.pullFrom(ctx, peer) || answered
	}
	return answered
}

// refresh reads the head and returns the version of its key.
func (f *Follower) refresh(ctx context.Context) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	before := f.replica.Current().Revision()
	revision, version, err := f.store.Refresh(ctx)
	f.note(err)
	if err == nil && revision < before {
		f.noteLower(revision, before)
	}
	return version, err
}

// note records when the service is lost and when it is back.
func (f *Follower) note(err error) {
	was := f.reached.Swap(err == nil)
	if was == (err == nil) {
		return
	}
	if err == nil {
		f.Ring.Add(timeline.Event{Kind: timeline.PlatformBack, Detail: "key-value service"})
		f.Log.WithField("event", timeline.PlatformBack).Info()
		return
	}
	f.Ring.Add(timeline.Event{Kind: timeline.PlatformLost, Detail: err.Error()})
	f.Log.WithField("event", timeline.PlatformLost).Warn(err)
}

// noteLower records that the service offered a lower revision than was in force.
func (f *Follower) noteLower(offered, inForce uint64) {
	f.Ring.Add(timeline.Event{Kind: timeline.RevisionIgnored, Detail: "the key-value service offered a lower revision"})
	f.Log.WithFields(logrus.Fields{"event": timeline.RevisionIgnored, "offered": offered, "in_force": inForce}).Warn()
}

// pull brings the replica up to peers that are ahead.
func (f *Follower) pull(ctx context.Context) error {
	for {
		select {
		case peer := <-f.behind:
			f.pullFrom(ctx, peer)
		case <-ctx.Done():
			return nil
		}
	}
}

// pullFrom pulls from one peer, and tells whether it answered rightly.
func (f *Follower) pullFrom(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	update, err := f.Puller.Pull(ctx, peer.Address, f.replica.Current().Revision())
	if err == nil {
		_, err = f.replica.Accept(update)
	}
	if err != nil {
		f.Log.WithFields(logrus.Fields{"event": "pull_failed", "peer": peer.Name}).Debug(err)
		return false
	}
	return true
}

// poll reads the head now and then, more often while the service is out.
func (f *Follower) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		period := f.AntiEntropy
		if !f.Reached() {
			period = min(period, time.Second)
		}
		// Spread out, so that not all instances read at once.
		f.pause(ctx, period/2+time.Duration(rand.Int64N(int64(period))))
		if ctx.Err() == nil {
			f.refresh(ctx)
		}
	}
	return nil
}

// watch holds the watch on the head while this instance is one of the watchers.
func (f *Follower) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.Watches() {
			f.hold(ctx)
		}
		f.pause(ctx, checkPeriod)
	}
	return nil
}

// hold watches until the watch breaks or this instance is no longer a watcher. The
// watch begins behind the version that was read, so that no change falls between.
func (f *Follower) hold(ctx context.Context) {
	version, err := f.refresh(ctx)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelWhenReplaced(ctx, cancel)
	err = f.kv.Watch(ctx, HeadKey, version, func(value infra.Value) { f.offer(ctx, value) })
	if ctx.Err() == nil {
		f.note(err)
	}
}

// cancelWhenReplaced ends the watch when others are to hold it.
func (f *Follower) cancelWhenReplaced(ctx context.Context, cancel func()) {
	for ctx.Err() == nil && f.Watches() {
		f.pause(ctx, checkPeriod)
	}
	cancel()
}

func (f *Follower) offer(ctx context.Context, value infra.Value) {
	if err := f.store.Offer(ctx, value); err != nil {
		f.Log.WithField("event", "offer_failed").Warn(err)
	}
}

// Watches tells whether this instance is one of its domain's watchers, which all
// instances work out alike from the live members: those with the highest hash of
// name and key (rendezvous hashing). go-rendezvous would do, but its Remove panics.
func (f *Follower) Watches() bool {
	own := watchWeight(f.Self.Name)
	higher := 0
	for _, peer := range f.Peers() {
		if peer.FailureDomain == f.Self.FailureDomain && watchWeight(peer.Name) > own {
			higher++
		}
	}
	return higher < watchersPerDomain
}

func watchWeight(name string) uint64 { return xxhash.Sum64String(HeadKey + "\x00" + name) }

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.Clock.After(d):
	case <-ctx.Done():
	}
}
