package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// endsHeld is how many endpoints must have ended under a request until it is refused: after three
	// the users allow three more, in which the news of the third has to come to all instances.
	endsHeld = 3
	// endsHeldAnyway is how many if another request ran beside it each time, so that it does not show
	// which of them it was.
	endsHeldAnyway = 5
	// kept is how long an end is remembered. Whoever sends such a request again after that has three
	// more endpoints ended.
	kept = time.Hour
	// maxRequests and maxEnds bound the memory, to 11 MB (BenchmarkMemory): the ends of that many
	// requests, and so many of each. A crash of 240 endpoints at once that each began 10 requests
	// leaves 2,400 with one end each.
	maxRequests = 4096
	maxEnds     = 8
)

// Table holds which endpoints ended under which requests, as far as this instance has seen it or heard of
// it from others. All instances that know the same ends refuse the same requests, in whatever order they
// heard of them. Safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu       sync.Mutex
	requests map[Digest]*request
	// under has the requests that each life ended under.
	under map[string]map[Digest]struct{}
	// held is how many requests are refused.
	held int
}

// request is what is known of the tries of one request.
type request struct {
	ends map[string]*end
	// last is when the newest end was.
	last time.Time
	held bool
}

type end struct {
	at      time.Time
	cleared bool
}

// New returns an empty table.
func New(clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{clock: clock, log: log, requests: map[Digest]*request{}, under: map[string]map[Digest]struct{}{}}
}

// Holds tells whether a request is to be refused, since it ends its endpoints.
func (t *Table) Holds(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	return r != nil && r.held
}

// Suspects tells whether an endpoint has ended under a request, which may be why.
func (t *Table) Suspects(d Digest) bool { return t.Ends(d) > 0 }

// Ends is how many endpoints have ended under a request, which may be why.
func (t *Table) Ends(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return 0
	}
	return r.standing()
}

// standing is how many ends are not cleared.
func (r *request) standing() int {
	n := 0
	for _, e := range r.ends {
		if !e.cleared {
			n++
		}
	}
	return n
}

// Held is how many requests are refused.
func (t *Table) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// Note takes in that an endpoint's life ended now under a request, as this instance saw.
func (t *Table) Note(d Digest, life string) { t.Hear([]End{{Digest: d, Life: life}}) }

// Clear takes in that a request ran without ending its endpoint, and tells whether that is news: the
// ends before it were not its doing.
func (t *Table) Clear(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return false
	}
	news := false
	for _, e := range r.ends {
		news = news || !e.cleared
		e.cleared = true
	}
	if news {
		t.judgeAll(r)
	}
	return news
}

// Hear takes in what another instance tells.
func (t *Table) Hear(ends []End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range ends {
		if e.Age >= kept {
			continue
		}
		if r := t.add(e); r != nil {
			t.judgeAll(r)
		}
	}
}

// add returns the request of an end if the end is news, and nil otherwise.
func (t *Table) add(e End) *request {
	r := t.requests[e.Digest]
	if r == nil {
		t.makeRoom()
		r = &request{ends: map[string]*end{}}
		t.requests[e.Digest] = r
	}
	if known := r.ends[e.Life]; known != nil {
		news := e.Cleared && !known.cleared
		known.cleared = known.cleared || e.Cleared
		if news {
			return r
		}
		return nil
	}
	if len(r.ends) >= maxEnds {
		return nil
	}
	at := t.clock.Now().Add(-e.Age)
	r.ends[e.Life] = &end{at: at, cleared: e.Cleared}
	if at.After(r.last) {
		r.last = at
	}
	if t.under[e.Life] == nil {
		t.under[e.Life] = map[Digest]struct{}{}
	}
	t.under[e.Life][e.Digest] = struct{}{}
	return r
}

// makeRoom drops the request whose last end is longest ago, of those that are not refused if there are
// any, when there are too many.
func (t *Table) makeRoom() {
	if len(t.requests) < maxRequests {
		return
	}
	var oldest Digest
	var found *request
	for d, r := range t.requests {
		if found == nil || found.held && !r.held || found.held == r.held && r.last.Before(found.last) {
			oldest, found = d, r
		}
	}
	t.drop(oldest)
}

func (t *Table) drop(d Digest) {
	r := t.requests[d]
	delete(t.requests, d)
	if r.held {
		t.held--
	}
	for life := range r.ends {
		delete(t.under[life], d)
		if len(t.under[life]) == 0 {
			delete(t.under, life)
		}
	}
}

// Sweep forgets the requests under which the last endpoint ended long ago.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for d, r := range t.requests {
		if now.Sub(r.last) >= kept {
			t.drop(d)
		}
	}
}
