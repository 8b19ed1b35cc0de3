package httpconn

import (
	"context"
	"errors"
	"syscall"
)

// Sign is the result of a probe.
type Sign string

// The results of a probe.
const (
	// Lives: the endpoint accepts connections.
	Lives Sign = "lives"
	// Ended: the connection was refused; no process listens on the address.
	Ended Sign = "ended"
	// Silent: the state is unknown; the endpoint or the network may have failed.
	Silent Sign = "silent"
)

// Probe checks whether an endpoint accepts connections. The failure of a call does not show this,
// because the endpoint may have failed only that call.
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
