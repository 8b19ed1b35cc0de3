// Package endpoint defines how the system calls endpoints: model engines, stage
// pools and plain services. Adapters for their protocols are in sub-packages.
package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Attempt identifies one try of one stage of one request. The endpoint echoes all
// three, and an answer that differs in any of them is not this attempt's.
type Attempt struct {
	Request string
	Stage   string
	ID      string
}

// Call is the work given to an endpoint.
type Call struct {
	Attempt      Attempt
	Organisation string
	// Rank is the request's priority; higher goes first.
	Rank    uint32
	Model   string
	Adapter string
	Version string
	// Input is a JSON value.
	Input    json.RawMessage
	Deadline time.Time
	// PromptCacheKey names a prompt prefix that many calls share; may be empty.
	PromptCacheKey string
}

// Load is what an endpoint reports of itself with an answer. It may be old.
type Load struct {
	Running  int
	Waiting  int
	Draining bool
}

// Answer is a whole and right answer to an attempt.
type Answer struct {
	// Output is a JSON value.
	Output json.RawMessage
	// Load is nil if the endpoint reported none.
	Load *Load
}

// Token is one piece of generated text. Index counts from 0 without gaps.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Caller calls endpoints. Each error is an *Error.
type Caller interface {
	// Call makes one call and returns its whole answer.
	Call(ctx context.Context, address string, c Call) (Answer, error)
	// Generate makes one streamed call. The tokens in prior have been received
	// before; the stream goes on behind them, and each further token is given to
	// sink in order. An error of sink ends the stream with effect Stopped.
	Generate(ctx context.Context, address string, c Call, prior []Token, sink func(Token) error) (Answer, error)
	// Cancel asks the endpoint to stop an attempt. Nil says that the attempt has
	// ended there and will not run again.
	Cancel(ctx context.Context, address string, a Attempt) error
}

// Effect says what a failed call did.
type Effect int

// The effects.
const (
	// NotSent: no byte reached the endpoint.
	NotSent Effect = iota
	// Refused: the endpoint says that it did not run the call.
	Refused
	// Failed: the endpoint says that it ran the call and that it failed.
	Failed
	// Doubtful: the call may have run, may be running, or may yet run.
	Doubtful
	// Stopped: the sink ended the stream.
	Stopped
)

// Error says why a call failed and what it did.
type Error struct {
	Effect Effect
	// Draining is set with Refused if the endpoint is leaving, Lacking if it does
	// not hold the model.
	Draining bool
	Lacking  bool
	// Status is the HTTP status or its like; 0 if none came.
	Status int
	// Foreign is set if an answer came that was not this attempt's.
	Foreign bool
	Address string
	Attempt Attempt
	// Load is nil if the endpoint reported none.
	Load  *Load
	Cause error
}

// Error names the effect, the endpoint and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("call of stage %s at %s %s: %v", e.Attempt.Stage, e.Address, e.Effect, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// String describes the effect.
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
