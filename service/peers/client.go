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
	// pingPeriod is the time between pings of a connection with calls under way, and
	// pingTimeout the silence after which it is closed, so that those calls end. An answer to a ping
	// that waits behind a large one on a narrow link is not silence: bytes come meanwhile.
	pingPeriod  = 250 * time.Millisecond
	pingTimeout = 600 * time.Millisecond
)

// link is a connection to a peer.
type link struct {
	*jsonrpc2.Conn
	conn *heardConn
	// calls counts those under way that may outlast a ping.
	calls atomic.Int64
}

// Client calls peers, over one connection for each. Safe for concurrent use.
type Client struct {
	hello api.Hello
	usage *Usage

	// dials makes one connection to a peer for all calls that wait for it.
	dials singleflight.Group

	mu    sync.Mutex
	conns map[string]*link
}

var (
	_ atmostonce.Forwarder = (*Client)(nil)
	_ config.Puller        = (*Client)(nil)
)

// NewClient returns a client that presents the token for an instance, and counts the bytes of answers
// in usage; nil: not at all.
func NewClient(instance, token string, usage *Usage) *Client {
	return &Client{hello: api.Hello{Token: token, Instance: instance}, usage: usage, conns: map[string]*link{}}
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

// Status asks a peer for its state.
func (c *Client) Status(ctx context.Context, address string) (api.InstanceStatus, error) {
	var status api.InstanceStatus
	err := c.Call(ctx, address, api.MethodStatus, struct{}{}, &status)
	return status, err
}

// Timeline asks a peer for events.
func (c *Client) Timeline(ctx context.Context, address string, selection api.TimelineRequest) (api.TimelineResponse, error) {
	var events api.TimelineResponse
	err := c.Call(ctx, address, api.MethodTimeline, selection, &events)
	return events, err
}

// Call calls a method of the peer at an address. A problem of kind Unavailable says that
// the peer was not reached, one of kind Unknown that its answer did not come.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.connect(ctx, address)
	if err != nil {
		return problem.Wrap(err, problem.Unavailable, "check the peer and the network to it", "peer %s is not reached", address)
	}
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > pingTimeout {
		rpc.calls.Add(1)
		defer rpc.calls.Add(-1)
	}
	var answer json.RawMessage
	if err := rpc.Call(ctx, method, params, &answer); err != nil {
		return problem.Wrap(err, problem.Unknown, "ask again", "peer %s did not answer %s", address, method)
	}
	c.usage.add(method, Answers, len(answer))
	if err := json.Unmarshal(answer, result); err != nil {
		return problem.Wrap(err, problem.Unknown, "run one version of the program", "the answer of peer %s to %s does not parse", address, method)
	}
	return nil
}

// Answered tells whether a call failed since the peer said so, rather than by its silence.
func Answered(err error) bool {
	var refusal *jsonrpc2.Error
	return errors.As(err, &refusal)
}

// connect returns the connection to a peer, made anew if there is none.
func (c *Client) connect(ctx context.Context, address string) (*link, error) {
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
		return result.Val.(*link), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial makes a connection to a peer and presents this instance on it.
func (c *Client) dial(address string) (*link, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	heard := &heardConn{Conn: conn}
	rpc := &link{Conn: jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(heard, newCodec(maxMessage)), nothing{}), conn: heard}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply struct{}
	if err := rpc.Call(ctx, api.MethodHello, c.hello, &reply); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return c.keep(address, rpc), nil
}

// keep remembers a connection until it breaks. If another was made meanwhile, that
// one is used.
func (c *Client) keep(address string, rpc *link) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = rpc.Close()
		return other
	}
	c.conns[address] = rpc
	go rpc.watch()
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

// watch closes the connection when the peer is silent while calls are under way.
func (l *link) watch() {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if l.calls.Load() > 0 && !l.ping() && l.conn.silence() >= pingTimeout {
			_ = l.Close()
			return
		}
	}
}

func (l *link) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply struct{}
	return l.Conn.Call(ctx, api.MethodPing, struct{}{}, &reply) == nil
}

// Notify sends a message that has no answer. It may be lost.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	rpc, err := c.connect(ctx, address)
	if err != nil {
		return problem.Wrap(err, problem.Unavailable, "check the peer and the network to it", "peer %s is not reached", address)
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

// nothing answers no calls: peers ask over connections of their own.
type nothing struct{}

// Handle implements jsonrpc2.Handler.
func (nothing) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
