package peers

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Direction is the direction of the calls whose messages are counted.
type Direction string

// Parameters of calls received from peers, and results of calls made to peers.
const (
	Requests  Direction = "questions"
	Responses Direction = "answers"
)

// usageKey is the key of a counter.
type usageKey struct {
	method    string
	direction Direction
}

// Usage counts the bytes received from peers by method. Safe for concurrent use.
type Usage struct {
	set    *metrics.Set
	counts sync.Map // of kind to *usageCount
}

// usageCount counts the messages of one kind.
type usageCount struct {
	bytes *metrics.Counter
	calls atomic.Int64
}

// NewUsage returns an empty usage whose counters are registered in set.
func NewUsage(set *metrics.Set) *Usage { return &Usage{set: set} }

// add counts one message of a method. It does nothing if u is nil.
func (u *Usage) add(method string, direction Direction, bytes int) {
	if u == nil {
		return
	}
	count := u.count(usageKey{method, direction})
	count.bytes.Add(bytes)
	count.calls.Add(1)
}

func (u *Usage) count(k usageKey) *usageCount {
	if count, known := u.counts.Load(k); known {
		return count.(*usageCount)
	}
	bytes := u.set.GetOrCreateCounter(fmt.Sprintf("cobaltcroft_peer_bytes_total{method=%q,direction=%q}", k.method, k.direction))
	count, _ := u.counts.LoadOrStore(k, &usageCount{bytes: bytes})
	return count.(*usageCount)
}

// Each calls do with the bytes and messages of each method and direction, in no particular order.
func (u *Usage) Each(do func(method string, direction Direction, bytes, calls int64)) {
	u.counts.Range(func(k, v any) bool {
		count := v.(*usageCount)
		do(k.(usageKey).method, k.(usageKey).direction, int64(count.bytes.Get()), count.calls.Load())
		return true
	})
}
