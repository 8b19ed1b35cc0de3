package fleet

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// buckets is into how many maps a table is cut. A change copies one of them: 40 entries of 10,000.
const buckets = 256

// table is an immutable map by text. Other tables with a few changes share all with it but the buckets that
// have changed.
type table[V any] struct {
	buckets *[buckets]map[string]V
	size    int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

func (t table[V]) get(key string) (value V, found bool) {
	if t.buckets == nil {
		return value, false
	}
	value, found = t.buckets[bucketOf(key)][key]
	return value, found
}

func (t table[V]) each(do func(key string, value V)) {
	if t.buckets == nil {
		return
	}
	for _, bucket := range t.buckets {
		for key, value := range bucket {
			do(key, value)
		}
	}
}

// edit returns an editor that begins with the table's entries.
func (t table[V]) edit() *editor[V] {
	e := &editor[V]{buckets: &[buckets]map[string]V{}, size: t.size}
	if t.buckets != nil {
		*e.buckets = *t.buckets
	}
	return e
}

// editor makes a table with some entries changed. It must not be used after the table was taken.
type editor[V any] struct {
	buckets *[buckets]map[string]V
	// own are the buckets that no other table has.
	own  [buckets]bool
	size int
}

// bucket returns the bucket of a key, for this table alone.
func (e *editor[V]) bucket(key string) map[string]V {
	at := bucketOf(key)
	if !e.own[at] {
		copied := make(map[string]V, len(e.buckets[at])+1)
		maps.Copy(copied, e.buckets[at])
		e.buckets[at], e.own[at] = copied, true
	}
	return e.buckets[at]
}

func (e *editor[V]) get(key string) (V, bool) {
	value, found := e.buckets[bucketOf(key)][key]
	return value, found
}

func (e *editor[V]) set(key string, value V) {
	bucket := e.bucket(key)
	before := len(bucket)
	bucket[key] = value
	e.size += len(bucket) - before
}

func (e *editor[V]) remove(key string) {
	if _, found := e.get(key); !found {
		return
	}
	delete(e.bucket(key), key)
	e.size--
}

// table returns the table with all that was changed.
func (e *editor[V]) table() table[V] { return table[V]{buckets: e.buckets, size: e.size} }
