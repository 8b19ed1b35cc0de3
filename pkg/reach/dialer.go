package reach

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// tunnelDelay is how long a direct connection attempt may take before one through another instance
// begins beside it. It is above the round trip between regions.
const tunnelDelay = 100 * time.Millisecond

// Tunnels connects to endpoints through other instances.
type Tunnels interface {
	// Dial returns a connection to an endpoint. If it fails, the endpoint has received nothing.
	Dial(ctx context.Context, target httpconn.Target) (net.Conn, error)
}

var (
	// ErrNoTunnel is returned by Tunnels if there is no other instance.
	ErrNoTunnel = errors.New("there is no other instance")
	// ErrUnreached is returned by Tunnels if another instance, which reaches other endpoints, could not
	// connect to this one. If that was refused, the error is a syscall.ECONNREFUSED as well.
	ErrUnreached = errors.New("another instance could not connect to the endpoint either")
)

// Dialer connects to endpoints directly, or through another instance where that fails or takes long.
type Dialer struct {
	Direct  httpconn.Dialer
	Tunnels Tunnels
	Tracker *Tracker
	// OnTunneled is called when an endpoint that did not accept a direct connection was reached through
	// another instance. If silent is set, it did not answer either. It must not block. Optional.
	OnTunneled func(target httpconn.Target, silent bool)
}

var _ httpconn.Dialer = (*Dialer)(nil)

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// Dial implements httpconn.Dialer.
func (d *Dialer) Dial(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	switch d.Tracker.Path(target.FailureDomain, target.ID) {
	case None:
		return nil, problem.New(problem.Unavailable, "use another endpoint", "neither this instance nor others can connect to endpoint %s", target.ID)
	case Tunneled:
		conn, err := d.Tunnels.Dial(ctx, target)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			// A silent direct path would hide for its timeout that the endpoint has ended.
			d.Tracker.TunnelFailed(target.FailureDomain, target.ID)
			return nil, err
		}
	case Direct:
	}
	return d.DialAnyPath(ctx, target)
}

// DialAnyPath tries all paths to an endpoint, whatever is known of them.
func (d *Dialer) DialAnyPath(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	// The direct attempt goes on when the caller needs it no longer, because its outcome is evidence.
	direct := start(func() (net.Conn, error) { return d.DialDirect(context.WithoutCancel(ctx), target) })
	timer := time.NewTimer(tunnelDelay)
	defer timer.Stop()
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		tunneled := d.startTunnel(ctx, target)
		return d.finish(ctx, target, r.err, <-tunneled)
	case <-ctx.Done():
		go closeLate(direct)
		return nil, ctx.Err()
	case <-timer.C:
	}
	return d.race(ctx, target, direct)
}

// race runs a tunneled attempt beside a direct one and returns the first connection.
func (d *Dialer) race(ctx context.Context, target httpconn.Target, direct <-chan dialResult) (net.Conn, error) {
	tunneled := d.startTunnel(ctx, target)
	select {
	case r := <-direct:
		if r.err == nil {
			go closeLate(tunneled)
			return r.conn, nil
		}
		return d.finish(ctx, target, r.err, <-tunneled)
	case r := <-tunneled:
		if r.err == nil {
			go d.awaitDirect(target, direct)
			return r.conn, nil
		}
		if errors.Is(r.err, syscall.ECONNREFUSED) {
			go closeLate(direct)
			return d.finish(ctx, target, r.err, r)
		}
		first := <-direct
		if first.err == nil {
			return first.conn, nil
		}
		return d.finish(ctx, target, first.err, r)
	}
}

func (d *Dialer) startTunnel(ctx context.Context, target httpconn.Target) <-chan dialResult {
	return start(func() (net.Conn, error) { return d.Tunnels.Dial(ctx, target) })
}

// DialDirect connects to an endpoint directly and records the outcome. An attempt that the caller
// gives up says nothing.
func (d *Dialer) DialDirect(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	conn, err := d.Direct.Dial(ctx, target)
	switch {
	case err == nil:
		d.Tracker.Connected(target.FailureDomain, target.ID)
	case ctx.Err() == nil:
		d.Tracker.Failed(target.FailureDomain, target.ID)
	}
	return conn, err
}

// start runs a connection attempt in the background.
func start(dial func() (net.Conn, error)) <-chan dialResult {
	result := make(chan dialResult, 1)
	go func() {
		conn, err := dial()
		result <- dialResult{conn, err}
	}()
	return result
}

// finish evaluates the tunneled attempt after the direct one has failed.
func (d *Dialer) finish(ctx context.Context, target httpconn.Target, directErr error, tunneled dialResult) (net.Conn, error) {
	if tunneled.err == nil {
		d.recordTunneled(target, directErr)
		return tunneled.conn, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	d.Tracker.TunnelFailed(target.FailureDomain, target.ID)
	if errors.Is(tunneled.err, syscall.ECONNREFUSED) {
		// Another instance, which reaches others, has found that nothing listens on the address.
		return nil, tunneled.err
	}
	witnessed := errors.Is(tunneled.err, ErrUnreached) || errors.Is(tunneled.err, ErrNoTunnel)
	if !witnessed && d.Tracker.Isolated(target.FailureDomain, target.ID) {
		// The error must not look as if the endpoint itself had refused.
		return nil, problem.New(problem.Unavailable, "use another endpoint", "cannot connect to endpoint %s (%v), nor to others of failure domain %s", target.ID, directErr, target.FailureDomain)
	}
	return nil, directErr
}

// recordTunneled records that an endpoint was reached through another instance after a direct attempt
// had failed.
func (d *Dialer) recordTunneled(target httpconn.Target, directErr error) {
	d.Tracker.TunnelConnected(target.FailureDomain, target.ID)
	if d.OnTunneled != nil {
		d.OnTunneled(target, !errors.Is(directErr, syscall.ECONNREFUSED) && !errors.Is(directErr, syscall.ECONNRESET))
	}
}

// awaitDirect waits for a direct attempt that another instance was faster than.
func (d *Dialer) awaitDirect(target httpconn.Target, direct <-chan dialResult) {
	r := <-direct
	if r.err != nil {
		d.recordTunneled(target, r.err)
		return
	}
	_ = r.conn.Close()
}

// closeLate closes the connection of an attempt that is no longer needed.
func closeLate(attempt <-chan dialResult) {
	if r := <-attempt; r.conn != nil {
		_ = r.conn.Close()
	}
}
