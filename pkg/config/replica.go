package config

import (
	"sync"
	"sync/atomic"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// maxRecentChanges is the number of changes that a Replica keeps for outdated peers.
const maxRecentChanges = 512

// Replica is an instance's local copy of the configuration. Its revision never
// decreases. Safe for concurrent use.
type Replica struct {
	current atomic.Pointer[Configuration]
	mu      sync.Mutex
	recent  []Change
	notify  []func(*Configuration)
}

// NewReplica returns a replica at revision 0.
func NewReplica() *Replica {
	r := &Replica{}
	r.current.Store(Empty())
	return r
}

// Current returns the configuration in force.
func (r *Replica) Current() *Configuration { return r.current.Load() }

// OnAdvance registers f to be called with each new configuration, in revision
// order. f must not block.
func (r *Replica) OnAdvance(f func(*Configuration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify = append(r.notify, f)
}

// Advance replaces the configuration with next if its revision is higher, and
// reports whether it did. The changes, if any, lead to next and are kept for
// outdated peers.
func (r *Replica) Advance(next *Configuration, changes []Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.current.Load()
	if next.revision <= before.revision {
		return false
	}
	r.current.Store(next)
	r.record(changes, next.revision)
	for _, f := range r.notify {
		f(next)
	}
	return true
}

// record keeps the changes if they are contiguous up to revision.
func (r *Replica) record(changes []Change, revision uint64) {
	for _, change := range changes {
		if n := len(r.recent); n > 0 && change.Revision <= r.recent[n-1].Revision {
			continue
		}
		if n := len(r.recent); n > 0 && change.Revision != r.recent[n-1].Revision+1 {
			r.recent = nil
		}
		r.recent = append(r.recent, change)
	}
	if n := len(r.recent); n > 0 && r.recent[n-1].Revision != revision {
		r.recent = nil
	}
	if excess := len(r.recent) - maxRecentChanges; excess > 0 {
		r.recent = append([]Change(nil), r.recent[excess:]...)
	}
}

// Update brings an outdated peer up to date: it has the changes since the peer's
// revision, or a snapshot if those are no longer kept.
type Update struct {
	Revision uint64   `json:"revision"`
	Digest   uint64   `json:"digest,string"`
	Changes  []Change `json:"changes,omitempty"`
	Snapshot []byte   `json:"snapshot,omitempty"`
}

// Since returns the update for a peer at revision from. It has neither changes nor
// a snapshot if the peer is up to date.
func (r *Replica) Since(from uint64) (Update, error) {
	r.mu.Lock()
	current := r.current.Load()
	recent := r.recent
	r.mu.Unlock()
	u := Update{Revision: current.revision, Digest: current.digest}
	if from >= current.revision {
		return u, nil
	}
	if len(recent) > 0 && recent[0].Revision <= from+1 {
		u.Changes = recent[from+1-recent[0].Revision:]
		return u, nil
	}
	data, err := EncodeSnapshot(current)
	u.Snapshot = data
	return u, err
}

// ApplyUpdate applies an update from a peer if it is newer. An update whose digest does
// not match is rejected and has no effect.
func (r *Replica) ApplyUpdate(u Update) (advanced bool, err error) {
	current := r.Current()
	if u.Revision <= current.revision {
		return false, nil
	}
	next, err := applyUpdate(current, u)
	if err != nil {
		return false, err
	}
	if next.revision != u.Revision || next.digest != u.Digest {
		return false, problem.New(problem.Unavailable, "read from the service or another peer", "digest mismatch in update to revision %d: computed %x, expected %x", next.revision, next.digest, u.Digest)
	}
	return r.Advance(next, u.Changes), nil
}

func applyUpdate(c *Configuration, u Update) (*Configuration, error) {
	if len(u.Snapshot) > 0 {
		return DecodeSnapshot(u.Snapshot)
	}
	return applyAll(c, u.Changes)
}

// applyAll applies the changes after c's revision and skips earlier ones.
func applyAll(c *Configuration, changes []Change) (*Configuration, error) {
	var err error
	for _, change := range changes {
		if change.Revision <= c.revision {
			continue
		}
		if c, err = c.Apply(change); err != nil {
			return nil, err
		}
	}
	return c, nil
}
