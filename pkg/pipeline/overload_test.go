package pipeline_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// Urgent requests arrive at about twice the rate that can be processed, along with less urgent ones.
// The capacity is that of ten endpoints with calls of 40 pieces and 444 ms; a request has four pieces.
const (
	loadRate     = 900.0
	loadPieces   = 4
	urgentPerS   = 300
	otherPerS    = 60
	loadDuration = 15 * time.Second
	loadTick     = 10 * time.Millisecond
	urgentWithin = 2200 * time.Millisecond
	otherWithin  = 2300 * time.Millisecond
)

// simulatedBatcher processes pieces in order of their due times at a constant rate.
type simulatedBatcher struct {
	clock *clockwork.FakeClock

	mu      sync.Mutex
	waiting []*pendingRequest
	left    float64
	began   int
}

// pendingRequest is the pieces of one request.
type pendingRequest struct {
	pieces []batch.Piece
	done   chan struct{}
}

func (l *simulatedBatcher) Process(ctx context.Context, _ batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	a := &pendingRequest{pieces: pieces, done: make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, a)
	l.began++
	l.mu.Unlock()
	results := make([]batch.Result, len(pieces))
	select {
	case <-a.done:
		for i := range results {
			results[i].Handle = "made"
		}
	case <-ctx.Done():
	}
	return results
}

// work processes pieces for a period and returns the number of completed requests.
func (l *simulatedBatcher) work(lasts time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = min(l.left+loadRate*lasts.Seconds(), loadRate*lasts.Seconds()+loadPieces)
	done := 0
	for len(l.waiting) > 0 {
		first := 0
		for i, a := range l.waiting {
			if a.pieces[0].Due.Before(l.waiting[first].pieces[0].Due) {
				first = i
			}
		}
		if l.left < float64(len(l.waiting[first].pieces)) {
			return done
		}
		l.left -= float64(len(l.waiting[first].pieces))
		close(l.waiting[first].done)
		l.waiting = append(l.waiting[:first], l.waiting[first+1:]...)
		done++
	}
	return done
}

func (l *simulatedBatcher) begun() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began
}

func (l *simulatedBatcher) Capacity(batch.Queue) batch.Capacity {
	return batch.Capacity{PerSecond: loadRate, AtOnce: 400, CallTime: 444 * time.Millisecond, MemoryBytes: 1 << 30, Size: 40}
}

func (*simulatedBatcher) Free([]batch.Result)                          {}
func (*simulatedBatcher) Inspect(context.Context, []batch.Queue)       {}
func (*simulatedBatcher) Release(int, int) batch.Ledger                { return batch.Ledger{} }
func (*simulatedBatcher) Acquire(int, int, batch.Ledger) bool          { return false }
func (*simulatedBatcher) Resume(int, int)                              {}
func (*simulatedBatcher) Split(batch.Ledger, int) map[int]batch.Ledger { return nil }
func (*simulatedBatcher) TrackResults([]batch.Result)                  {}

// Without shares, less urgent plans displace urgent ones under overload. The less urgent ones
// must not be starved either.
func TestUrgentRequestsTakePrecedenceUnderOverload(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &simulatedBatcher{clock: clock}
	p := pipeline.NewPlanner(l, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	random := rand.New(rand.NewPCG(1, 2))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	inTime, sent := map[int]int{}, map[int]int{}
	made, refused := 0, 0
	counted := func(counter *int) int {
		mu.Lock()
		defer mu.Unlock()
		return *counter
	}
	send := func(priority int, within time.Duration) {
		begin := clock.Now()
		sent[priority]++
		plan := pipeline.Plan{
			Request:  fmt.Sprint(priority, "/", sent[priority]),
			Stages:   []pipeline.Stage{{Service: "s", Pieces: loadPieces, Bytes: 10}},
			Due:      begin.Add(within),
			Deadline: begin.Add(12 * time.Second),
			Priority: priority,
		}
		group.Go(func() {
			outcome := p.Run(ctx, pipeline.Part{Of: 1}, plan)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case outcome.Reason == pipeline.Busy:
				refused++
			case outcome.Reason == "":
				made++
				if clock.Since(begin) <= within {
					inTime[priority]++
				}
			}
		})
	}
	// await waits for a condition, so that the simulation is deterministic.
	await := func(holds func() bool) {
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Microsecond) {
			if holds() {
				return
			}
		}
		t.Fatal("condition not met within 5 s")
	}
	done := 0
	for range int(loadDuration / loadTick) {
		if random.Float64() < otherPerS*loadTick.Seconds() {
			send(2, otherWithin)
		}
		for range int(urgentPerS * loadTick.Seconds()) {
			send(0, urgentWithin)
		}
		await(func() bool { return counted(&refused)+l.begun() == sent[0]+sent[2] })
		clock.Advance(loadTick)
		done += l.work(loadTick)
		await(func() bool { return counted(&made) == done })
	}
	cancel()
	group.Wait()
	share := func(priority int) float64 { return float64(inTime[priority]) / float64(sent[priority]) }
	t.Logf("in time: urgent %.2f of %d, others %.2f of %d", share(0), sent[0], share(2), sent[2])
	if share(0) < 0.66 {
		t.Errorf("%.2f of the urgent requests are in time, want 0.66", share(0))
	}
	if share(2) < 0.05 {
		t.Errorf("%.2f of the others are in time, want 0.05", share(2))
	}
}
