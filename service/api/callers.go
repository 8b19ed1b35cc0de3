// Package api defines the wire types of the JSON APIs: those for callers and those between
// instances. The operators' API is defined by the schema under api/. Package service/convert
// converts to and from the internal types.
package api

import (
	"encoding/json"
)

// Call is the body of POST /v1/pipelines/{pipeline}.
type Call struct {
	// RequestID identifies the request. Required if the request is not repeatable, generated
	// otherwise.
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation"`
	// Priority is the name of a priority class. Optional.
	Priority string `json:"priority,omitempty"`
	// DeadlineMs is the time allowed, in milliseconds. The pipeline's deadline applies if the value
	// is 0 or greater than that deadline.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// Repeatable is false if the request must run at most once. The default is true.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Ticket is a ticket issued by POST /v1/tickets for this request.
	Ticket string `json:"ticket,omitempty"`
	// PromptCacheKey identifies a prompt prefix that many requests share.
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// Stream requests the tokens of the last stage as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Input is any JSON value.
	Input json.RawMessage `json:"input"`
}

// Result is the response to a call.
type Result struct {
	RequestID string `json:"request_id"`
	// Outcome is answered, not_run, failed or unknown, as defined in docs/CALLERS.md.
	Outcome string          `json:"outcome"`
	Output  json.RawMessage `json:"output,omitempty"`
	Stages  []Stage         `json:"stages,omitempty"`
	Problem *Problem        `json:"problem,omitempty"`
	// RetryAfterMs is the retry delay in milliseconds; 0 if unknown.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Instance     string `json:"instance,omitempty"`
}

// Stage is the outcome of a stage.
type Stage struct {
	Name     string `json:"name"`
	Endpoint string `json:"endpoint,omitempty"`
	Attempts int    `json:"attempts"`
	// Ms is the time from the first attempt to the response, in milliseconds.
	Ms   float64 `json:"ms"`
	Done bool    `json:"done"`
}

// Problem is the reason why there is no output.
type Problem struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Token is the data of a "token" event in a streamed response. The last event is "result", with a
// Result as its data.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"request_id"`
}

// Ticket is the response to a TicketRequest.
type Ticket struct {
	RequestID string `json:"request_id"`
	Ticket    string `json:"ticket"`
	// ExpiresInMs is the remaining validity of the ticket, in milliseconds.
	ExpiresInMs int64 `json:"expires_in_ms"`
}
