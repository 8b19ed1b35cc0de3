// Package atmostonce runs non-repeatable requests at most once. A request is bound to one incarnation of
// an instance by a claim in the key-value service or by a ticket. On that instance, a table runs
// one copy and returns its result to all others.
package atmostonce

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

const (
	// Retention is how long results are kept for late duplicates. It exceeds TicketLife.
	Retention = 10 * time.Minute
	// MaxEntries bounds the table. A full table refuses new requests instead of dropping entries.
	MaxEntries = 100_000
)

// Key identifies a non-repeatable request.
type Key struct {
	Organisation string
	ID           string
}

// entry records a request that is running or has run on this instance.
type entry struct {
	fingerprint uint64
	done        chan struct{}
	result      request.Result
	expiresAt   time.Time
	// retryable is set if nothing of the request ran.
	retryable bool
}

// Table holds the non-repeatable requests of this process. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	clock     clockwork.Clock
	entries   map[Key]*entry
	lastSweep time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, entries: map[Key]*entry{}, lastSweep: clock.Now()}
}

// RunResult is the result of a run. Final reports whether duplicates receive the same result,
// which is not the case if the request was forwarded.
type RunResult struct {
	Result request.Result
	Final  bool
}

// Do calls run unless a request with this key is running or has run; in that case it waits for its
// result until ctx ends. A request whose result was NotRun or not final may run again, with retry
// set. The fingerprint detects different requests with the same key.
func (t *Table) Do(ctx context.Context, key Key, fingerprint uint64, run func(retry bool) RunResult) request.Result {
	e, arrived, err := t.begin(key, fingerprint)
	if err != nil {
		// A copy may have run on another instance or its record may have expired, or a different
		// request with this ID has run.
		return request.Uncertain(key.ID, err)
	}
	if arrived != duplicate {
		ran := run(arrived == retry)
		t.finish(e, ran)
		return ran.Result
	}
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
		return request.Uncertain(key.ID, problem.New(problem.Deadline, "retry with the same request id", "an earlier copy of request %s is still running", key.ID))
	}
}

// arrival classifies a request by the earlier requests with its key.
type arrival int

const (
	// first: there was no earlier request.
	first arrival = iota
	// retry: nothing of the earlier request ran.
	retry
	// duplicate: the earlier request is running or has run.
	duplicate
)

func (t *Table) begin(key Key, fingerprint uint64) (*entry, arrival, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	earlier := t.entries[key]
	if earlier != nil && earlier.fingerprint != fingerprint {
		return nil, duplicate, problem.New(problem.Invalid, "use a unique id for each request; this copy was not run, another request with this id may have been", "request id %s was used for a different request", key.ID)
	}
	if earlier != nil && !earlier.retryable {
		return earlier, duplicate, nil
	}
	if earlier == nil && len(t.entries) >= MaxEntries {
		return nil, duplicate, problem.New(problem.Overloaded, "retry later or at another instance; nothing of this copy ran", "the table of non-repeatable requests is full (%d entries)", MaxEntries)
	}
	e := &entry{fingerprint: fingerprint, done: make(chan struct{})}
	t.entries[key] = e
	if earlier != nil {
		return e, retry, nil
	}
	return e, first, nil
}

func (t *Table) finish(e *entry, ran RunResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = ran.Result
	e.expiresAt = t.clock.Now().Add(Retention)
	e.retryable = !ran.Final || ran.Result.Outcome == request.NotRun
	close(e.done)
}

// sweep removes expired entries. It does nothing if called again too soon.
func (t *Table) sweep() {
	now := t.clock.Now()
	if now.Sub(t.lastSweep) < Retention/20 {
		return
	}
	t.lastSweep = now
	for key, e := range t.entries {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			delete(t.entries, key)
		}
	}
}
