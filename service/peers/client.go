package peers

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// pingPeriod is the time between pings on a connection with pending calls. pingTimeout is how
	// long such a connection may receive no bytes before it is closed to fail the calls. A ping
	// reply may be delayed behind a large answer, which does not count as silence.
	pingPeriod  = 250 * time.Millisecond
	pingTimeout = 600 * time.Millisecond
)

// peerConn is a connection to a peer.
type peerConn struct {
	*jsonrpc2.Conn
	conn *monitoredConn
	// pending counts the pending pending that may take longer than pingTimeout.
	pending atomic.Int64
}

// Client calls peers over one connection per peer. Safe for concurrent use.
type Client struct {
	hello api.Hello
	usage *Usage

	// dials deduplicates concurrent connection attempts to a peer.
	dials singleflight.Group

	mu    sync.Mutex
	conns map[string]*peerConn
}

var (
	_ atmostonce.Forwarder = (*Client)(nil)
	_ config.Puller        = (*Client)(nil)
)

// NewClient returns a client that authenticates as an instance with the shared token. It counts the
// bytes of answers in usage, which may be nil.
func NewClient(instance, token string, usage *Usage) *Client {
	return &Client{hello: api.Hello{Token: token, Instance: instance}, usage: usage, conns: map[string]*peerConn{}}
}

// Pull implements config.Puller.
func (c *Client) Pull(ctx context.Context, address string, from uint64) (config.Update, error) {
	var update config.Update
	err := c.Call(ctx, address, api.MethodPull, api.PullRequest{AfterRevision: from}, &update)
	return update, err
}

// Forward implements once.Forwarder.
func (c *Client) Forward(ctx context.Context, holder atmostonce.Holder, r request.Request) (request.Result, error) {
	forward := api.ForwardRequest{
		HolderInstance:    holder.Instance,
		HolderIncarnation: holder.Incarnation,
		Pipeline:          r.Pipeline,
		DeadlineMs:        time.Until(r.Deadline).Milliseconds(),
		Call:              convert.Call(r),
		Input:             r.Input,
	}
	forward.Call.Input = nil
	var result api.Result
	if err := c.Call(ctx, holder.PeerAddress, api.MethodForward, forward, &result); err != nil {
		return request.Result{}, err
	}
	return convert.ResultFrom(result), nil
}

// Status fetches the status of a peer.
func (c *Client) Status(ctx context.Context, address string) (api.InstanceStatus, error) {
	var status api.InstanceStatus
	err := c.Call(ctx, address, api.MethodStatus, struct{}{}, &status)
	return status, err
}

// Timeline fetches timeline events from a peer.
func (c *Client) Timeline(ctx context.Context, address string, selection api.TimelineRequest) (api.TimelineResponse, error) {
	var events api.TimelineResponse
	err := c.Call(ctx, address, api.MethodTimeline, selection, &events)
	return events, err
}

// Call calls a method of the peer at an address. An error of kind Unavailable means that the peer
// was not reached; kind Unknown means that the call was sent but no valid answer was received.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.connect(ctx, address)
	if err != nil {
		return problem.Wrap(err, problem.Unavailable, "check the peer and the network to it", "peer %s is unreachable", address)
	}
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > pingTimeout {
		rpc.pending.Add(1)
		defer rpc.pending.Add(-1)
	}
	var answer json.RawMessage
	if err := rpc.Call(ctx, method, params, &answer); err != nil {
		return problem.Wrap(err, problem.Unknown, "retry the call", "peer %s: call of %s failed", address, method)
	}
	c.usage.add(method, Responses, len(answer))
	if err := json.Unmarshal(answer, result); err != nil {
		return problem.Wrap(err, problem.Unknown, "run one version of the program", "invalid answer from peer %s to %s", address, method)
	}
	return nil
}

// IsPeerError reports whether the peer itself returned the error, as opposed to a transport failure.
func IsPeerError(err error) bool {
	var refusal *jsonrpc2.Error
	return errors.As(err, &refusal)
}

// connect returns the connection to a peer, dialing if there is none.
func (c *Client) connect(ctx context.Context, address string) (*peerConn, error) {
	c.mu.Lock()
	rpc := c.conns[address]
	c.mu.Unlock()
	if rpc != nil {
		return rpc, nil
	}
	dialed := c.dials.DoChan(address, func() (any, error) { return c.dial(address) })
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*peerConn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection to a peer and authenticates on it.
func (c *Client) dial(address string) (*peerConn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	monitored := &monitoredConn{Conn: conn}
	rpc := &peerConn{Conn: jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(monitored, newCodec(maxMessage)), ignoreCalls{}), conn: monitored}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply struct{}
	if err := rpc.Call(ctx, api.MethodHello, c.hello, &reply); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return c.store(address, rpc), nil
}

// store stores a connection until it is closed. If another one was stored in the meantime, that one
// is returned instead.
func (c *Client) store(address string, rpc *peerConn) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = rpc.Close()
		return other
	}
	c.conns[address] = rpc
	go rpc.monitor()
	go func() {
		<-rpc.DisconnectNotify()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[address] == rpc {
			delete(c.conns, address)
		}
	}()
	return rpc
}

// monitor closes the connection if the peer is silent while calls are pending.
func (l *peerConn) monitor() {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if l.pending.Load() > 0 && !l.ping() && l.conn.silence() >= pingTimeout {
			_ = l.Close()
			return
		}
	}
}

func (l *peerConn) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply struct{}
	return l.Conn.Call(ctx, api.MethodPing, struct{}{}, &reply) == nil
}

// Notify sends a message without an answer. Delivery is not guaranteed.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	rpc, err := c.connect(ctx, address)
	if err != nil {
		return problem.Wrap(err, problem.Unavailable, "check the peer and the network to it", "peer %s is unreachable", address)
	}
	return rpc.Notify(ctx, method, params)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rpc := range c.conns {
		_ = rpc.Close()
	}
}

// ignoreCalls ignores incoming calls: peers make calls over connections of their own.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
