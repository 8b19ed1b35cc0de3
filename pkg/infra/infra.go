// Package infra defines the interfaces to the services of the operators' platform: a
// key-value service and an instance list. The adapters are in subpackages.
package infra

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Value is the value of a key. Version is 0 if the key does not exist; otherwise it
// increases with each write of the key.
type Value struct {
	Data    []byte
	Version int64
}

// Found reports whether the key exists.
func (v Value) Found() bool { return v.Version != 0 }

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KeyValue is the platform's key-value service. Errors are problems of these kinds:
// Conflict (the comparison failed; nothing was written), Unavailable (nothing was
// written) and Unknown (the response was lost; the write may have taken effect).
type KeyValue interface {
	// Get returns the value of key.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the version of key is the expected one (0:
	// the key does not exist), and returns the new version. With a lease, the
	// key is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error)
	// Delete removes a key. Deleting a nonexistent key is not an error.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with NotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch calls changed with each value of key newer than version after. It
	// returns when ctx is done or the watch fails.
	Watch(ctx context.Context, key string, after int64, changed func(Value)) error
}

// State is the state of a listed instance.
type State string

// The states in the instance list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// ListEntry is an entry of the instance list.
type ListEntry struct {
	Name          string
	Address       string
	FailureDomain string
	// Service is the service that the endpoint belongs to; empty for an instance of
	// cobaltcroft itself.
	Service     string
	State       State
	Incarnation uint64
	// ChecksTokens is set if the endpoint rejects orders with an outdated fencing token.
	ChecksTokens bool
}

// InstanceList lists the live and leaving instances. It may lag.
type InstanceList interface {
	// List returns the entries, or unchanged if they are the same as in the last call.
	List(ctx context.Context) (entries []ListEntry, unchanged bool, err error)
}

// ConflictProblem returns the problem for a failed comparison.
func ConflictProblem(key string, expected int64) error {
	return problem.New(problem.Conflict, "read the key again and retry", "version of key %s is no longer %d", key, expected)
}
