// Package endpoint defines the interface for calling endpoints: model engines, stage pools and
// plain services. Its subpackages implement it for specific protocols.
package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Attempt identifies one attempt of a stage of a request. The endpoint echoes all three fields; a
// response in which any of them differs belongs to another attempt.
type Attempt struct {
	Request string
	Stage   string
	ID      string
}

// Call is a request to an endpoint.
type Call struct {
	Attempt      Attempt
	Organisation string
	// Rank is the priority of the request; higher ranks are served first.
	Rank    uint32
	Model   string
	Adapter string
	Version string
	// Input is a JSON value.
	Input    json.RawMessage
	Deadline time.Time
	// PromptCacheKey identifies a prompt prefix that many calls share. Optional.
	PromptCacheKey string
}

// Load is the load that an endpoint reports with a response. It may be outdated.
type Load struct {
	Running  int
	Waiting  int
	Draining bool
}

// Response is a complete and valid response to an attempt.
type Response struct {
	// Output is a JSON value.
	Output json.RawMessage
	// Load is nil if the endpoint did not report it.
	Load *Load
}

// Token is a piece of generated text. Indices are consecutive and start at 0.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Caller calls endpoints. All errors are of type *Error.
type Caller interface {
	// Call makes a unary call.
	Call(ctx context.Context, address string, c Call) (Response, error)
	// Generate makes a streaming call that continues after the tokens in prior. It passes each new
	// token to sink in order. If sink returns an error, the stream ends with the effect Stopped.
	Generate(ctx context.Context, address string, c Call, prior []Token, sink func(Token) error) (Response, error)
	// Cancel requests the cancellation of an attempt. A nil error means that the attempt has ended
	// on the endpoint and will not run again.
	Cancel(ctx context.Context, address string, a Attempt) error
}

// Effect is the known effect of a failed call.
type Effect int

// Effects of failed calls.
const (
	// NotSent: no data reached the endpoint.
	NotSent Effect = iota
	// Refused: the endpoint reported that it did not run the call.
	Refused
	// Failed: the endpoint reported that it ran the call and that the call failed.
	Failed
	// Indeterminate: the call may have run, may be running or may still run.
	Indeterminate
	// Stopped: the sink ended the stream.
	Stopped
)

// Error describes a failed call and its effect.
type Error struct {
	Effect Effect
	// Draining and ModelMissing qualify Refused: the endpoint is draining, or does not have the model.
	Draining     bool
	ModelMissing bool
	// Status is the HTTP status; 0 if there was no response.
	Status int
	// Mismatched is set if the response belongs to another attempt.
	Mismatched bool
	Address    string
	Attempt    Attempt
	// Load is nil if the endpoint did not report it.
	Load  *Load
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("call of stage %s at %s %s: %v", e.Attempt.Stage, e.Address, e.Effect, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// String implements fmt.Stringer.
func (e Effect) String() string {
	switch e {
	case NotSent:
		return "was not sent"
	case Refused:
		return "was refused and did not run"
	case Failed:
		return "ran and failed"
	case Stopped:
		return "was stopped"
	}
	return "may have run"
}
