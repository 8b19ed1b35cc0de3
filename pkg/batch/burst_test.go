package batch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	burstLength = 5 * time.Second
	// burstTick is the interval between ticks of the batcher.
	burstTick      = 20 * time.Millisecond
	burstEndpoints = 14
	// stagePieces is the number of pieces of each request.
	stagePieces = 4
)

// burst is a load on a queue whose pieces prefer three failure domains unevenly.
type burst struct {
	piecesPerSecond float64
	// hold is the mean time after which results are freed.
	hold time.Duration
	seed uint64
}

// burstStats describes the calls of a burst. The calls that count as contended began while the
// queue held at least a full batch for each idle endpoint.
type burstStats struct {
	bursts, requests, pieces, calls, contended, underHalf, underFifth, crossed int
	// waited is the total time until the results of the requests.
	waited time.Duration
}

func (s *burstStats) add(o burstStats) {
	s.bursts += o.bursts
	s.requests += o.requests
	s.waited += o.waited
	s.pieces += o.pieces
	s.calls += o.calls
	s.contended += o.contended
	s.underHalf += o.underHalf
	s.underFifth += o.underFifth
	s.crossed += o.crossed
}

// timedEndpoints answers calls after their configured time, varied by endpoint and by call.
type timedEndpoints struct {
	*fakeEndpoints
	end time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	queued  int
	running int
	stats   burstStats
}

func newTimedEndpoints(seed uint64) *timedEndpoints {
	e := &timedEndpoints{end: time.Now().Add(burstLength), rng: rand.New(rand.NewPCG(seed, 0)), fakeEndpoints: &fakeEndpoints{
		batching: route.Batching{Slots: 1, Size: 58, PerCall: 240 * time.Millisecond, PerPiece: 3500 * time.Microsecond, MemoryBytes: 6_500_000, Retention: 4 * time.Second},
	}}
	for n := range burstEndpoints {
		e.ready = append(e.ready, fleet.Endpoint{ID: fmt.Sprint(n), FailureDomain: fmt.Sprint("d", n%3)})
	}
	return e
}

func (e *timedEndpoints) Run(_ context.Context, endpoint fleet.Endpoint, pieces []batch.Piece) ([]batch.Result, batch.CallOutcome) {
	time.Sleep(e.begin(endpoint, pieces))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	results := make([]batch.Result, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprint(p.Request, "-", p.Index)
	}
	if !time.Now().After(e.end) {
		e.stats.pieces += len(pieces)
	}
	return results, batch.Made
}

// begin counts a call and returns its duration.
func (e *timedEndpoints) begin(endpoint fleet.Endpoint, pieces []batch.Piece) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().After(e.end) {
		e.count(endpoint, pieces)
	}
	e.queued -= len(pieces)
	e.running++
	var number int
	_, _ = fmt.Sscan(endpoint.ID, &number)
	speed := (0.8 + 0.04*float64(number*5%burstEndpoints)) * (0.9 + 0.2*e.rng.Float64())
	return time.Duration(speed * float64(e.batching.CallTime(len(pieces))))
}

func (e *timedEndpoints) count(endpoint fleet.Endpoint, pieces []batch.Piece) {
	e.stats.calls++
	for _, p := range pieces {
		if p.Domain != endpoint.FailureDomain {
			e.stats.crossed++
		}
	}
	if e.queued < e.batching.Size*(burstEndpoints-e.running) {
		return
	}
	e.stats.contended++
	if 2*len(pieces) < e.batching.Size {
		e.stats.underHalf++
	}
	if 5*len(pieces) < e.batching.Size {
		e.stats.underFifth++
	}
}

// run replays the burst against fake endpoints. It must be called in a synctest bubble, whose clock
// is the fake clock.
func (load burst) run() burstStats {
	e := newTimedEndpoints(load.seed)
	e.stats.bursts = 1
	rng := rand.New(rand.NewPCG(load.seed, 1))
	b := batch.New(e, e, e, clockwork.NewRealClock(), metrics.NewSet(), logging.Discard().For("batch"))
	done := make(chan struct{})
	var ticks, requests sync.WaitGroup
	ticks.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(burstTick):
				b.Tick()
			}
		}
	})
	for n := 0; time.Now().Before(e.end); n++ {
		domain := preferredDomain(rng.Float64())
		hold := time.Duration((0.5 + rng.Float64()) * float64(load.hold))
		requests.Go(func() { e.process(b, fmt.Sprint("r", n), domain, hold) })
		time.Sleep(time.Duration(rng.ExpFloat64() * stagePieces / load.piecesPerSecond * float64(time.Second)))
	}
	requests.Wait()
	close(done)
	ticks.Wait()
	return e.stats
}

func preferredDomain(x float64) string {
	switch {
	case x < 0.6:
		return "d0"
	case x < 0.9:
		return "d1"
	default:
		return "d2"
	}
}

// process processes a request and frees its results later.
func (e *timedEndpoints) process(b *batch.Batcher, request, domain string, hold time.Duration) {
	now := time.Now()
	pieces := make([]batch.Piece, stagePieces)
	for i := range pieces {
		pieces[i] = batch.Piece{
			Request: request, Index: i, Domain: domain, Inputs: []string{"h"}, InputBytes: 8_000, Bytes: 60_000,
			Due: now.Add(1500 * time.Millisecond), Deadline: now.Add(6 * time.Second),
		}
	}
	e.mu.Lock()
	e.queued += len(pieces)
	e.mu.Unlock()
	results := b.Process(context.Background(), queue, pieces, nil)
	e.mu.Lock()
	e.stats.requests++
	e.stats.waited += time.Since(now)
	e.mu.Unlock()
	time.Sleep(hold)
	b.Free(results)
}

func (s burstStats) String() string {
	return fmt.Sprintf("%.0f pieces/s, %v a request, %d calls, %d contended, of these %d under half and %d under a fifth full, %d pieces crossed",
		float64(s.pieces)/(float64(s.bursts)*burstLength.Seconds()), s.waited/time.Duration(s.requests), s.calls, s.contended, s.underHalf, s.underFifth, s.crossed)
}

// Near the throughput of the endpoints, the queue holds one or two full batches, most of them for
// the other failure domains. Calls that only take pieces of their own domain are then nearly empty,
// and each occupies an endpoint for the whole fixed time of a call.
func TestCallsAreNotNearlyEmptyInBurst(t *testing.T) {
	var stats burstStats
	for _, piecesPerSecond := range []float64{1300, 1400, 1500, 1600} {
		for seed := range uint64(4) {
			synctest.Test(t, func(*testing.T) { stats.add(burst{piecesPerSecond, 100 * time.Millisecond, seed}.run()) })
		}
	}
	t.Log(stats)
	if stats.contended < 100 {
		t.Errorf("only %d calls began while a full batch was queued for each idle endpoint", stats.contended)
	}
	if stats.underFifth > 0 {
		t.Errorf("%d calls under a fifth full", stats.underFifth)
	}
	// Calls that take only whole requests may hold up to a request under half of a full batch.
	if 100*stats.underHalf > stats.contended {
		t.Errorf("%d of %d calls under half full", stats.underHalf, stats.contended)
	}
}
