package discovery

import "sync"

// historyLength bounds the changes that are kept for those who are relayed to.
const historyLength = 512

// step is what changed between two revisions.
type step struct {
	from    uint64
	changes Changes
}

// history keeps the last changes of the endpoints, and wakes those who wait for news. Safe for
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
}

// restart drops the changes: everything was read anew.
func (h *history) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steps = nil
}

// wake wakes those who wait. Changes are added before they are in the view, and told when
// they are.
func (h *history) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.next)
	h.next = make(chan struct{})
}

// changed returns what is closed when something changes in the view after this call.
func (h *history) changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// since returns the changes after a revision, up to another; false if they are not kept.
func (h *history) since(revision, upTo uint64) (Changes, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all Changes
	found := false
	for _, s := range h.steps {
		if s.changes.Revision <= revision || s.changes.Revision > upTo {
			continue
		}
		// The first step may begin before the revision: what is told twice is the same.
		found = found || s.from <= revision
		all.Revision = s.changes.Revision
		all.Endpoints = append(all.Endpoints, s.changes.Endpoints...)
	}
	return all, found && all.Revision == upTo
}

// Relay answers an instance that relies on this one: with what it does not have, or with
// nothing new after the time to wait.
func (f *Follower) Relay(selection RelaySelect) Relayed {
	until := f.clock.Now().Add(relayingFor)
	f.relaying.Store(&until)
	timeout := f.clock.After(selection.Wait)
	for {
		changed := f.history.changed()
		view := f.View()
		if view.listed.Revision > selection.Since || view.Newest() > selection.Document || ordersOthers(view, selection) {
			return f.relay(view, selection.Since)
		}
		select {
		case <-changed:
		case <-timeout:
			return f.relay(f.View(), selection.Since)
		}
	}
}

// ordersOthers tells whether an instance knows of orders that an asker does not know, or of their end.
// One that told none is not woken: it asks the source.
func ordersOthers(view *View, asker RelaySelect) bool {
	evacuations, rollouts := view.Evacuations(), view.Rollouts()
	return asker.Evacuations.Known() && evacuations.Revision > asker.Evacuations.Revision && !evacuations.Same(asker.Evacuations) ||
		asker.Rollouts.Known() && rollouts.Revision > asker.Rollouts.Revision && !rollouts.Same(asker.Rollouts)
}

// relay returns what a view has beyond a revision of the endpoints.
func (f *Follower) relay(view *View, since uint64) Relayed {
	now := f.clock.Now()
	told := Relayed{Age: view.FleetAge(now), Mark: view.mark(now)}
	if view.listed.Revision <= since {
		told.Changes.Revision = view.listed.Revision
		return told
	}
	changes, kept := f.history.since(since, view.listed.Revision)
	told.Changes, told.Gone = changes, !kept
	return told
}
