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
	bytes atomic.Int64
	calls atomic.Int64
}

// NewUsage returns a usage without bytes, whose counters are made in set.
func NewUsage(set *metrics.Set) *Usage { return &Usage{set: set} }

// add counts one message of a method; nothing if u is nil.
func (u *Usage) add(method string, direction Direction, bytes int) {
	if u == nil {
		return
	}
	k := kind{method, direction}
	counted, known := u.counts.Load(k)
	if !known {
		counted, known = u.counts.LoadOrStore(k, &usageCount{})
	}
	count := counted.(*usageCount)
	if !known {
		u.set.NewGauge(fmt.Sprintf("cobaltcroft_peer_bytes_total{method=%q,direction=%q}", method, direction), func() float64 { return float64(count.bytes.Load()) })
	}
	count.bytes.Add(int64(bytes))
	count.calls.Add(1)
}

// Each calls do with the bytes and messages of each method and direction so far, in no order.
func (u *Usage) Each(do func(method string, direction Direction, bytes, calls int64)) {
	u.counts.Range(func(k, v any) bool {
		count := v.(*usageCount)
		do(k.(kind).method, k.(kind).direction, count.bytes.Load(), count.calls.Load())
		return true
	})
}
