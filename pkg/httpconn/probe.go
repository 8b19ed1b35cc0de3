package httpconn

import (
	"context"
	"errors"
	"syscall"
)

// ProbeResult is the result of a probe.
type ProbeResult string

// The results of a probe.
const (
	// Alive: the endpoint accepts connections.
	Alive ProbeResult = "lives"
	// NotListening: the connection was refused; no process listens on the address.
	NotListening ProbeResult = "ended"
	// NoResponse: the state is unknown; the endpoint or the network may have failed.
	NoResponse ProbeResult = "silent"
)

// Probe checks whether an endpoint accepts connections. The failure of a call does not show this,
// because the endpoint may have failed only that call.
func (p *Pool) Probe(ctx context.Context, target Target) ProbeResult {
	err := p.CheckConnect(ctx, target)
	switch {
	case err == nil:
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	}
	return NoResponse
}
