package origin

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxRecords bounds the records of one instance. One takes about 150 bytes, so that all of them take
// 5 MB. An instance with 50 new streams a second that last for 30 seconds, among others like it, holds
// 4,500.
const maxRecords = 32768

// maxTTL bounds how long a record is held.
const maxTTL = 10 * time.Minute

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

// put stores a record and returns it as stored: if another origin was stored for its stream, the stream
// becomes doubtful.
func (t *table) put(r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	s := stored{record: r, expires: now.Add(min(r.TTL, maxTTL))}
	before, known := t.records[r.Key]
	if known && now.Before(before.expires) {
		s.record.Doubtful = r.Doubtful || before.record.Doubtful || r.Origin != before.record.Origin
		if before.expires.After(s.expires) {
			s.expires = before.expires
		}
	}
	if !known && len(t.records) >= maxRecords {
		t.evict()
	}
	t.records[r.Key] = s
	return s.record
}

// evict removes any record. The clients of that stream are refused if they resume it.
func (t *table) evict() {
	for key := range t.records {
		delete(t.records, key)
		return
	}
}

// dropExpired removes the expired records.
func (t *table) dropExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.records, func(_ Key, s stored) bool { return !now.Before(s.expires) })
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

// all returns the records that have not expired.
func (t *table) all() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	list := make([]Record, 0, len(t.records))
	for _, s := range t.records {
		if s.record.TTL = s.expires.Sub(now); s.record.TTL > 0 {
			list = append(list, s.record)
		}
	}
	return list
}

func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
