package config

import (
	"sync"
	"sync/atomic"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// recentChanges is how many whole changes a Replica keeps for peers that lag.
const recentChanges = 512

// Replica is an instance's copy of the configuration. It only ever moves forward.
// Safe for concurrent use.
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

// OnAdvance has f called after each move forward, with the new configuration, in
// the order of the moves. f must not block.
func (r *Replica) OnAdvance(f func(*Configuration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify = append(r.notify, f)
}

// Advance puts next in force if its revision is higher, and tells whether it did.
// The changes, if any, are those that lead to next, for peers that lag.
func (r *Replica) Advance(next *Configuration, changes []Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.current.Load()
	if next.revision <= before.revision {
		return false
	}
	r.current.Store(next)
	r.remember(changes, next.revision)
	for _, f := range r.notify {
		f(next)
	}
	return true
}

// remember keeps the changes if they continue without a gap up to revision.
func (r *Replica) remember(changes []Change, revision uint64) {
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
	if excess := len(r.recent) - recentChanges; excess > 0 {
		r.recent = append([]Change(nil), r.recent[excess:]...)
	}
}

// Update is what a peer that lags is given: the changes since its revision, or a
// snapshot where those are no longer kept.
type Update struct {
	Revision uint64   `json:"revision"`
	Digest   uint64   `json:"digest,string"`
	Changes  []Change `json:"changes,omitempty"`
	Snapshot []byte   `json:"snapshot,omitempty"`
}

// Since returns the update for a peer at revision from. It is empty if there is
// nothing newer.
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

// Accept checks an update of a peer against the digest and puts it in force if it
// is newer. A corrupt update is refused with an error and changes nothing.
func (r *Replica) Accept(u Update) (advanced bool, err error) {
	current := r.Current()
	if u.Revision <= current.revision {
		return false, nil
	}
	next, err := follow(current, u)
	if err != nil {
		return false, err
	}
	if next.revision != u.Revision || next.digest != u.Digest {
		return false, problem.New(problem.Unavailable, "read from the service or another peer", "an update to revision %d has digest %x, named %x", next.revision, next.digest, u.Digest)
	}
	return r.Advance(next, u.Changes), nil
}

func follow(c *Configuration, u Update) (*Configuration, error) {
	if len(u.Snapshot) > 0 {
		return DecodeSnapshot(u.Snapshot)
	}
	return applyAll(c, u.Changes)
}

// applyAll applies the changes that come after c's revision; earlier ones are
// passed over.
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
