// Package infra defines the narrow interfaces to what the operators' platform
// gives: a key-value service and an instance list. Adapters are in sub-packages;
// none of them decides anything.
package infra

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// MaxValue is the greatest size of a value in bytes.
const MaxValue = 1 << 20

// Value is what a key holds. Version is 0 if the key does not exist; else it grows
// with each write of the key.
type Value struct {
	Data    []byte
	Version int64
}

// Found tells whether the key exists.
func (v Value) Found() bool { return v.Version != 0 }

// LeaseID identifies a lease; 0 stands for none.
type LeaseID int64

// KeyValue is the platform's key-value service. Errors are problems of these kinds:
// Conflict (the compare failed: nothing was written), Unavailable (nothing was
// written) and Unknown (the answer was lost: it may have been written).
type KeyValue interface {
	// Get returns the value of key.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the version of key is the expected one (0:
	// the key does not exist), and returns the new version. With a lease, the
	// key goes when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error)
	// Delete removes a key. A key that does not exist is no error.
	Delete(ctx context.Context, key string) error
	// Grant makes a lease that ends after ttl unless kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive begins the lease's time anew. It fails with NotFound if the
	// lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch calls changed with the values of key of versions above after, as they
	// are written, until ctx ends or the watch breaks, and returns why.
	Watch(ctx context.Context, key string, after int64, changed func(Value)) error
}

// State of a listed instance.
type State string

// The states that the instance list gives.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Listed is one entry of the instance list.
type Listed struct {
	Name          string
	Address       string
	FailureDomain string
	// Service is the service whose endpoint this is; empty for an entry instance
	// of the system itself.
	Service     string
	State       State
	Incarnation uint64
	// ChecksTokens says that the endpoint refuses orders with an old fencing token.
	ChecksTokens bool
}

// InstanceList gives live and leaving instances, with a lag.
type InstanceList interface {
	// List returns the entries, or unchanged if they are as the last call gave them.
	List(ctx context.Context) (entries []Listed, unchanged bool, err error)
}

// ErrConflict returns the problem for a failed compare.
func ErrConflict(key string, expected int64) error {
	return problem.New(problem.Conflict, "read the key again and decide anew", "key %s has no longer version %d", key, expected)
}
