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

// call is a call to a fake endpoint, which the test answers.
type call struct {
	endpoint string
	pieces   []batch.Piece
	answer   chan reply
}

type reply struct {
	results []batch.Result
	outcome batch.CallOutcome
}

// complete answers a call with a result for each piece.
func (c *call) complete() {
	results := make([]batch.Result, len(c.pieces))
	for i, p := range c.pieces {
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d", c.endpoint, p.Request, p.Stage, p.Index)
	}
	c.answer <- reply{results, batch.Made}
}

// fakeEndpoints implements Caller, Budget and Registry for tests.
type fakeEndpoints struct {
	calls    chan *call
	batching route.Batching
	budget   int

	mu    sync.Mutex
	ready []fleet.Endpoint
	freed []string
	// reports holds the reports of endpoints that answer Report.
	reports map[string]batch.Report
	// unreachable holds the endpoints that cannot be reached; probes counts the attempts.
	unreachable map[string]bool
	probes      int
	// backoffs holds the requested back-offs. hasBackoffs avoids the lock in benchmarks without
	// any.
	backoffs    map[string]time.Duration
	hasBackoffs atomic.Bool
}

func (e *fakeEndpoints) Run(ctx context.Context, endpoint fleet.Endpoint, pieces []batch.Piece) ([]batch.Result, batch.CallOutcome) {
	c := &call{endpoint.ID, pieces, make(chan reply, 1)}
	e.calls <- c
	select {
	case r := <-c.answer:
		return r.results, r.outcome
	case <-ctx.Done():
		return nil, batch.Lost
	}
}

func (e *fakeEndpoints) Probe(_ context.Context, endpoint fleet.Endpoint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes++
	if e.unreachable[endpoint.ID] {
		return errors.New("unreachable")
	}
	return nil
}

// Report blocks until ctx ends if the endpoint is unreachable.
func (e *fakeEndpoints) Report(ctx context.Context, endpoint fleet.Endpoint) (batch.Report, error) {
	e.mu.Lock()
	unreachable := e.unreachable[endpoint.ID]
	report, ok := e.reports[endpoint.ID]
	e.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return batch.Report{}, ctx.Err()
	}
	if !ok {
		return batch.Report{}, errors.New("no report")
	}
	return report, nil
}

func (e *fakeEndpoints) setUnreachable(id string, unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = map[string]bool{id: unreachable}
}

func (e *fakeEndpoints) Probes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes
}

func (e *fakeEndpoints) Free(_ context.Context, _ fleet.Endpoint, handles []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, handles...)
	return nil
}

func (e *fakeEndpoints) Freed() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.freed...)
}

func (e *fakeEndpoints) Batching(string) *route.Batching { return &e.batching }

func (e *fakeEndpoints) Ready(string) []fleet.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

func (e *fakeEndpoints) Endpoint(id string) (fleet.Endpoint, bool) {
	return fleet.Endpoint{ID: id, FailureDomain: "zone"}, true
}

func (e *fakeEndpoints) Backoff(id string) time.Duration {
	if !e.hasBackoffs.Load() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.backoffs[id]
}

// setBackoff sets the remaining back-off of an endpoint.
func (e *fakeEndpoints) setBackoff(id string, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.backoffs == nil {
		e.backoffs = map[string]time.Duration{}
	}
	e.backoffs[id] = left
	e.hasBackoffs.Store(true)
}

func (e *fakeEndpoints) AddRequests(string, int) {}

func (e *fakeEndpoints) TryRetry(string, int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget--
	return e.budget >= 0
}

// countByRequest counts the pieces of each request.
func countByRequest(pieces []batch.Piece) map[string]int {
	counts := map[string]int{}
	for _, p := range pieces {
		counts[p.Request]++
	}
	return counts
}
