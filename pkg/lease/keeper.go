// Package lease implements a lease that at most one instance holds at a time, in the platform's
// key-value service. Each holder gets a fencing token that is higher than all previous ones.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// marginDivisor determines the safety margin of a lease as a fraction of its TTL, which allows
	// for clock drift between machines.
	marginDivisor = 5
	// renewDivisor determines the renewal interval as a fraction of the TTL.
	renewDivisor = 3
)

// Record is the value stored under the key of a lease.
type Record struct {
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
}

// Holding describes a lease that is held.
type Holding struct {
	// Token is the fencing token: the version of the key when the lease was acquired, which the
	// service increases with every write.
	Token int64
	// Since is when the lease was acquired.
	Since time.Time
	// Until is when the lease must no longer be used. It counts from before the last renewal was
	// sent, on the monotonic clock, so that a paused process or a slow response can only shorten
	// it.
	Until time.Time
}

// Keeper acquires and renews one lease. It is safe for concurrent use.
type Keeper struct {
	kv    infra.KeyValue
	clock clockwork.Clock
	log   *logrus.Entry
	key   string
	self  string
	ttl   time.Duration
	// wanted reports whether this instance should hold the lease.
	wanted func() bool

	mu      sync.Mutex
	holding Holding
	lease   infra.LeaseID
}

// NewKeeper returns a keeper for the lease at key. The caller must call Run.
func NewKeeper(kv infra.KeyValue, clock clockwork.Clock, log *logrus.Entry, key, self string, ttl time.Duration, wanted func() bool) *Keeper {
	return &Keeper{kv: kv, clock: clock, log: log, key: key, self: self, ttl: ttl, wanted: wanted}
}

// TTL returns the TTL of the lease.
func (k *Keeper) TTL() time.Duration { return k.ttl }

// Held returns the held lease and whether it may be used now.
func (k *Keeper) Held() (Holding, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding, k.holding.Token != 0 && k.clock.Now().Before(k.holding.Until)
}

// Run acquires and renews the lease until ctx is done, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Step(ctx)
		select {
		case <-k.clock.After(k.ttl / renewDivisor):
		case <-ctx.Done():
		}
	}
	k.release()
}

// Step acquires the lease if it is free, or renews it.
func (k *Keeper) Step(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	if lease != 0 {
		k.renew(ctx, lease)
		return
	}
	if k.wanted() {
		k.acquire(ctx)
	}
}

func (k *Keeper) renew(ctx context.Context, lease infra.LeaseID) {
	sent := k.clock.Now()
	err := k.kv.KeepAlive(ctx, lease)
	if err != nil && problem.KindOf(err) == problem.NotFound {
		k.markLost("lease expired before it was renewed")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.holding.Until = k.usableUntil(sent)
		return
	}
	// The renewal may have succeeded but cannot be relied on. A new lease is needed once the old
	// one has expired.
	if k.clock.Now().After(k.holding.Until.Add(k.ttl / marginDivisor)) {
		k.lease, k.holding = 0, Holding{}
	}
}

func (k *Keeper) usableUntil(sent time.Time) time.Time { return sent.Add(k.ttl - k.ttl/marginDivisor) }

func (k *Keeper) markLost(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.holding = 0, Holding{}
	k.log.WithFields(logrus.Fields{"event": "lease_lost", "key": k.key}).Warn(reason)
}

// acquire tries to acquire the lease. If the response to the write is lost, it reads the record
// back.
func (k *Keeper) acquire(ctx context.Context) {
	sent := k.clock.Now()
	lease, err := k.kv.Grant(ctx, k.ttl)
	if err != nil {
		return
	}
	record := Record{Holder: k.self, Nonce: uuid.NewString()}
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	token, err := k.kv.CompareAndSwap(ctx, k.key, 0, data, lease)
	if problem.KindOf(err) == problem.Unknown && err != nil {
		token, err = k.readBack(ctx, record)
	}
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = lease
	k.holding = Holding{Token: token, Since: k.clock.Now(), Until: k.usableUntil(sent)}
	k.log.WithFields(logrus.Fields{"event": "lease_taken", "key": k.key, "token": token}).Info()
}

func (k *Keeper) readBack(ctx context.Context, record Record) (int64, error) {
	value, err := k.kv.Get(ctx, k.key)
	if err != nil {
		return 0, err
	}
	var found Record
	if json.Unmarshal(value.Data, &found) != nil || found != record {
		return 0, infra.ConflictProblem(k.key, 0)
	}
	return value.Version, nil
}

// release releases the lease, so that another instance need not wait for its expiry.
func (k *Keeper) release() {
	k.mu.Lock()
	held := k.lease != 0
	k.lease, k.holding = 0, Holding{}
	k.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.ttl/renewDivisor)
	defer cancel()
	// Delete the key only if the record still names this instance.
	value, err := k.kv.Get(ctx, k.key)
	var found Record
	if err == nil && json.Unmarshal(value.Data, &found) == nil && found.Holder == k.self {
		_ = k.kv.Delete(ctx, k.key)
	}
}
