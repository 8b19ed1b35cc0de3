// Package gateway runs opaque HTTP requests: it finds the route, has the pieces of the
// route's stages made, chooses an endpoint, and carries the endpoint's answer back whole
// or not at all. What is decided for a request stands in one log line for each decision.
package gateway

import (
	"net/http"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
)

// Request is a client's request, read whole.
type Request struct {
	// ID is unique to the client's attempt.
	ID     string
	Method string
	// URI is path and query as they came; Path is the path alone.
	URI  string
	Path string
	Host string
	// Header has what travels on to the endpoint.
	Header http.Header
	Body   []byte
	// Arrived is when the request's head came.
	Arrived time.Time
	// Wait is how long the client waits; 0: not told.
	Wait time.Duration
	// Key is the organisation's key that the client presents.
	Key string
	// Parts is the prompt, in order; empty if it was not told.
	Parts []balance.Part
	// Pieces is the number of pieces of each stage; PieceKey is what they are made of.
	Pieces   []int
	PieceKey string
	// LastEvent is the id of the last event that the client has; empty: none.
	LastEvent string
}

// Outbound is what the gateway tells an endpoint of a request.
type Outbound struct {
	// Endpoint is the name of the endpoint that may run it.
	Endpoint string
	// Remaining is how long the endpoint may work on it.
	Remaining    time.Duration
	Organisation string
	// Urgency is the rank at a model engine; 0 is the first. Negative: not told.
	Urgency int
	// Inputs are the handles that the request reads.
	Inputs []string
	// LastEvent is the id of the last event that the client has, where a stream is
	// resumed; empty: what the client said.
	LastEvent string
}

// Verdict is what the head of an endpoint's answer says.
type Verdict struct {
	// NotRun: the endpoint has not run the request and won't.
	NotRun bool
	// Wrong: another endpoint has the address; the request has not run.
	Wrong bool
	// Sealed: the answer is signed by an endpoint.
	Sealed bool
	// Load is what the endpoint tells of its work, or nil.
	Load *balance.Load
}

// Dialect translates between headers and what they mean. It decides nothing.
type Dialect interface {
	// IDHeader is the header that names the request in calls and answers.
	IDHeader() string
	// Describe sets what a client's headers say of a request.
	Describe(h http.Header, r *Request) error
	// Outbound returns the headers of a call to an endpoint.
	Outbound(r *Request, o Outbound) http.Header
	// Verdict reads the head of an answer.
	Verdict(status int, h http.Header) Verdict
}

// Responder takes the answer to a client. One of Whole and Begin is called, once.
type Responder interface {
	// Whole sends an answer whose body is complete.
	Whole(status int, h http.Header, body []byte)
	// Begin sends the head of a stream.
	Begin(status int, h http.Header) error
	// Event sends whole events at once.
	Event(data []byte) error
	// Break ends an answer begun so that it does not look complete.
	Break()
}

// Refusal is an answer of the gateway's own.
type Refusal struct {
	Status int
	// RetryAfter is when the client may come back; 0: not told.
	RetryAfter time.Duration
	// Reason is a word for logs and programs, Message a sentence that names the remedy.
	Reason  string
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason + ": " + r.Message }
