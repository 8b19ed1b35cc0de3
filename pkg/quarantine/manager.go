package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// loadTimeout limits how long a request waits for the store, which normally answers within 10 ms.
	loadTimeout = 50 * time.Millisecond
	// writeTimeout limits one write. A failed write is attempted maxWriteAttempts times in total,
	// with a delay that outlasts a short outage of the store.
	writeTimeout     = time.Second
	maxWriteAttempts = 5
	writeRetryDelay  = 500 * time.Millisecond
	// writeQueueSize limits the queue of crashes to be written, maxWriteBatch the crashes per
	// write.
	writeQueueSize = 256
	maxWriteBatch  = 32
	// storeRetention is how long the store keeps a crash. maxRewriteDelay bounds the random delay before
	// crashes are written again, which spreads the writes of all instances.
	storeRetention  = 10 * time.Minute
	maxRewriteDelay = 2 * time.Second
	// storedAge is the assumed age of a crash that is read from the store, which keeps no times. Those of the
	// last moments are heard from other instances first.
	storedAge = time.Second
)

// Store persists crashes for instances that cannot reach each other: during a network partition, or
// after all instances have restarted. It may discard them after ten minutes.
type Store interface {
	// SaveCrashes writes crashes.
	SaveCrashes(ctx context.Context, crashes []Crash) error
	// LoadCrashes returns the crashes of a request or a part, without their kind and age.
	LoadCrashes(ctx context.Context, d Digest) ([]Crash, error)
}

// Manager is a Table that shares its changes with the other instances and a store. It is safe for
// concurrent use.
type Manager struct {
	*Table
	store Store
	// broadcast sends recent changes of the table to all other instances.
	broadcast func()
	clock     clockwork.Clock
	log       *logrus.Entry
	// pendingWrites is the queue of crashes to be written.
	pendingWrites chan Crash
	// lost is signalled when the store may have lost crashes.
	lost chan struct{}

	mu sync.Mutex
	// observed maps the requests whose crashes this instance observed or cleared to the last time.
	observed map[Digest]time.Time
}

// NewManager returns a Manager for a table. broadcast sends recent changes of the table to all other
// instances and must not block.
func NewManager(table *Table, store Store, broadcast func(), clock clockwork.Clock, log *logrus.Entry) *Manager {
	return &Manager{Table: table, store: store, broadcast: broadcast, clock: clock, log: log, pendingWrites: make(chan Crash, writeQueueSize), lost: make(chan struct{}, 1), observed: map[Digest]time.Time{}}
}

// RecordCrash records that an endpoint crashed under a request, as observed by this instance.
func (m *Manager) RecordCrash(s Subject, incarnation string) {
	crashes := m.crashesOfSubject(s, incarnation)
	m.Merge(crashes)
	for _, c := range crashes {
		m.noteObserved(c.Digest)
	}
	m.publish(crashes)
}

// RanWell records that the answer to a request was complete, which clears the request and its parts.
func (m *Manager) RanWell(s Subject) {
	m.Clear(s.Request)
	for _, d := range m.noteSound(s.Parts) {
		m.noteObserved(d)
		m.publish(m.crashesOf(d))
	}
}

// Clear records that a request ran without crashing its endpoint.
func (m *Manager) Clear(d Digest) {
	if m.Table.Clear(d) {
		m.noteObserved(d)
		m.publish(m.crashesOf(d))
	}
}

// noteObserved records that this instance has written crashes of a request.
func (m *Manager) noteObserved(d Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetExpired()
	if len(m.observed) < maxRequests+maxParts {
		m.observed[d] = m.clock.Now()
	}
}

// forgetExpired drops requests whose crashes the store no longer keeps. The caller must hold the lock.
func (m *Manager) forgetExpired() {
	maps.DeleteFunc(m.observed, func(_ Digest, at time.Time) bool { return m.clock.Since(at) > storeRetention })
}

// RewriteLost writes the crashes that this instance has written again, because the store was restored
// from a copy that may lack them. It does not block.
func (m *Manager) RewriteLost() {
	select {
	case m.lost <- struct{}{}:
	default:
	}
}

// rewrite queues the crashes that this instance has written and that the store would still keep.
func (m *Manager) rewrite() {
	m.mu.Lock()
	m.forgetExpired()
	digests := slices.Collect(maps.Keys(m.observed))
	m.mu.Unlock()
	for _, d := range digests {
		m.enqueue(m.crashesOf(d))
	}
}

// publish broadcasts changes and queues crashes to be written.
func (m *Manager) publish(crashes []Crash) {
	m.broadcast()
	m.enqueue(crashes)
}

// enqueue queues crashes to be written.
func (m *Manager) enqueue(crashes []Crash) {
	for _, e := range crashes {
		select {
		case m.pendingWrites <- e:
		default:
			m.log.WithFields(logrus.Fields{"event": "end_not_kept", "digest": e.Digest.String()}).Warn("the write queue is full")
		}
	}
}

// LoadCrashes loads the crashes of a request and of the parts of its prompt from the store, of those that
// have some but are not quarantined: unreachable instances may have seen the others. This limits the
// crashes on each side of a partition, and after a restart of all instances, to one.
func (m *Manager) LoadCrashes(ctx context.Context, s Subject) {
	due := m.takeLoads(s)
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for _, l := range due {
		m.load(ctx, l.kind, l.digest)
	}
}

func (m *Manager) load(ctx context.Context, k Kind, d Digest) {
	crashes, err := m.store.LoadCrashes(ctx, d)
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "ends_not_recalled", "digest": d.String()}).Info(err)
		return
	}
	for i := range crashes {
		crashes[i].Kind, crashes[i].Age = k, storedAge
	}
	m.Merge(crashes)
}

// Run writes crashes to the store until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var due <-chan time.Time
	for {
		select {
		case e := <-m.pendingWrites:
			m.writeWithRetry(ctx, m.collectBatch(e))
		case <-m.lost:
			due = m.clock.After(rand.N(maxRewriteDelay))
		case <-due:
			m.rewrite()
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns a crash and those queued after it.
func (m *Manager) collectBatch(first Crash) []Crash {
	crashes := []Crash{first}
	for len(crashes) < maxWriteBatch {
		select {
		case e := <-m.pendingWrites:
			crashes = append(crashes, e)
		default:
			return crashes
		}
	}
	return crashes
}

// writeWithRetry writes crashes and retries failed writes.
func (m *Manager) writeWithRetry(ctx context.Context, crashes []Crash) {
	for attempt := 1; ; attempt++ {
		err := m.write(ctx, crashes)
		if err == nil || ctx.Err() != nil {
			return
		}
		m.log.WithFields(logrus.Fields{"event": "ends_not_kept", "ends": len(crashes), "try": attempt}).Warn(err)
		if attempt == maxWriteAttempts {
			return
		}
		select {
		case <-m.clock.After(writeRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) write(ctx context.Context, crashes []Crash) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return m.store.SaveCrashes(ctx, crashes)
}
