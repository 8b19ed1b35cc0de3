package traffic

import (
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// effects keeps account of what the attempts of one request have done, so that its
// outcome says no more than is known.
type effects struct {
	mu sync.Mutex
	// ran is set once any endpoint has run anything of the request, or may have.
	ran bool
	// pending are the attempts that may still run.
	pending map[string]struct{}
}

func newEffects() *effects { return &effects{pending: map[string]struct{}{}} }

// sent says that an attempt is about to be sent.
func (e *effects) sent(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending[attempt] = struct{}{}
}

// ended says that an attempt has ended for certain, and whether anything of it ran.
func (e *effects) ended(attempt string, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, attempt)
	e.ran = e.ran || ran
}

// outcome of a request that has no answer.
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
