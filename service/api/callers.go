// Package api has the wire types of the JSON faces: what callers send and get, and
// what instances say to each other. The operators' face has its own schema under
// api/. Conversions to the core's types are in service/convert.
package api

import (
	"encoding/json"
)

// Call is the body of POST /v1/pipelines/{pipeline}.
type Call struct {
	// RequestID names the request; needed if it is not repeatable, made otherwise.
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	// Priority names a priority class; may be empty.
	Priority string `json:"priority,omitempty"`
	// DeadlineMs is the time allowed, in milliseconds; 0 or more than the
	// pipeline's deadline means the pipeline's.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// Repeatable false asks that the request runs at most once. Absent is true.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Ticket is what POST /v1/tickets gave for this request.
	Ticket string `json:"ticket,omitempty"`
	// PromptCacheKey names a prompt prefix that many requests share.
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// Stream asks for the last stage's tokens as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Input is any JSON value.
	Input json.RawMessage `json:"input"`
}

// Result is the final answer to a call.
type Result struct {
	RequestID string `json:"request_id"`
	// Outcome is answered, not_run, failed or unknown; docs/CALLERS.md has their
	// exact meaning.
	Outcome string          `json:"outcome"`
	Output  json.RawMessage `json:"output,omitempty"`
	Stages  []Stage         `json:"stages,omitempty"`
	Problem *Problem        `json:"problem,omitempty"`
	// RetryAfterMs is when asking again may help, in milliseconds; 0: not known.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Instance     string `json:"instance,omitempty"`
}

// Stage says what became of one stage.
type Stage struct {
	Name     string `json:"name"`
	Endpoint string `json:"endpoint,omitempty"`
	Attempts int    `json:"attempts"`
	// Ms is the time from the first attempt to the answer, in milliseconds.
	Ms   float64 `json:"ms"`
	Done bool    `json:"done"`
}

// Problem is why there is no answer.
type Problem struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Token is the data of a "token" event of a streamed answer. The last event is
// "result", whose data is a Result.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"request_id"`
}

// Ticket answers it.
type Ticket struct {
	RequestID string `json:"request_id"`
	Ticket    string `json:"ticket"`
	// ExpiresInMs is how long the ticket may be used, in milliseconds.
	ExpiresInMs int64 `json:"expires_in_ms"`
}
