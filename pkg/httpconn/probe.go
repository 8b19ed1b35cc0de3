package httpconn

import (
	"context"
	"errors"
	"syscall"
)

// Sign is what an endpoint's address answers to a new connection.
type Sign string

// The signs.
const (
	// Lives: it takes connections.
	Lives Sign = "lives"
	// Ended: no process listens there.
	Ended Sign = "ended"
	// Silent: there was no answer, so that nothing is known: the endpoint or the way there may
	// be cut off.
	Silent Sign = "silent"
)

// Probe asks whether an endpoint takes connections: one is made, and closed again. A call whose
// connection broke says nothing of that: its answer alone may have been lost.
func (p *Pool) Probe(ctx context.Context, target Target) Sign {
	err := p.Reach(ctx, target)
	switch {
	case err == nil:
		return Lives
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	}
	return Silent
}
