package fleet

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of buckets of a cowMap. A change copies one of them: 40 of 10,000 entries.
const buckets = 256

// cowMap is an immutable map. An edited copy shares all unchanged buckets with the original.
type cowMap[V any] struct {
	buckets *[buckets]map[string]V
	size    int
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

func (t cowMap[V]) get(key string) (value V, found bool) {
	if t.buckets == nil {
		return value, false
	}
	value, found = t.buckets[bucketOf(key)][key]
	return value, found
}

func (t cowMap[V]) forEach(do func(key string, value V)) {
	if t.buckets == nil {
		return
	}
	for _, bucket := range t.buckets {
		for key, value := range bucket {
			do(key, value)
		}
	}
}

// edit returns an editor that starts with the entries of the map.
func (t cowMap[V]) edit() *cowEditor[V] {
	e := &cowEditor[V]{buckets: &[buckets]map[string]V{}, size: t.size}
	if t.buckets != nil {
		*e.buckets = *t.buckets
	}
	return e
}

// cowEditor builds an edited copy of a cowMap. It must not be used after freeze.
type cowEditor[V any] struct {
	buckets *[buckets]map[string]V
	// owned marks the buckets that are not shared with another map.
	owned [buckets]bool
	size  int
}

// bucket returns a bucket that may be modified.
func (e *cowEditor[V]) bucket(key string) map[string]V {
	at := bucketOf(key)
	if !e.owned[at] {
		copied := make(map[string]V, len(e.buckets[at])+1)
		maps.Copy(copied, e.buckets[at])
		e.buckets[at], e.owned[at] = copied, true
	}
	return e.buckets[at]
}

func (e *cowEditor[V]) get(key string) (V, bool) {
	value, found := e.buckets[bucketOf(key)][key]
	return value, found
}

func (e *cowEditor[V]) set(key string, value V) {
	bucket := e.bucket(key)
	before := len(bucket)
	bucket[key] = value
	e.size += len(bucket) - before
}

func (e *cowEditor[V]) remove(key string) {
	if _, found := e.get(key); !found {
		return
	}
	delete(e.bucket(key), key)
	e.size--
}

// freeze returns the edited map.
func (e *cowEditor[V]) freeze() cowMap[V] { return cowMap[V]{buckets: e.buckets, size: e.size} }
