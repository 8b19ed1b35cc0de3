package traffic

import (
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// effects tracks the execution state of a request's attempts, from which the outcome
// of an unanswered request is derived.
type effects struct {
	mu sync.Mutex
	// ran is set once an endpoint has, or may have, executed part of the request.
	ran bool
	// pending holds the IDs of the attempts that may still be running.
	pending map[string]struct{}
}

func newEffects() *effects { return &effects{pending: map[string]struct{}{}} }

// sent records that an attempt is about to be sent.
func (e *effects) sent(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending[attempt] = struct{}{}
}

// ended records that an attempt is known to have ended, and whether any of it ran.
func (e *effects) ended(attempt string, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, attempt)
	e.ran = e.ran || ran
}

// outcome returns the outcome of an unanswered request.
func (e *effects) outcome() request.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case len(e.pending) > 0:
		return request.Unknown
	case e.ran:
		return request.Failed
	}
	return request.NotRun
}
