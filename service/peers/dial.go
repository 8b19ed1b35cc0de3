package peers

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// dialStagger is the time between concurrent attempts. It is shorter than the TCP retransmission
	// timeout of a lost SYN packet, which is one second.
	dialStagger = 150 * time.Millisecond
)

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

func dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return stagger(ctx, func() (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) })
}

// stagger starts an attempt every dialStagger until one returns or ctx is done. It returns the
// first result; connections established later are closed.
func stagger(ctx context.Context, attempt func() (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	start := func() {
		conn, err := attempt()
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	ticker := time.NewTicker(dialStagger)
	defer ticker.Stop()
	go start()
	for {
		select {
		case <-ticker.C:
			go start()
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
