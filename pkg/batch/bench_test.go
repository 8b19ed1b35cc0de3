package batch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// BenchmarkCapacity measures one capacity forecast in one of four partitions of 42 endpoints.
func BenchmarkCapacity(b *testing.B) {
	batcher, at := newQuarterBatcher()
	for b.Loop() {
		batcher.Capacity(at)
	}
}

// BenchmarkMake measures submitting the pieces of one stage in the same setup.
func BenchmarkMake(b *testing.B) {
	batcher, at := newQuarterBatcher()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	due := time.Now().Add(time.Hour)
	pieces := make([]batch.Piece, 9)
	for i := range pieces {
		pieces[i] = batch.Piece{Index: i, Bytes: 1 << 16, Due: due, Deadline: due}
	}
	for b.Loop() {
		batcher.Process(ctx, at, pieces, nil)
	}
}

// newQuarterBatcher returns a batcher and the queue of one of four partitions of 42 endpoints in
// six failure domains.
func newQuarterBatcher() (*batch.Batcher, batch.Queue) {
	fake := &fakeEndpoints{calls: make(chan *call, 1000), batching: route.Batching{Slots: 1, Size: 14, PerCall: 240 * time.Millisecond, PerPiece: 15 * time.Millisecond, MemoryBytes: 17 << 20, Retention: 10 * time.Second}, budget: 1}
	for n := range 42 {
		fake.ready = append(fake.ready, fleet.Endpoint{ID: fmt.Sprintf("mallas-%d", n), Service: "s", FailureDomain: fmt.Sprint("d", n%6)})
	}
	clock := clockwork.NewFakeClockAt(time.Now())
	batcher := batch.New(fake, fake, fake, clock, metrics.NewSet(), logging.Discard().For("batch"))
	return batcher, batch.Queue{Service: "s", Parts: 4}
}
