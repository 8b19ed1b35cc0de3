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
	// maxParts limits the parts of prompts in a table. Clients can send any number of different ones.
	maxParts = 2048
)

// Table records which endpoints crashed while running which requests, and requests with which parts of
// prompts, as seen by this instance or reported by others. Instances that know the same crashes
// quarantine the same requests, regardless of the order of reports. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// suspectsByIncarnation contains what was running when an endpoint crashed.
	suspectsByIncarnation map[string]map[Digest]struct{}
	// counts is the number of suspects of each kind, quarantinedCounts that of the quarantined ones.
	counts            [kinds]int
	quarantinedCounts [kinds]int
	// sound are the parts that this instance has seen run without a crash.
	sound soundParts
}

// suspect is the crash history of one request or part.
type suspect struct {
	kind    Kind
	crashes map[string]*crash
	// lastCrash is the time of the newest crash.
	lastCrash   time.Time
	quarantined bool
	// rivals are the parts that may as well have caused the crashes of a quarantined part.
	rivals []Digest
	// loadedAt is when the crashes were last loaded from the store.
	loadedAt time.Time
}

type crash struct {
	at      time.Time
	cleared bool
}

// New returns an empty table.
func New(clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{clock: clock, log: log, suspects: map[Digest]*suspect{}, suspectsByIncarnation: map[string]map[Digest]struct{}{}}
}

// IsQuarantined reports whether a request or a part is quarantined.
func (t *Table) IsQuarantined(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.suspects[d]
	return r != nil && r.quarantined
}

// CrashCount returns the number of endpoints that have crashed while running the request.
func (t *Table) CrashCount(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.suspects[d]
	if r == nil {
		return 0
	}
	return r.activeCrashes()
}

// activeCrashes returns the number of crashes that are not cleared.
func (r *suspect) activeCrashes() int {
	n := 0
	for _, e := range r.crashes {
		if !e.cleared {
			n++
		}
	}
	return n
}

// Count returns the number of quarantined requests.
func (t *Table) Count() int { return t.countOf(Request) }

// PartCount returns the number of quarantined parts.
func (t *Table) PartCount() int { return t.countOf(PromptPart) }

func (t *Table) countOf(k Kind) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedCounts[k]
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
	return t.clear(d)
}

// clear is Clear for callers that hold the lock.
func (t *Table) clear(d Digest) bool {
	r := t.suspects[d]
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

// Merge merges crashes reported by another instance. Those of a part that this instance knows to be sound
// are cleared, and so reported.
func (t *Table) Merge(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, e := range crashes {
		if e.Age >= retention {
			continue
		}
		e.Cleared = e.Cleared || e.Kind == PromptPart && t.sound.excuses(e.Digest, now.Add(-e.Age))
		if r := t.add(e); r != nil {
			t.reevaluateAll(r)
		}
	}
}

// add adds a crash and returns its suspect, or nil if nothing changed.
func (t *Table) add(e Crash) *suspect {
	r := t.suspects[e.Digest]
	if r == nil {
		t.evictIfFull(e.Kind)
		r = &suspect{kind: e.Kind, crashes: map[string]*crash{}}
		t.suspects[e.Digest] = r
		t.counts[e.Kind]++
	}
	if known := r.crashes[e.Incarnation]; known != nil {
		changed := e.Cleared && !known.cleared
		known.cleared = known.cleared || e.Cleared
		if changed {
			return r
		}
		return nil
	}
	if len(r.crashes) >= maxCrashesPerRequest && (e.Cleared || !t.dropCleared(e.Digest, r)) {
		return nil
	}
	at := t.clock.Now().Add(-e.Age)
	r.crashes[e.Incarnation] = &crash{at: at, cleared: e.Cleared}
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	if t.suspectsByIncarnation[e.Incarnation] == nil {
		t.suspectsByIncarnation[e.Incarnation] = map[Digest]struct{}{}
	}
	t.suspectsByIncarnation[e.Incarnation][e.Digest] = struct{}{}
	return r
}

// dropCleared makes room for a crash of a suspect by dropping its oldest cleared one, if it has any.
func (t *Table) dropCleared(d Digest, r *suspect) bool {
	oldest := ""
	for incarnation, e := range r.crashes {
		if e.cleared && (oldest == "" || e.at.Before(r.crashes[oldest].at)) {
			oldest = incarnation
		}
	}
	if oldest == "" {
		return false
	}
	delete(r.crashes, oldest)
	t.unlink(d, oldest)
	return true
}

// unlink removes a suspect from those of an incarnation.
func (t *Table) unlink(d Digest, incarnation string) {
	delete(t.suspectsByIncarnation[incarnation], d)
	if len(t.suspectsByIncarnation[incarnation]) == 0 {
		delete(t.suspectsByIncarnation, incarnation)
	}
}

// evictIfFull removes the suspect of a kind with the oldest last crash if the table is full of them,
// preferring those that are not quarantined.
func (t *Table) evictIfFull(k Kind) {
	if t.counts[k] < k.limit() {
		return
	}
	var candidate Digest
	var oldest *suspect
	for d, r := range t.suspects {
		if r.kind != k {
			continue
		}
		if oldest == nil || oldest.quarantined && !r.quarantined || oldest.quarantined == r.quarantined && r.lastCrash.Before(oldest.lastCrash) {
			candidate, oldest = d, r
		}
	}
	t.drop(candidate)
}

func (t *Table) drop(d Digest) {
	r := t.suspects[d]
	delete(t.suspects, d)
	t.counts[r.kind]--
	if r.quarantined {
		t.quarantinedCounts[r.kind]--
	}
	for incarnation := range r.crashes {
		t.unlink(d, incarnation)
	}
}

// Sweep removes suspects whose last crash has expired.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for d, r := range t.suspects {
		if now.Sub(r.lastCrash) >= retention {
			t.drop(d)
		}
	}
}
