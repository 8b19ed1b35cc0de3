package discovery

import (
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// historyLength bounds the number of changes kept for relaying.
const historyLength = 512

// historyEntry contains the changes between two revisions.
type historyEntry struct {
	from    revision.Revision
	changes Changes
}

// history keeps recent changes of the endpoints and notifies waiting relay requests. It is safe for
// concurrent use.
type history struct {
	mu      sync.Mutex
	entries []historyEntry
	notify  chan struct{}
}

func newHistory() *history { return &history{notify: make(chan struct{})} }

// add appends the changes that follow a revision.
func (h *history) add(from revision.Revision, changes Changes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes.Revision == from {
		return
	}
	if n := len(h.entries); n > 0 && h.entries[n-1].changes.Revision != from {
		h.entries = nil
	}
	h.entries = append(h.entries, historyEntry{from, changes})
	if len(h.entries) > historyLength {
		h.entries = h.entries[len(h.entries)-historyLength:]
	}
}

// clear drops all changes after a full read.
func (h *history) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = nil
}

// notifyWaiters wakes the waiting requests. It is called after the view that contains the changes
// is published.
func (h *history) notifyWaiters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.notify)
	h.notify = make(chan struct{})
}

// changed returns a channel that is closed at the next change of the view.
func (h *history) changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notify
}

// since returns the changes after a revision up to another one, or false if they are no longer
// kept. It returns those of one era, or the differences between two.
func (h *history) since(after, upTo revision.Revision) (Changes, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all Changes
	found := false
	for _, s := range h.entries {
		if s.changes.Revision <= after || s.changes.Revision > upTo {
			continue
		}
		if s.from.Era() != s.changes.Revision.Era() {
			if found {
				// The differences between two eras are sent by themselves.
				return all, true
			}
			return s.changes, s.from == after
		}
		// The first entry may start before the revision: applying a change twice is harmless.
		found = found || s.from <= after
		all.Revision = s.changes.Revision
		all.Endpoints = append(all.Endpoints, s.changes.Endpoints...)
	}
	return all, found && all.Revision == upTo
}

// Relay responds to an instance that uses this one as a relay. It returns as soon as there is newer
// data, or when the requested timeout expires.
func (f *Follower) Relay(request RelayRequest) RelayResponse {
	until := f.clock.Now().Add(relayRoleTTL)
	f.relayingUntil.Store(&until)
	timeout := f.clock.After(request.Wait)
	for {
		changed := f.history.changed()
		view := f.View()
		if view.listed.Revision > request.Since || view.Newest().newerThan(request.Document) || hasNewerOrders(view, request) {
			return f.relayResponse(view, request.Since)
		}
		select {
		case <-changed:
		case <-timeout:
			return f.relayResponse(f.View(), request.Since)
		}
	}
}

// hasNewerOrders reports whether the view has orders that the requester lacks. Requesters that sent
// no orders are not woken, since they query the source for them.
func hasNewerOrders(view *View, requester RelayRequest) bool {
	evacuations, rollouts := view.Evacuations(), view.Rollouts()
	return requester.Evacuations.Known() && evacuations.Revision > requester.Evacuations.Revision && !evacuations.Same(requester.Evacuations) ||
		requester.Rollouts.Known() && rollouts.Revision > requester.Rollouts.Revision && !rollouts.Same(requester.Rollouts)
}

// relayResponse returns the changes in a view after a revision of the endpoints.
func (f *Follower) relayResponse(view *View, since revision.Revision) RelayResponse {
	now := f.clock.Now()
	response := RelayResponse{Age: view.FleetAge(now), Status: view.status(now)}
	if view.listed.Revision <= since {
		response.Changes.Revision = view.listed.Revision
		return response
	}
	changes, kept := f.history.since(since, view.listed.Revision)
	response.Changes, response.Gone = changes, !kept
	return response
}
