// Package httpconn exchanges HTTP/1.1 messages with endpoints over its own connection pool. It
// never retries a call: the error reports whether the call may have reached the endpoint, and the
// caller decides what to do.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// keepAliveMargin is subtracted from the keep-alive timeout of an endpoint, so that a
	// connection is not reused while the endpoint is closing it.
	keepAliveMargin = time.Second
	// defaultIdleTimeout applies to endpoints that advertise no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	readBufferSize     = 4 << 10
)

// Target is an endpoint to call.
type Target struct {
	// ID is the endpoint's incarnation. Connections are not shared between incarnations.
	ID            string
	Address       string
	FailureDomain string
}

// Gate checks whether an endpoint may be used now. The error is the reason if it may not.
type Gate func(Target) error

// Gates are checked immediately before a call, so that they also apply to calls that were already
// planned, queued or assigned to an endpoint.
type Gates struct {
	// Connect is checked for connections and calls, Send only for calls: opening and closing a
	// connection puts no load on the endpoint.
	Connect Gate
	Send    Gate
	// Permit is checked exactly once for each call, right before it is sent. It may consume a
	// permit.
	Permit Gate
	// Connections returns how many connections may be open to an endpoint, idle ones included; 0 means any
	// number. Nil limits none.
	Connections func(Target) int
}

// ResponseObserver is called with the status and header of each response, including responses to other calls
// on the same connection. The URI is that of the current call.
type ResponseObserver func(target Target, uri string, status int, h http.Header)

// AllowAll is a Gate that always allows.
func AllowAll(Target) error { return nil }

// IgnoreResponses is an observer that ignores all responses.
func IgnoreResponses(Target, string, int, http.Header) {}

// Pool is a pool of connections to endpoints. It is safe for concurrent use.
type Pool struct {
	clock   clockwork.Clock
	dialer  Dialer
	gates   Gates
	observe ResponseObserver
	dialed  *metrics.Counter
	reused  *metrics.Counter
	blocked *metrics.Counter
	// full counts the calls for which all connections to the endpoint were in use.
	full *metrics.Counter

	mu        sync.Mutex
	endpoints map[string]*endpointConns
	closed    bool
	// silence detects silent links.
	silence silenceMonitor
}

type endpointConns struct {
	idle []*conn
	open int
	// calls are the calls in progress on direct connections that may be repeated.
	calls map[*exchange]struct{}
}

// conn is a connection. It is used by one call at a time.
type conn struct {
	net.Conn
	responses *responseReader
	target    Target
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is the end of the last call; expires is when the connection must be closed.
	idleSince time.Time
	expires   time.Time
}

// NewPool returns an empty pool that registers its counters in set.
func NewPool(clock clockwork.Clock, set *metrics.Set, gates Gates, observe ResponseObserver) *Pool {
	p := &Pool{
		clock:     clock,
		dialer:    TCPDialer{Timeout: DefaultDialTimeout},
		gates:     gates,
		observe:   observe,
		dialed:    set.NewCounter("cobaltcroft_endpoint_connections_opened_total"),
		reused:    set.NewCounter("cobaltcroft_endpoint_connections_reused_total"),
		blocked:   set.NewCounter("cobaltcroft_endpoint_calls_barred_total"),
		full:      set.NewCounter("cobaltcroft_endpoint_connections_all_in_use_total"),
		endpoints: map[string]*endpointConns{},
		silence:   newSilenceMonitor(),
	}
	set.NewGauge("cobaltcroft_endpoint_connections_open", func() float64 { return float64(p.openConnections()) })
	return p
}

// openConnections returns the number of connections to all endpoints, idle ones included.
func (p *Pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, e := range p.endpoints {
		open += e.open
	}
	return open
}

// UseDialer replaces the dialer. It must be called before the first call.
func (p *Pool) UseDialer(dialer Dialer) { p.dialer = dialer }

// check returns a BlockedError if a gate does not allow the target.
func (p *Pool) check(check Gate, target Target) error {
	if err := check(target); err != nil {
		p.blocked.Inc()
		return notSent(&BlockedError{err})
	}
	return nil
}

// connectionLimit returns how many connections to the endpoint a call may open; 0 means any number. The last
// one is left to control calls, if there are others.
func (p *Pool) connectionLimit(call Call) int {
	if p.gates.Connections == nil {
		return 0
	}
	limit := p.gates.Connections(call.Target)
	if limit > 1 && !call.Control {
		limit--
	}
	return limit
}

