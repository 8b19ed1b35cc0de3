package httpconn

import (
	"context"
	"net"
	"time"
)

// DefaultDialTimeout is the timeout for establishing a connection.
const DefaultDialTimeout = 300 * time.Millisecond

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial returns a connection to an endpoint. If it fails, the endpoint has received nothing.
	Dial(ctx context.Context, target Target) (net.Conn, error)
}

// TCPDialer connects to the address of the endpoint.
type TCPDialer struct{ Timeout time.Duration }

var _ Dialer = TCPDialer{}

// Dial implements Dialer.
func (d TCPDialer) Dial(ctx context.Context, target Target) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	SetSilenceTimeout(conn)
	return NewConn(conn.(*net.TCPConn)), nil
}
