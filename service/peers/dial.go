package peers

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds how long a connection may take to come up.
	dialTimeout = 500 * time.Millisecond
	// dialEvery is the time between attempts that run side by side: an opening packet
	// that was lost, or sent before the peer was up, is only sent again after a second.
	dialEvery = 150 * time.Millisecond
)

// dialed is what came of one attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// dial makes a connection to an address.
func dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return stagger(ctx, func() (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) })
}

// stagger makes attempts that begin after each other, until one succeeds or fails or ctx
// ends. Connections that come up later are closed.
func stagger(ctx context.Context, attempt func() (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed)
	begin := func() {
		conn, err := attempt()
		select {
		case results <- dialed{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	ticker := time.NewTicker(dialEvery)
	defer ticker.Stop()
	go begin()
	for {
		select {
		case <-ticker.C:
			go begin()
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
