package peers

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Direction tells the two ways of the bytes that come from peers.
type Direction string

// What peers ask of this instance, and what they answer it.
const (
	Questions Direction = "questions"
	Answers   Direction = "answers"
)

// kind is what bytes are counted by.
type kind struct {
	method    string
	direction Direction
}

// Usage counts the bytes that come from peers, by method: what control costs on the links of a large
// fleet is seen nowhere else. Safe for concurrent use.
type Usage struct {
	set    *metrics.Set
	counts sync.Map // of kind to *usageCount
}

// usageCount is what came of one kind.
type usageCount struct {
	bytes *metrics.Counter
	calls atomic.Int64
}

// NewUsage returns a usage without bytes, whose counters are made in set.
func NewUsage(set *metrics.Set) *Usage { return &Usage{set: set} }

// add counts one message of a method; nothing if u is nil.
func (u *Usage) add(method string, direction Direction, bytes int) {
	if u == nil {
		return
	}
	count := u.count(kind{method, direction})
	count.bytes.Add(bytes)
	count.calls.Add(1)
}

func (u *Usage) count(k kind) *usageCount {
	if count, known := u.counts.Load(k); known {
		return count.(*usageCount)
	}
	bytes := u.set.GetOrCreateCounter(fmt.Sprintf("cobaltcroft_peer_bytes_total{method=%q,direction=%q}", k.method, k.direction))
	count, _ := u.counts.LoadOrStore(k, &usageCount{bytes: bytes})
	return count.(*usageCount)
}

// Each calls do with the bytes and messages of each method and direction so far, in no order.
func (u *Usage) Each(do func(method string, direction Direction, bytes, calls int64)) {
	u.counts.Range(func(k, v any) bool {
		count := v.(*usageCount)
		do(k.(kind).method, k.(kind).direction, int64(count.bytes.Get()), count.calls.Load())
		return true
	})
}
