// Package held counts the bytes that one instance holds for clients and endpoints, so that it refuses at once what
// it has no memory for.
package held

import "sync/atomic"

// Account is the bytes held, and how many may be. Safe for concurrent use.
type Account struct {
	limit atomic.Int64
	held  atomic.Int64
}

// NewAccount returns an account of which nothing is held. A limit of 0 is none.
func NewAccount(limit int64) *Account {
	a := &Account{}
	a.SetLimit(limit)
	return a
}

// SetLimit sets how many bytes may be held; 0: any number.
func (a *Account) SetLimit(limit int64) { a.limit.Store(limit) }

// Take counts bytes in that are to be held, unless they would be too many, and tells whether it did.
func (a *Account) Take(bytes int64) bool {
	limit := a.limit.Load()
	if after := a.held.Add(bytes); limit > 0 && after > limit {
		a.held.Add(-bytes)
		return false
	}
	return true
}

// Add counts bytes in that are held in any case, such as those of an answer that has come.
func (a *Account) Add(bytes int64) { a.held.Add(bytes) }

// Free counts bytes out.
func (a *Account) Free(bytes int64) { a.held.Add(-bytes) }

// Held is how many bytes are held.
func (a *Account) Held() int64 { return a.held.Load() }
