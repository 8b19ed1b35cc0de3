package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// crashThreshold is the number of crashes at which a request is quarantined. It leaves room for
	// further crashes until all instances know of it.
	crashThreshold = 3
	// ambiguousThreshold applies while another request was running at each of the crashes.
	ambiguousThreshold = 5
	// retention is how long a crash is kept.
	retention = time.Hour
	// maxRequests and maxCrashesPerRequest limit the memory of a table to 11 MB (BenchmarkMemory). A
	// crash of 240 endpoints at once, each running 10 requests, leaves 2,400 requests with one crash.
	maxRequests          = 4096
	maxCrashesPerRequest = 8
)

// Table records which endpoints crashed while running which requests, as seen by this instance or
// reported by others. Instances that know the same crashes quarantine the same requests, regardless
// of the order of reports. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu       sync.Mutex
	requests map[Digest]*request
	// requestsByIncarnation contains the requests that were running when an endpoint crashed.
	requestsByIncarnation map[string]map[Digest]struct{}
	// quarantinedCount is the number of quarantined requests.
	quarantinedCount int
}

// request is the crash history of one request.
type request struct {
	crashes map[string]*crash
	// lastCrash is the time of the newest crash.
	lastCrash   time.Time
	quarantined bool
}

type crash struct {
	at      time.Time
	cleared bool
}

// New returns an empty table.
func New(clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{clock: clock, log: log, requests: map[Digest]*request{}, requestsByIncarnation: map[string]map[Digest]struct{}{}}
}

// IsQuarantined reports whether a request is quarantined.
func (t *Table) IsQuarantined(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	return r != nil && r.quarantined
}

// IsSuspect reports whether an endpoint has crashed while running the request.
func (t *Table) IsSuspect(d Digest) bool { return t.CrashCount(d) > 0 }

// CrashCount returns the number of endpoints that have crashed while running the request.
func (t *Table) CrashCount(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return 0
	}
	return r.activeCrashes()
}

// activeCrashes returns the number of crashes that are not cleared.
func (r *request) activeCrashes() int {
	n := 0
	for _, e := range r.crashes {
		if !e.cleared {
			n++
		}
	}
	return n
}

// Count returns the number of quarantined requests.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedCount
}

// RecordCrash records a crash observed by this instance.
func (t *Table) RecordCrash(d Digest, incarnation string) {
	t.Merge([]Crash{{Digest: d, Incarnation: incarnation}})
}

// Clear records that a request ran without crashing its endpoint, so its earlier crashes no longer
// count. It reports whether this changed the table.
func (t *Table) Clear(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return false
	}
	changed := false
	for _, e := range r.crashes {
		changed = changed || !e.cleared
		e.cleared = true
	}
	if changed {
		t.reevaluateAll(r)
	}
	return changed
}

// Merge merges crashes reported by another instance.
func (t *Table) Merge(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range crashes {
		if e.Age >= retention {
			continue
		}
		if r := t.add(e); r != nil {
			t.reevaluateAll(r)
		}
	}
}

// add adds a crash and returns its request, or nil if nothing changed.
func (t *Table) add(e Crash) *request {
	r := t.requests[e.Digest]
	if r == nil {
		t.evictIfFull()
		r = &request{crashes: map[string]*crash{}}
		t.requests[e.Digest] = r
	}
	if known := r.crashes[e.Incarnation]; known != nil {
		changed := e.Cleared && !known.cleared
		known.cleared = known.cleared || e.Cleared
		if changed {
			return r
		}
		return nil
	}
	if len(r.crashes) >= maxCrashesPerRequest {
		return nil
	}
	at := t.clock.Now().Add(-e.Age)
	r.crashes[e.Incarnation] = &crash{at: at, cleared: e.Cleared}
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	if t.requestsByIncarnation[e.Incarnation] == nil {
		t.requestsByIncarnation[e.Incarnation] = map[Digest]struct{}{}
	}
	t.requestsByIncarnation[e.Incarnation][e.Digest] = struct{}{}
	return r
}

// evictIfFull removes the request with the oldest last crash if the table is full, preferring
// requests that are not quarantined.
func (t *Table) evictIfFull() {
	if len(t.requests) < maxRequests {
		return
	}
	var candidate Digest
	var oldest *request
	for d, r := range t.requests {
		if oldest == nil || oldest.quarantined && !r.quarantined || oldest.quarantined == r.quarantined && r.lastCrash.Before(oldest.lastCrash) {
			candidate, oldest = d, r
		}
	}
	t.drop(candidate)
}

func (t *Table) drop(d Digest) {
	r := t.requests[d]
	delete(t.requests, d)
	if r.quarantined {
		t.quarantinedCount--
	}
	for incarnation := range r.crashes {
		delete(t.requestsByIncarnation[incarnation], d)
		if len(t.requestsByIncarnation[incarnation]) == 0 {
			delete(t.requestsByIncarnation, incarnation)
		}
	}
}

// Sweep removes requests whose last crash has expired.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for d, r := range t.requests {
		if now.Sub(r.lastCrash) >= retention {
			t.drop(d)
		}
	}
}