// acquire returns a connection that has been idle for at most the call's MaxIdle, or a new one.
func (p *Pool) acquire(ctx context.Context, call Call) (*conn, error) {
	target := call.Target
	idle, err := p.reserve(target, call.MaxIdle, p.connectionLimit(call))
	if err != nil {
		return nil, err
	}
	if idle != nil {
		p.reused.Inc()
		return idle, nil
	}
	c, err := p.dial(ctx, target)
	if err != nil {
		p.release(target.ID)
		return nil, err
	}
	p.dialed.Inc()
	return c, nil
}

// reserve returns an idle connection. If there is none, it returns nil and counts a connection that
// the caller must open, of limit at most unless that is 0.
func (p *Pool) reserve(target Target, maxIdle time.Duration, limit int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, notSent(problem.New(problem.Unavailable, "send the request to another instance", "this instance has shut down"))
	}
	e := p.endpoints[target.ID]
	if e == nil {
		e = &endpointConns{calls: map[*exchange]struct{}{}}
		p.endpoints[target.ID] = e
	}
	now := p.clock.Now()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if now.Sub(c.idleSince) <= maxIdle && now.Before(c.expires) && reusable(c.Conn) {
			return c, nil
		}
		e.open--
		_ = c.Close()
	}
	if limit > 0 && e.open >= limit {
		p.full.Inc()
		return nil, notSent(&AllInUseError{problem.New(problem.Overloaded, "use another endpoint, or wait for a call to this one to complete", "endpoint %s: all %d connections are in use", target.ID, e.open)})
	}
	e.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, target Target) (*conn, error) {
	c, err := p.dialer.Dial(ctx, target)
	if err != nil {
		return nil, notSent(problem.Wrap(err, problem.Unavailable, "use another endpoint", "cannot connect to endpoint %s at %s", target.ID, target.Address))
	}
	return &conn{Conn: c, responses: newResponseReader(c), target: target, openedAt: p.clock.Now()}, nil
}

// tunneled reports whether the connection leads through another instance. Such a connection is not
// reused, so that calls return to direct connections as soon as there are any, and an instance that
// stops only waits for the calls in progress.
func (c *conn) tunneled() bool {
	_, direct := c.Conn.(*Conn)
	return !direct
}

// CheckConnect opens a connection to an endpoint and closes it again.
func (p *Pool) CheckConnect(ctx context.Context, target Target) error {
	if err := p.check(p.gates.Connect, target); err != nil {
		return err
	}
	c, err := p.dial(ctx, target)
	if err != nil {
		return err
	}
	p.dialed.Inc()
	return c.Close()
}

// release removes a connection from the number of open ones.
func (p *Pool) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(id)
}

func (p *Pool) releaseLocked(id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.open--
	if e.open <= 0 && len(e.idle) == 0 {
		delete(p.endpoints, id)
	}
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.target.ID)
}

// discardBroken is discard for a connection whose call is not complete. It is reset, because otherwise
// the kernel would go on to deliver what a partition holds up.
func (p *Pool) discardBroken(c *conn) {
	c.reset()
	p.release(c.target.ID)
}

// reset closes a connection with a TCP reset. A tunnel passes the reset on.
func (c *conn) reset() { Reset(c.Conn) }

// Reset closes a connection with a TCP reset, if it can, so that what it carried does not look
// complete.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// put returns a connection to the pool. The advertised keep-alive timeout is 0 if the endpoint sent
// none.
func (p *Pool) put(c *conn, advertised time.Duration) {
	idleTimeout := defaultIdleTimeout
	if advertised > 0 {
		idleTimeout = min(idleTimeout, advertised-keepAliveMargin)
	}
	p.mu.Lock()
	e := p.endpoints[c.target.ID]
	if p.closed || e == nil || idleTimeout <= 0 || c.responses.buffered() > 0 || c.tunneled() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = p.clock.Now()
	c.expires = c.idleSince.Add(idleTimeout)
	e.idle = append(e.idle, c)
	p.mu.Unlock()
}

// Sweep closes expired connections and those to endpoints for which keep returns false.
func (p *Pool) Sweep(keep func(id string) bool) {
	now := p.clock.Now()
	p.closeIdle(func(c *conn) bool { return !now.Before(c.expires) || !keep(c.target.ID) })
}

// closeIdle closes the idle connections for which drop returns true.
func (p *Pool) closeIdle(drop func(*conn) bool) {
	p.mu.Lock()
	var dropped []*conn
	for _, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if drop(c) {
				dropped = append(dropped, c)
				continue
			}
			kept = append(kept, c)
		}
		e.idle = kept
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.discard(c)
	}
}

// Close closes idle connections. Active ones are closed when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(string) bool { return false })
}
