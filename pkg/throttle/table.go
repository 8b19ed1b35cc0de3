// Package throttle enforces the rate limits that endpoints report in their responses, in requests
// per second from all instances together.
package throttle

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Table holds the reported rate limits. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// inForce is the number of limits in force. It makes lookups cheap while there are none.
	inForce atomic.Int64

	mu sync.Mutex
	// entries is keyed by endpoint ID.
	entries map[string]entry
	// next is the index of the first entry of the next Gossip.
	next int
}

// entry is the last known limit of an endpoint.
type entry struct {
	limited bool
	// perSecond is in requests per second.
	perSecond float64
	// reportedAt is when an instance received it from the endpoint.
	reportedAt time.Time
}

// NewTable returns a table without limits.
func NewTable(clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{clock: clock, log: log, entries: map[string]entry{}}
}

// Set records that an endpoint reported a limit, in requests per second.
func (t *Table) Set(id string, perSecond float64) {
	t.mergeEntry(id, entry{limited: true, perSecond: perSecond, reportedAt: t.clock.Now()})
}

// Clear records that an endpoint responded without a limit.
func (t *Table) Clear(id string) {
	if t.inForce.Load() > 0 {
		t.mergeEntry(id, entry{reportedAt: t.clock.Now()})
	}
}

// mergeEntry stores an entry if it is newer than the known one.
func (t *Table) mergeEntry(id string, s entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.entries[id]
	if known && !s.reportedAt.After(before.reportedAt) || !known && !s.limited {
		return
	}
	t.entries[id] = s
	if s.limited && !before.limited {
		t.inForce.Add(1)
	}
	if !s.limited && before.limited {
		t.inForce.Add(-1)
	}
	if s.limited != before.limited || s.perSecond != before.perSecond {
		t.log.WithFields(logrus.Fields{"event": "endpoint_limits", "endpoint": id, "limited": s.limited, "per_second": s.perSecond}).Info()
	}
}

// PerSecond returns the limit of an endpoint in requests per second, and whether there is one.
func (t *Table) PerSecond(id string) (float64, bool) {
	if t.inForce.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[id]
	return s.perSecond, s.limited
}

// age is the time since the endpoint reported its last known limit.
func (t *Table) age(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Since(t.entries[id].reportedAt)
}

// transitMargin is added to the age of gossiped entries to account for the transit time. Otherwise
// an old entry would appear newer with each hop and could override a later report.
const transitMargin = 250 * time.Millisecond

// Gossip returns up to n entries to send to other instances, in rotation.
func (t *Table) Gossip(n int) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil
	}
	ids := slices.Sorted(maps.Keys(t.entries))
	n = min(n, len(ids))
	limits := make([]Limit, 0, n)
	for i := range n {
		id := ids[(t.next+i)%len(ids)]
		s := t.entries[id]
		limits = append(limits, Limit{EndpointID: id, Limited: s.limited, PerSecond: s.perSecond, Age: t.clock.Since(s.reportedAt) + transitMargin})
	}
	t.next = (t.next + n) % len(ids)
	return limits
}

// Merge applies entries received from another instance.
func (t *Table) Merge(limits []Limit) {
	now := t.clock.Now()
	for _, l := range limits {
		t.mergeEntry(l.EndpointID, entry{limited: l.Limited, perSecond: l.PerSecond, reportedAt: now.Add(-l.Age)})
	}
}

// Count returns the number of limits in force.
func (t *Table) Count() int { return int(t.inForce.Load()) }

// List returns the limits in force, in requests per second.
func (t *Table) List() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]float64{}
	for id, s := range t.entries {
		if s.limited {
			list[id] = s.perSecond
		}
	}
	return list
}

// clearedTTL is how long a cleared limit is remembered, so that older reports of it are recognised
// as outdated.
const clearedTTL = time.Minute

// Sweep removes expired entries of cleared limits and of endpoints that no longer exist.
func (t *Table) Sweep(exists func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.entries {
		old := t.clock.Since(s.reportedAt) > clearedTTL
		if s.limited && exists(id) || !old {
			continue
		}
		if s.limited {
			t.inForce.Add(-1)
		}
		delete(t.entries, id)
	}
}
