package origin

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxRecords bounds the records of one instance. One takes about 150 bytes, so that all of them take
// 5 MB. An instance with 50 new streams a second that last for 30 seconds, among others like it, holds
// 4,500.
const maxRecords = 32768

// table holds records until they expire. It is safe for concurrent use.
type table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records map[Key]stored
}

// stored is a record with its expiry time instead of its TTL.
type stored struct {
	record  Record
	expires time.Time
}

func newTable(clock clockwork.Clock) *table {
	return &table{clock: clock, records: map[Key]stored{}}
}

// put stores a record. If another origin is stored for its stream, the stream becomes doubtful. It
// returns the stored record, and whether it differs from what was stored.
func (t *table) put(r Record) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := stored{record: r, expires: now.Add(r.TTL)}
	before, known := t.records[r.Key]
	if known && now.Before(before.expires) {
		s.record.Doubtful = r.Doubtful || before.record.Doubtful || r.Origin != before.record.Origin
		if before.expires.After(s.expires) {
			s.expires = before.expires
		}
	}
	if !known && len(t.records) >= maxRecords {
		t.evict(now)
	}
	t.records[r.Key] = s
	return s.record, !known || s.record.Doubtful != before.record.Doubtful
}

// evict removes the expired records, or any one if there are none. The clients of that stream are
// refused if they resume it.
func (t *table) evict(now time.Time) {
	t.dropExpired(now)
	if len(t.records) < maxRecords {
		return
	}
	for key := range t.records {
		delete(t.records, key)
		return
	}
}

func (t *table) dropExpired(now time.Time) {
	for key, s := range t.records {
		if !now.Before(s.expires) {
			delete(t.records, key)
		}
	}
}

// get returns the record of a stream.
func (t *table) get(key Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.records[key]
	now := t.clock.Now()
	if !known || !now.Before(s.expires) {
		return Record{}, false
	}
	s.record.TTL = s.expires.Sub(now)
	return s.record, true
}

// all returns the records that have not expired, and removes the others.
func (t *table) all() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.dropExpired(now)
	list := make([]Record, 0, len(t.records))
	for _, s := range t.records {
		s.record.TTL = s.expires.Sub(now)
		list = append(list, s.record)
	}
	return list
}

func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
