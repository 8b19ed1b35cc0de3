// Package lease holds a right that one instance at a time may have, in the platform's
// key-value service. Each holder gets a fencing token that is higher than all before.
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
	// marginPart is the part of a lease's time that the holder does not count on:
	// clocks of two machines run apart.
	marginPart = 5
	// renewPart is the part of a lease's time after which it is renewed.
	renewPart = 3
)

// Record is the value of a lease's key.
type Record struct {
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"`
}

// Holding is a lease that is held.
type Holding struct {
	// Token is the fencing token: the key's version when the lease was taken, which
	// the service makes grow with every write.
	Token int64
	// Since is when the lease was taken.
	Since time.Time
	// Until is when it must no longer be used. It is reckoned from before the last
	// renewal was sent, on the monotonic clock, so that a pause of the process or a
	// slow answer can only make it end too early.
	Until time.Time
}

// Keeper takes and renews one lease. Safe for concurrent use.
type Keeper struct {
	kv    infra.KeyValue
	clock clockwork.Clock
	log   *logrus.Entry
	key   string
	self  string
	ttl   time.Duration
	// wanted tells whether this instance should hold the lease.
	wanted func() bool

	mu      sync.Mutex
	holding Holding
	lease   infra.LeaseID
}

// NewKeeper returns a keeper of the lease at key; Run must be called for it to work.
func NewKeeper(kv infra.KeyValue, clock clockwork.Clock, log *logrus.Entry, key, self string, ttl time.Duration, wanted func() bool) *Keeper {
	return &Keeper{kv: kv, clock: clock, log: log, key: key, self: self, ttl: ttl, wanted: wanted}
}

// TTL returns the lease's time.
func (k *Keeper) TTL() time.Duration { return k.ttl }

// Held returns the holding, and whether it may be used now.
func (k *Keeper) Held() (Holding, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding, k.holding.Token != 0 && k.clock.Now().Before(k.holding.Until)
}

// Run takes and renews the lease until ctx ends, then gives it up.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Step(ctx)
		select {
		case <-k.clock.After(k.ttl / renewPart):
		case <-ctx.Done():
		}
	}
	k.release()
}

// Step takes the lease if it is free, or renews it.
func (k *Keeper) Step(ctx context.Context) {
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	if lease != 0 {
		k.renew(ctx, lease)
		return
	}
	if k.wanted() {
		k.take(ctx)
	}
}

func (k *Keeper) renew(ctx context.Context, lease infra.LeaseID) {
	sent := k.clock.Now()
	err := k.kv.KeepAlive(ctx, lease)
	if err != nil && problem.KindOf(err) == problem.NotFound {
		k.lose("the lease ended before it was renewed")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.holding.Until = k.usable(sent)
		return
	}
	// Unknown or out: it may have been renewed, but may not be counted on. Once the
	// old time is over, a new lease is needed.
	if k.clock.Now().After(k.holding.Until.Add(k.ttl / marginPart)) {
		k.lease, k.holding = 0, Holding{}
	}
}

func (k *Keeper) usable(sent time.Time) time.Time { return sent.Add(k.ttl - k.ttl/marginPart) }

func (k *Keeper) lose(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.holding = 0, Holding{}
	k.log.WithFields(logrus.Fields{"event": "lease_lost", "key": k.key}).Warn(why)
}

// take tries to take the lease. A write whose answer was lost is read back.
func (k *Keeper) take(ctx context.Context) {
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
	k.holding = Holding{Token: token, Since: k.clock.Now(), Until: k.usable(sent)}
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

// release gives the lease up, so that another instance need not wait for its end.
func (k *Keeper) release() {
	k.mu.Lock()
	held := k.lease != 0
	k.lease, k.holding = 0, Holding{}
	k.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.ttl/renewPart)
	defer cancel()
	// The key is deleted only if it still is ours: the value compared names us.
	value, err := k.kv.Get(ctx, k.key)
	var found Record
	if err == nil && json.Unmarshal(value.Data, &found) == nil && found.Holder == k.self {
		_ = k.kv.Delete(ctx, k.key)
	}
}
