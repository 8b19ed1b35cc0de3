package discovery

import (
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// historyLength bounds the changes that are kept for those who are relayed to.
const historyLength = 512

// step is what changed between two revisions.
type step struct {
	from    uint64
	changes Changes
}

// history keeps the last changes, and wakes those who wait for the next. Safe for
// concurrent use.
type history struct {
	mu    sync.Mutex
	steps []step
	next  chan struct{}
}

func newHistory() *history { return &history{next: make(chan struct{})} }

// add appends changes that follow a revision.
func (h *history) add(from uint64, changes Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes.Revision == from {
		return
	}
	if n := len(h.steps); n > 0 && h.steps[n-1].changes.Revision != from {
		h.steps = nil
	}
	h.steps = append(h.steps, step{from, changes})
	if len(h.steps) > historyLength {
		h.steps = h.steps[len(h.steps)-historyLength:]
	}
	h.wake()
}

// restart drops the changes: everything was read anew.
func (h *history) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steps = nil
	h.wake()
}

func (h *history) wake() {
	close(h.next)
	h.next = make(chan struct{})
}

// changed is closed when changes come after this call.
func (h *history) changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// since returns the changes after a revision, up to the newest; false if they are not kept.
func (h *history) since(revision uint64) (Changes, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all Changes
	found := false
	for _, s := range h.steps {
		found = found || s.from == revision
		if !found {
			continue
		}
		all.Revision = s.changes.Revision
		all.Endpoints = append(all.Endpoints, s.changes.Endpoints...)
		if s.changes.Document.Revision > 0 {
			all.Document = s.changes.Document
		}
	}
	return all, found
}

// Since waits for changes after a revision, up to a time, and returns them with the age of
// what is known. It returns ErrHistoryGone if they are not kept.
func (f *Follower) Since(revision uint64, wait time.Duration) (Changes, time.Duration, error) {
	timeout := f.clock.After(wait)
	for {
		next := f.history.changed()
		view := f.View()
		age := view.Age(f.clock.Now())
		if view.Fleet.Revision == revision {
			select {
			case <-next:
				continue
			case <-timeout:
				view = f.View()
				if view.Fleet.Revision != revision {
					continue
				}
				return Changes{Revision: revision, Endpoints: []fleet.Change{}}, view.Age(f.clock.Now()), nil
			}
		}
		changes, ok := f.history.since(revision)
		if !ok {
			return Changes{}, age, ErrHistoryGone
		}
		return changes, age, nil
	}
}
