// Package memquota limits the memory that an instance uses for the data of clients and endpoints.
// Requests over the limit are rejected immediately.
package memquota

import "sync/atomic"

// Quota tracks the bytes in use against a limit. It is safe for concurrent use.
type Quota struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewQuota returns an unused quota. A limit of 0 means unlimited.
func NewQuota(limit int64) *Quota {
	q := &Quota{}
	q.SetLimit(limit)
	return q
}

// SetLimit sets the limit in bytes; 0 means unlimited.
func (q *Quota) SetLimit(limit int64) { q.limit.Store(limit) }

// TryReserve reserves bytes if they are within the limit and reports whether it did.
func (q *Quota) TryReserve(bytes int64) bool { return q.tryReserveShare(bytes, 1) }

// tryReserveShare is TryReserve within a fraction of the limit.
func (q *Quota) tryReserveShare(bytes int64, share float64) bool {
	limit := int64(share * float64(q.limit.Load()))
	if after := q.used.Add(bytes); limit > 0 && after > limit {
		q.used.Add(-bytes)
		return false
	}
	return true
}

// Reserve reserves bytes regardless of the limit, for data that has already been received.
func (q *Quota) Reserve(bytes int64) { q.used.Add(bytes) }

// Release releases reserved bytes.
func (q *Quota) Release(bytes int64) { q.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (q *Quota) Used() int64 { return q.used.Load() }
