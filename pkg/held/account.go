// Package held limits the memory that an instance uses for the data of clients and endpoints.
// Requests over the limit are rejected immediately.
package held

import "sync/atomic"

// Quota tracks the bytes in use against a limit. It is safe for concurrent use.
type Account struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewQuota returns an unused quota. A limit of 0 means unlimited.
func NewAccount(limit int64) *Account {
	a := &Account{}
	a.SetLimit(limit)
	return a
}

// SetLimit sets the limit in bytes; 0 means unlimited.
func (a *Account) SetLimit(limit int64) { a.limit.Store(limit) }

// TryReserve reserves bytes if they are within the limit and reports whether it did.
func (a *Account) Take(bytes int64) bool {
	limit := a.limit.Load()
	if after := a.used.Add(bytes); limit > 0 && after > limit {
		a.used.Add(-bytes)
		return false
	}
	return true
}

// Reserve reserves bytes regardless of the limit, for data that has already been received.
func (a *Account) Add(bytes int64) { a.used.Add(bytes) }

// Release releases reserved bytes.
func (a *Account) Free(bytes int64) { a.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (a *Account) Held() int64 { return a.used.Load() }
