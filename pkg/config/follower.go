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
	// watchersPerDomain is the number of instances per failure domain that watch
	// the head. The others learn of new revisions from heartbeats.
	watchersPerDomain = 2
	// watcherCheckPeriod is the interval between checks of whether this instance should
	// watch, and between attempts to confirm the configuration.
	watcherCheckPeriod = 250 * time.Millisecond
	// pullQueueLength is the maximum number of queued pulls. Further ones are
	// dropped, as each pull fetches the peer's latest configuration.
	pullQueueLength = 16
)

// Peer is an instance from which a newer configuration can be pulled.
type Peer struct {
	Name          string
	FailureDomain string
	Address       string
}

// Puller fetches updates from peers.
type Puller interface {
	Pull(ctx context.Context, address string, from uint64) (Update, error)
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Self Peer
	// Peers returns the live peers.
	Peers   func() []Peer
	Puller  Puller
	Timeout time.Duration
	// AntiEntropy is the mean interval between periodic reads of the head.
	AntiEntropy time.Duration
	// OnConfirmed is called once the replica has been synchronised with the key-value
	// service or, if that is unavailable, with a peer.
	OnConfirmed func()
	Clock       clockwork.Clock
	Ring        *timeline.Ring
	Log         *logrus.Entry
}

// Follower keeps a replica up to date by a watch, if this instance is one of its
// failure domain's watchers, by pulls from peers with a higher revision, and by
// periodic reads of the head.
type Follower struct {
	FollowerOptions
	store   *Store
	replica *Replica
	kv      infra.KeyValue
	pulls   chan Peer
	reached atomic.Bool
}

// NewFollower returns a follower; Run must be called for it to work.
func NewFollower(o FollowerOptions, store *Store) *Follower {
	return &Follower{FollowerOptions: o, store: store, replica: store.replica, kv: store.kv, pulls: make(chan Peer, pullQueueLength)}
}

// ServiceReachable reports whether the last call to the key-value service succeeded.
func (f *Follower) ServiceReachable() bool { return f.reached.Load() }

// SchedulePull schedules a pull from a peer with a higher revision. It does not block.
func (f *Follower) SchedulePull(p Peer) {
	select {
	case f.pulls <- p:
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

// confirm retries until the replica is synchronised with the service or, if that is
// unavailable, with all reachable peers, of which there must be at least one.
func (f *Follower) confirm(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := f.refresh(ctx); err == nil || f.pullFromPeers(ctx) {
			f.OnConfirmed()
			return nil
		}
		f.pause(ctx, watcherCheckPeriod)
	}
	return nil
}

func (f *Follower) pullFromPeers(ctx context.Context) bool {
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
	f.recordReachability(err)
	if err == nil && revision < before {
		f.recordStaleRevision(revision, before)
	}
	return version, err
}

// recordReachability records when the service becomes unavailable or available.
func (f *Follower) recordReachability(err error) {
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

// recordStaleRevision records that the service returned a lower revision than the
// one in force.
func (f *Follower) recordStaleRevision(offered, inForce uint64) {
	f.Ring.Add(timeline.Event{Kind: timeline.RevisionIgnored, Detail: "key-value service returned a lower revision"})
	f.Log.WithFields(logrus.Fields{"event": timeline.RevisionIgnored, "offered": offered, "in_force": inForce}).Warn()
}

// pull updates the replica from peers with a higher revision.
func (f *Follower) pull(ctx context.Context) error {
	for {
		select {
		case peer := <-f.pulls:
			f.pullFrom(ctx, peer)
		case <-ctx.Done():
			return nil
		}
	}
}

// pullFrom pulls from a peer, and reports whether it returned a valid update.
func (f *Follower) pullFrom(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	update, err := f.Puller.Pull(ctx, peer.Address, f.replica.Current().Revision())
	if err == nil {
		_, err = f.replica.ApplyUpdate(update)
	}
	if err != nil {
		f.Log.WithFields(logrus.Fields{"event": "pull_failed", "peer": peer.Name}).Debug(err)
		return false
	}
	return true
}

// poll reads the head periodically, more often while the service is unavailable.
func (f *Follower) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		period := f.AntiEntropy
		if !f.ServiceReachable() {
			period = min(period, time.Second)
		}
		// Jitter keeps the instances from reading at the same time.
		f.pause(ctx, period/2+time.Duration(rand.Int64N(int64(period))))
		if ctx.Err() == nil {
			f.refresh(ctx)
		}
	}
	return nil
}

// watch watches the head while this instance is one of the watchers.
func (f *Follower) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.IsWatcher() {
			f.watchHead(ctx)
		}
		f.pause(ctx, watcherCheckPeriod)
	}
	return nil
}

// watchHead watches until the watch fails or this instance is no longer a watcher.
// The watch starts after the version that was read, so that no change is missed.
func (f *Follower) watchHead(ctx context.Context) {
	version, err := f.refresh(ctx)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelWhenReplaced(ctx, cancel)
	err = f.kv.Watch(ctx, HeadKey, version, func(value infra.Value) { f.applyHead(ctx, value) })
	if ctx.Err() == nil {
		f.recordReachability(err)
	}
}

// cancelWhenReplaced cancels the watch when this instance is no longer a watcher.
func (f *Follower) cancelWhenReplaced(ctx context.Context, cancel func()) {
	for ctx.Err() == nil && f.IsWatcher() {
		f.pause(ctx, watcherCheckPeriod)
	}
	cancel()
}

func (f *Follower) applyHead(ctx context.Context, value infra.Value) {
	if err := f.store.ApplyHead(ctx, value); err != nil {
		f.Log.WithField("event", "offer_failed").Warn(err)
	}
}

// IsWatcher reports whether this instance is one of its failure domain's watchers.
// They are chosen by rendezvous hashing over the live members. go-rendezvous is not
// used because its Remove panics.
func (f *Follower) IsWatcher() bool {
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
