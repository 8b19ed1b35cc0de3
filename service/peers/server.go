package peers

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// maxConnections bounds the connections accepted from peers.
	maxConnections = 1024
	// helloTimeout bounds the time until a connection is authenticated.
	helloTimeout = 5 * time.Second
	// maxEvents bounds the events in one answer.
	maxEvents = 10_000
)

// Backend provides the data of this instance to peers.
type Backend interface {
	// Since returns the configuration changes after a revision.
	Since(from uint64) (config.Update, error)
	// Bound runs a non-repeatable request that is bound to this instance.
	Bound(ctx context.Context, holder atmostonce.Holder, r request.Request) request.Result
	Status() api.InstanceStatus
	Ring() *timeline.Ring
}

// Handler serves the calls of authenticated peers.
type Handler interface {
	// Answer returns the result of a method, or a problem.
	Answer(ctx context.Context, method string, params json.RawMessage) (any, error)
}

// Server serves peers over TCP.
type Server struct {
	handler Handler
	token   string
	usage   *Usage
	log     *logrus.Entry
	slots   chan struct{}

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// NewServer returns a server of the handler's methods. It counts the bytes of parameters in usage,
// which may be nil.
func NewServer(handler Handler, token string, usage *Usage, log *logrus.Entry) *Server {
	return &Server{handler: handler, token: token, usage: usage, log: log, slots: make(chan struct{}, maxConnections), conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.open(conn)
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) open(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	session := &session{server: s, conn: conn, codec: newCodec(maxUnauthenticatedMessage)}
	stream := jsonrpc2.NewBufferedStream(conn, session.codec)
	ctx, cancel := context.WithCancel(context.Background())
	rpc := jsonrpc2.NewConn(ctx, stream, session)
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = rpc.Close()
	}
	go func() {
		<-rpc.DisconnectNotify()
		cancel()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
		<-s.slots
	}()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for rpc := range s.conns {
		conns = append(conns, rpc)
	}
	s.mu.Unlock()
	for _, rpc := range conns {
		_ = rpc.Close()
	}
}

// session is the connection of one peer.
type session struct {
	server *Server
	conn   net.Conn
	codec  *codec
	// authenticated is set after authentication. Only the connection's read loop, which calls
	// Handle, accesses it.
	authenticated bool
}

// Handle implements jsonrpc2.Handler. It runs in the connection's read loop and must not block.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == api.MethodHello {
		s.hello(ctx, rpc, req)
		return
	}
	if !s.authenticated {
		s.refuse(ctx, rpc, req)
		return
	}
	if req.Method == api.MethodPing {
		_ = rpc.Reply(ctx, req.ID, struct{}{})
		return
	}
	go s.answer(ctx, rpc, req)
}

func (s *session) hello(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	hello, err := DecodeParams[api.Hello](req.Method, raw)
	if err != nil || subtle.ConstantTimeCompare([]byte(hello.Token), []byte(s.server.token)) != 1 {
		s.refuse(ctx, rpc, req)
		return
	}
	s.authenticated = true
	s.codec.limit.Store(maxMessage)
	_ = s.conn.SetReadDeadline(time.Time{})
	_ = rpc.Reply(ctx, req.ID, struct{}{})
}

func (s *session) refuse(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.server.log.WithFields(logrus.Fields{"event": "peer_refused", "from": s.conn.RemoteAddr().String(), "method": req.Method}).Warn()
	_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeOf(problem.Denied), Message: "the peers' token is missing or wrong (remedy: give all instances the same tokens.peers)"})
	_ = rpc.Close()
}

func (s *session) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	s.server.usage.add(req.Method, Requests, len(raw))
	result, err := s.server.handler.Answer(ctx, req.Method, raw)
	if req.Notif {
		return
	}
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeOf(problem.KindOf(err)), Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

// InstanceHandler serves the configuration, forwarding, status and timeline methods.
type InstanceHandler struct{ Backend Backend }

var _ Handler = InstanceHandler{}

// Answer implements Handler.
func (h InstanceHandler) Answer(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case api.MethodPull:
		pull, err := DecodeParams[api.PullRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.Backend.Since(pull.AfterRevision)
	case api.MethodForward:
		forward, err := DecodeParams[api.ForwardRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return h.forward(ctx, forward), nil
	case api.MethodStatus:
		return h.Backend.Status(), nil
	case api.MethodTimeline:
		selection, err := DecodeParams[api.TimelineRequest](method, raw)
		if err != nil {
			return nil, err
		}
		return SelectEvents(h.Backend.Ring(), h.Backend.Status().Instance, selection), nil
	}
	return nil, UnknownMethod(method)
}

// UnknownMethod returns the error for a method that a handler does not implement.
func UnknownMethod(method string) error {
	return problem.New(problem.NotFound, "run one version of the program", "unknown method %q", method)
}

func (h InstanceHandler) forward(ctx context.Context, f api.ForwardRequest) api.Result {
	f.Call.Input = f.Input
	r := convert.Request(f.Call, f.Pipeline, time.Now(), time.Duration(f.DeadlineMs)*time.Millisecond)
	holder := atmostonce.Holder{Instance: f.HolderInstance, Incarnation: f.HolderIncarnation}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return convert.Result(h.Backend.Bound(ctx, holder, r))
}

// SelectEvents returns the events of one instance that match a selection.
func SelectEvents(ring *timeline.Ring, instance string, selection api.TimelineRequest) api.TimelineResponse {
	events, dropped := ring.Select(timeline.Filter{Request: selection.Request, Change: selection.Change, Endpoint: selection.Endpoint})
	limit := selection.Limit
	if limit <= 0 || limit > maxEvents {
		limit = maxEvents
	}
	events = events[max(0, len(events)-limit):]
	answer := api.TimelineResponse{Instance: instance, Dropped: dropped}
	for _, e := range events {
		answer.Events = append(answer.Events, convert.Event(e))
	}
	return answer
}

// DecodeParams decodes the parameters of a method.
func DecodeParams[T any](method string, raw json.RawMessage) (T, error) {
	var v T
	if len(raw) == 0 {
		return v, problem.New(problem.Invalid, "run one version of the program", "method %s: missing parameters", method)
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		return v, problem.Wrap(err, problem.Invalid, "run one version of the program", "method %s: invalid parameters", method)
	}
	return v, nil
}

// codeOf maps a kind of problem to an error code in the range for applications.
func codeOf(kind problem.Kind) int64 {
	const first = 1000
	for i, k := range codedKinds {
		if k == kind {
			return first + int64(i)
		}
	}
	return first + int64(len(codedKinds))
}

var codedKinds = []problem.Kind{
	problem.Invalid, problem.Conflict, problem.Unavailable, problem.Unknown, problem.NotFound,
	problem.Denied, problem.Overloaded, problem.Deadline, problem.Internal,
}
