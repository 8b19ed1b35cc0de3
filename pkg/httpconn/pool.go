// Package httpconn exchanges HTTP/1.1 messages with endpoints over connections of its
// own. It never sends anything twice: whether a call may have reached its endpoint is
// told in the error, and what to do then is the caller's choice.
package httpconn

import (
	"bufio"
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
	// DefaultDialTimeout bounds how long a connection may take to come up.
	DefaultDialTimeout = 300 * time.Millisecond
	// keepAliveMargin is how long before the time that the endpoint told a kept
	// connection is given up, so that it is not used while it is being closed.
	keepAliveMargin = time.Second
	// defaultKeep is how long a connection is kept whose endpoint told no time.
	defaultKeep = 4 * time.Second
	readBuffer  = 4 << 10
)

// Target is the endpoint of a call.
type Target struct {
	// ID is the endpoint's incarnation: connections are never shared between two.
	ID      string
	Address string
	// FailureDomain that the endpoint stands in.
	FailureDomain string
	// MaxConnections bounds this pool's connections to the endpoint; 0: no bound.
	MaxConnections int
}

// Gate says whether an endpoint may be used now: the error tells why not.
type Gate func(Target) error

// Gates are passed last, so that what was planned, queued or chosen before an order came is not done.
type Gates struct {
	// Connect is passed by connections and calls, Send by calls alone: a connection that is made and
	// closed again asks nothing of an endpoint.
	Connect Gate
	Send    Gate
	// Spend is passed once by each call, right before it is sent: what it lets pass is counted.
	Spend Gate
}

// Heard is told the head of each answer that an endpoint gave on the connection of a call, whichever call the answer
// belongs to. The URI is that of the call.
type Heard func(target Target, uri string, status int, h http.Header)

// Open is the gate that lets all pass.
func Open(Target) error { return nil }

// Deaf takes in nothing of what endpoints answer.
func Deaf(Target, string, int, http.Header) {}

// Pool keeps connections to endpoints. Safe for concurrent use.
type Pool struct {
	clock       clockwork.Clock
	dialTimeout time.Duration
	gates       Gates
	heard       Heard
	dialed      *metrics.Counter
	reused      *metrics.Counter
	barred      *metrics.Counter

	mu        sync.Mutex
	endpoints map[string]*endpointConns
	closed    bool
}

type endpointConns struct {
	idle []*conn
	open int
}

// conn is one connection. It belongs to one call at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	target string
	// restedSince is when its last call ended; until is when it is no longer kept.
	restedSince time.Time
	until       time.Time
}

// NewPool returns a pool without connections. Counters are made in set.
func NewPool(clock clockwork.Clock, set *metrics.Set, gates Gates, heard Heard) *Pool {
	return &Pool{
		clock:       clock,
		dialTimeout: DefaultDialTimeout,
		gates:       gates,
		heard:       heard,
		dialed:      set.NewCounter("cobaltcroft_endpoint_connections_opened_total"),
		reused:      set.NewCounter("cobaltcroft_endpoint_connections_reused_total"),
		barred:      set.NewCounter("cobaltcroft_endpoint_calls_barred_total"),
		endpoints:   map[string]*endpointConns{},
	}
}

// pass tells whether a gate lets a connection or a call pass.
func (p *Pool) pass(gate Gate, target Target) error {
	if err := gate(target); err != nil {
		p.barred.Inc()
		return notSent(&BarredError{err})
	}
	return nil
}

// take returns a kept connection that rested for at most maxRest, or a new one.
func (p *Pool) take(ctx context.Context, target Target, maxRest time.Duration) (*conn, error) {
	kept, err := p.reserve(target, maxRest)
	if err != nil {
		return nil, err
	}
	if kept != nil {
		p.reused.Inc()
		return kept, nil
	}
	c, err := p.dial(ctx, target)
	if err != nil {
		p.release(target.ID)
		return nil, err
	}
	p.dialed.Inc()
	return c, nil
}

// reserve takes a kept connection, or counts a new one in and returns nil.
func (p *Pool) reserve(target Target, maxRest time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, notSent(problem.New(problem.Unavailable, "send the request to another instance", "this instance has stopped"))
	}
	e := p.endpoints[target.ID]
	if e == nil {
		e = &endpointConns{}
		p.endpoints[target.ID] = e
	}
	now := p.clock.Now()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if now.Sub(c.restedSince) <= maxRest && now.Before(c.until) && quiet(c.Conn) {
			return c, nil
		}
		e.open--
		_ = c.Close()
	}
	if target.MaxConnections > 0 && e.open >= target.MaxConnections {
		return nil, notSent(problem.New(problem.Overloaded, "wait until a call at this endpoint ends", "endpoint %s: all %d connections are in use", target.ID, e.open))
	}
	e.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, target Target) (*conn, error) {
	dialer := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, notSent(problem.Wrap(err, problem.Unavailable, "use another endpoint", "endpoint %s at %s is not reached", target.ID, target.Address))
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), target: target.ID}, nil
}

// Reach tells whether an endpoint takes connections: one is made, and closed again.
func (p *Pool) Reach(ctx context.Context, target Target) error {
	if err := p.pass(p.gates.Connect, target); err != nil {
		return err
	}
	c, err := p.dial(ctx, target)
	if err != nil {
		return err
	}
	p.dialed.Inc()
	return c.Close()
}

// release counts a connection out.
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

// discard closes a connection that must not be used again.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.target)
}

// keep puts a connection back for further calls. The time that the endpoint told is 0
// if it told none.
func (p *Pool) keep(c *conn, told time.Duration) {
	keepFor := defaultKeep
	if told > 0 {
		keepFor = min(keepFor, told-keepAliveMargin)
	}
	p.mu.Lock()
	e := p.endpoints[c.target]
	if p.closed || e == nil || keepFor <= 0 || c.reader.Buffered() > 0 {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.restedSince = p.clock.Now()
	c.until = c.restedSince.Add(keepFor)
	e.idle = append(e.idle, c)
	p.mu.Unlock()
}

// Sweep closes kept connections that have rested for their time, and those to
// endpoints that are not to be kept.
func (p *Pool) Sweep(keep func(id string) bool) {
	p.mu.Lock()
	now := p.clock.Now()
	var closing []*conn
	for id, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.until) && keep(id) {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
		}
		e.idle = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

// Close closes the kept connections; those in use are closed by their calls.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(string) bool { return false })
}
