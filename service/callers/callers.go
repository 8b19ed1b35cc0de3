// Package callers implements the HTTP API for callers: JSON over HTTP, with server-sent events for
// streamed responses.
package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/atmostonce"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// maxRequestID is the maximum length of a request ID, in bytes.
	maxRequestID = 128
	// maxTicketBody is the maximum body size of a ticket request, in bytes.
	maxTicketBody = 4 << 10
)

// Runner runs requests.
type Runner interface {
	Run(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result
}

// Options configures a Handler.
type Options struct {
	Runner Runner
	Gate   *atmostonce.Gate
	// Pipeline returns the pipeline with the given name, or nil.
	Pipeline func(name string) *config.Pipeline
	// Ready reports whether this instance can serve requests.
	Ready func() bool
	// MaxBody is the maximum body size of a call, in bytes.
	MaxBody int64
	Log     *logrus.Entry
}

// Handler is the HTTP handler for callers.
type Handler struct {
	Options
	router   *bunrouter.Router
	unready  atomic.Bool
	stopping atomic.Bool
}

// New returns a handler with its routes.
func New(o Options) *Handler {
	h := &Handler{Options: o, router: bunrouter.New()}
	h.router.POST("/v1/pipelines/:pipeline", h.handleCall)
	h.router.POST("/v1/tickets", h.handleTicket)
	h.router.GET("/ready", h.handleReady)
	h.router.GET("/live", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.WriteHeader(http.StatusOK)
		return nil
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// SetUnready fails the readiness check, so that load balancers send new requests to other instances.
func (h *Handler) SetUnready() { h.unready.Store(true) }

// RejectRequests rejects new requests. Requests in flight continue.
func (h *Handler) RejectRequests() { h.stopping.Store(true) }

func (h *Handler) handleReady(w http.ResponseWriter, _ bunrouter.Request) error {
	status := http.StatusOK
	if h.unready.Load() || !h.Ready() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	return nil
}

func (h *Handler) handleTicket(w http.ResponseWriter, r bunrouter.Request) error {
	body := api.TicketRequest{}
	if err := decodeJSON(w, r.Request, maxTicketBody, &body); err != nil {
		return writeResult(w, request.Refuse("", err))
	}
	if h.stopping.Load() {
		return writeResult(w, request.Refuse(body.RequestID, errStopping()))
	}
	if body.Organisation == "" || body.RequestID == "" || len(body.RequestID) > maxRequestID {
		return writeResult(w, request.Refuse(body.RequestID, problem.New(problem.Invalid, "set organisation, and request_id of at most 128 characters", "organisation or request_id is missing or invalid")))
	}
	ticket := h.Gate.IssueTicket(atmostonce.Key{Organisation: body.Organisation, ID: body.RequestID})
	return writeJSON(w, http.StatusOK, api.Ticket{RequestID: body.RequestID, Ticket: ticket, ExpiresInMs: atmostonce.TicketLife.Milliseconds()})
}

func (h *Handler) handleCall(w http.ResponseWriter, r bunrouter.Request) error {
	now := time.Now()
	var call api.Call
	if err := decodeJSON(w, r.Request, h.MaxBody, &call); err != nil {
		return writeResult(w, request.Refuse("", err))
	}
	// The server's read timeout applies to the body, which has been read; the response may take
	// longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req, err := h.validate(call, r.Param("pipeline"), now)
	if err != nil {
		return writeResult(w, refusedResult(call, err))
	}
	if call.Stream {
		return h.handleStream(w, r, req)
	}
	return writeResult(w, h.run(r.Context(), req, nil))
}

// refusedResult returns the result of a rejected call. An earlier copy of an at-most-once call may
// have run on another instance, unless the call itself is invalid.
func refusedResult(call api.Call, err error) request.Result {
	atMostOnce := call.Repeatable != nil && !*call.Repeatable
	if atMostOnce && problem.KindOf(err) == problem.Unavailable {
		return request.Uncertain(call.RequestID, err)
	}
	return request.Refuse(call.RequestID, err)
}

// run runs a request. A non-repeatable request goes through the at-most-once gate and does not
// stream its tokens, because a copy of it may be served from the stored result.
func (h *Handler) run(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result {
	if r.Repeatable {
		return h.Runner.Run(ctx, r, sink)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return h.Gate.Do(ctx, r)
}

// validate checks a call and converts it to a request.
func (h *Handler) validate(call api.Call, pipelineName string, now time.Time) (request.Request, error) {
	if h.stopping.Load() {
		return request.Request{}, errStopping()
	}
	pipeline := h.Pipeline(pipelineName)
	if pipeline == nil {
		return request.Request{}, problem.New(problem.NotFound, "use the name of a configured pipeline; the request has not run", "pipeline %q does not exist", pipelineName)
	}
	if len(call.Input) == 0 {
		return request.Request{}, problem.New(problem.Invalid, "set input to a JSON value; the request has not run", "the call has no input")
	}
	if len(call.RequestID) > maxRequestID {
		return request.Request{}, problem.New(problem.Invalid, "use at most 128 characters; the request has not run", "request_id has %d characters", len(call.RequestID))
	}
	if call.DeadlineMs < 0 {
		return request.Request{}, problem.New(problem.Invalid, "use a positive number of milliseconds; the request has not run", "deadline_ms is %d", call.DeadlineMs)
	}
	allowed := pipeline.Deadline()
	if requested := time.Duration(call.DeadlineMs) * time.Millisecond; call.DeadlineMs > 0 && requested < allowed {
		allowed = requested
	}
	r := convert.Request(call, pipelineName, now, allowed)
	if r.ID == "" && !r.Repeatable {
		return request.Request{}, problem.New(problem.Invalid, "set the same request_id in all copies of the request; the request has not run", "a non-repeatable request has no request_id")
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	return r, nil
}

func errStopping() error {
	return problem.New(problem.Unavailable, "send the request to another instance; this copy has not run", "this instance is shutting down")
}

// decodeJSON decodes a single JSON object of at most limit bytes.
func decodeJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(problem.Invalid, "send a smaller body; the request has not run", "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "send one JSON object with the fields described in docs/CALLERS.md; the request has not run", "cannot decode the body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return problem.New(problem.Invalid, "send one JSON object; the request has not run", "the body has data after the JSON object")
	}
	return nil
}

func writeResult(w http.ResponseWriter, result request.Result) error {
	if result.RetryAfterMs > 0 {
		seconds := (result.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return writeJSON(w, statusOf(result), convert.Result(result))
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

// statusOf returns the HTTP status of a result. The outcome in the body is more precise.
func statusOf(r request.Result) int {
	if r.Outcome == request.Answered {
		return http.StatusOK
	}
	if r.Outcome == request.Unknown {
		return http.StatusGatewayTimeout
	}
	if r.Outcome == request.Failed {
		return http.StatusBadGateway
	}
	if r.Problem == nil {
		return http.StatusServiceUnavailable
	}
	switch r.Problem.Kind {
	case problem.Invalid:
		return http.StatusBadRequest
	case problem.NotFound:
		return http.StatusNotFound
	case problem.Overloaded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
