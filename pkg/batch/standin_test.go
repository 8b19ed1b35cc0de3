package batch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// call is a call at the stand-in, which the test answers.
type call struct {
	endpoint string
	pieces   []batch.Piece
	answer   chan reply
}

type reply struct {
	results []batch.Result
	outcome batch.CallOutcome
}

// made answers a call with a result for each piece.
func (c *call) made() {
	results := make([]batch.Result, len(c.pieces))
	for i, p := range c.pieces {
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d", c.endpoint, p.Request, p.Stage, p.Index)
	}
	c.answer <- reply{results, batch.Made}
}

// endpoints stands in for endpoints, and for what is known of them.
type endpoints struct {
	calls    chan *call
	batching route.Batching
	budget   int

	mu    sync.Mutex
	ready []fleet.Endpoint
	freed []string
	// reports are what endpoints tell that answer when asked.
	reports map[string]batch.Report
	// cut are the endpoints that can't be reached, and reaches how often one was tried.
	cut     map[string]bool
	reaches int
	// rests is how much longer endpoints want rest; resting says that some did, so that it costs as
	// little to ask as it does where none does.
	rests   map[string]time.Duration
	resting atomic.Bool
}

func (e *endpoints) Run(ctx context.Context, endpoint fleet.Endpoint, pieces []batch.Piece) ([]batch.Result, batch.CallOutcome) {
	c := &call{endpoint.ID, pieces, make(chan reply, 1)}
	e.calls <- c
	select {
	case r := <-c.answer:
		return r.results, r.outcome
	case <-ctx.Done():
		return nil, batch.Lost
	}
}

func (e *endpoints) Reach(_ context.Context, endpoint fleet.Endpoint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reaches++
	if e.cut[endpoint.ID] {
		return errors.New("cut off")
	}
	return nil
}

// Report is silent where an endpoint is cut off.
func (e *endpoints) Report(ctx context.Context, endpoint fleet.Endpoint) (batch.Report, error) {
	e.mu.Lock()
	cut := e.cut[endpoint.ID]
	report, ok := e.reports[endpoint.ID]
	e.mu.Unlock()
	if cut {
		<-ctx.Done()
		return batch.Report{}, ctx.Err()
	}
	if !ok {
		return batch.Report{}, errors.New("tells nothing")
	}
	return report, nil
}

func (e *endpoints) setCut(id string, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = map[string]bool{id: cut}
}

func (e *endpoints) Reaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reaches
}

func (e *endpoints) Free(_ context.Context, _ fleet.Endpoint, handles []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, handles...)
	return nil
}

func (e *endpoints) Freed() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.freed...)
}

func (e *endpoints) Batching(string) *route.Batching { return &e.batching }

func (e *endpoints) Ready(string) []fleet.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

func (e *endpoints) Endpoint(id string) (fleet.Endpoint, bool) {
	return fleet.Endpoint{ID: id, FailureDomain: "zone"}, true
}

func (e *endpoints) Rest(id string) time.Duration {
	if !e.resting.Load() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rests[id]
}

// setRest has an endpoint want rest for so much longer.
func (e *endpoints) setRest(id string, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rests == nil {
		e.rests = map[string]time.Duration{}
	}
	e.rests[id] = left
	e.resting.Store(true)
}

func (e *endpoints) AddRequests(string, int) {}

func (e *endpoints) TryRetry(string, int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget--
	return e.budget >= 0
}

// requests counts the pieces of each request.
func requests(pieces []batch.Piece) map[string]int {
	counts := map[string]int{}
	for _, p := range pieces {
		counts[p.Request]++
	}
	return counts
}
