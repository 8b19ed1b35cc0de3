// Package once lets a not-repeatable request run at most once. A request is bound
// to one incarnation of one instance, by a claim in the key-value service or by a
// ticket; at that instance a table lets one copy run and gives its result to all.
package once

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

const (
	// Retention is how long a result is kept for copies that come late. Tickets
	// end well before.
	Retention = 10 * time.Minute
	// MaxEntries bounds the table; a full table refuses instead of forgetting.
	MaxEntries = 100_000
)

// Key identifies a not-repeatable request.
type Key struct {
	Organisation string
	ID           string
}

// entry is one request that runs or has run here.
type entry struct {
	fingerprint uint64
	done        chan struct{}
	result      request.Result
	until       time.Time
	// released is set if nothing of the request ran: it may come again.
	released bool
}

// Table holds the not-repeatable requests of this process. Safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	clock   clockwork.Clock
	entries map[Key]*entry
	swept   time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, entries: map[Key]*entry{}, swept: clock.Now()}
}

// Ran is what a run gives: the result, and whether it is the request's own fate,
// which copies are to be given too. The result of a forwarded copy is not.
type Ran struct {
	Result request.Result
	Final  bool
}

// Do calls run unless the request of this key is running or has run here; then it
// waits for that result, until ctx ends. A request whose result was NotRun or not
// final may come again: run is then called with again set. The fingerprint tells a
// copy from another request that wrongly has the same key.
func (t *Table) Do(ctx context.Context, key Key, fingerprint uint64, run func(again bool) Ran) request.Result {
	e, begun, err := t.begin(key, fingerprint)
	if err != nil {
		// A copy may have run elsewhere, or here and be forgotten; or another request
		// of this id has run.
		return request.Uncertain(key.ID, err)
	}
	if begun != copyOf {
		ran := run(begun == again)
		t.finish(e, ran)
		return ran.Result
	}
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
		return request.Uncertain(key.ID, problem.New(problem.Deadline, "ask again with the same request id", "request %s still runs for an earlier copy", key.ID))
	}
}

// begun says how a request stands to those that came before.
type begun int

const (
	// first: none came before.
	first begun = iota
	// again: one came before, and nothing of it ran.
	again
	// copyOf: one came before, and it runs or has run.
	copyOf
)

func (t *Table) begin(key Key, fingerprint uint64) (*entry, begun, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	before := t.entries[key]
	if before != nil && before.fingerprint != fingerprint {
		return nil, copyOf, problem.New(problem.Invalid, "give each request its own id; this copy was not run, another request of this id may have", "request id %s was used for another request", key.ID)
	}
	if before != nil && !before.released {
		return before, copyOf, nil
	}
	if before == nil && len(t.entries) >= MaxEntries {
		return nil, copyOf, problem.New(problem.Overloaded, "ask again later or at another instance; nothing of this copy ran", "%d not-repeatable requests are remembered here", MaxEntries)
	}
	e := &entry{fingerprint: fingerprint, done: make(chan struct{})}
	t.entries[key] = e
	if before != nil {
		return e, again, nil
	}
	return e, first, nil
}

func (t *Table) finish(e *entry, ran Ran) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = ran.Result
	e.until = t.clock.Now().Add(Retention)
	e.released = !ran.Final || ran.Result.Outcome == request.NotRun
	close(e.done)
}

// sweep drops the entries whose time is up, now and then.
func (t *Table) sweep() {
	now := t.clock.Now()
	if now.Sub(t.swept) < Retention/20 {
		return
	}
	t.swept = now
	for key, e := range t.entries {
		if !e.until.IsZero() && now.After(e.until) {
			delete(t.entries, key)
		}
	}
}
