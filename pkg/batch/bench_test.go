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

// BenchmarkCapacity gives the time of one forecast of a stage, and BenchmarkMake that of taking
// the pieces of one stage in, at the owner of one of four parts of 42 endpoints.
func BenchmarkCapacity(b *testing.B) {
	batcher, at := quarter()
	for b.Loop() {
		batcher.Capacity(at)
	}
}

func BenchmarkMake(b *testing.B) {
	batcher, at := quarter()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	due := time.Now().Add(time.Hour)
	pieces := make([]batch.Piece, 9)
	for i := range pieces {
		pieces[i] = batch.Piece{Index: i, Bytes: 1 << 16, Due: due, Deadline: due}
	}
	for b.Loop() {
		batcher.Make(ctx, at, pieces, nil)
	}
}

// quarter returns a batcher, and the queue of one of four parts of 42 endpoints in six failure
// domains, which all are at work.
func quarter() (*batch.Batcher, batch.Queue) {
	stand := &endpoints{calls: make(chan *call, 1000), batching: route.Batching{Slots: 1, Size: 14, PerCall: 240 * time.Millisecond, PerPiece: 15 * time.Millisecond, RoomBytes: 17 << 20, Retention: 10 * time.Second}, budget: 1}
	for n := range 42 {
		stand.ready = append(stand.ready, fleet.Endpoint{ID: fmt.Sprintf("mallas-%d", n), Service: "s", FailureDomain: fmt.Sprint("d", n%6)})
	}
	clock := clockwork.NewFakeClockAt(time.Now())
	batcher := batch.New(stand, stand, stand, clock, metrics.NewSet(), logging.Discard().For("batch"))
	return batcher, batch.Queue{Service: "s", Parts: 4}
}
