// Package openinference calls endpoints over the Open Inference Protocol (KServe's
// V2 protocol) with its generate extension for streams. The protocol's id carries
// the attempt, its parameters the request and the stage; endpoints echo them.
// Load comes back in the ORCA response header "endpoint-load-metrics".
package openinference

import (
	"encoding/json"
)

// The headers beside the protocol.
const (
	// HeaderNotRun on a 503 says that the endpoint did not run the call, and why:
	// NotRunBusy, NotRunDraining or NotRunLacking. Without it a 503 leaves the effect in doubt.
	HeaderNotRun = "X-Not-Run"
	// HeaderLoad carries the load report (Open Request Cost Aggregation, in its
	// JSON form).
	HeaderLoad = "endpoint-load-metrics"
	// loadPrefix precedes the JSON of a load report.
	loadPrefix = "JSON "
)

// The values of HeaderNotRun.
const (
	NotRunBusy     = "busy"
	NotRunDraining = "draining"
	// NotRunLacking: it does not hold the model.
	NotRunLacking = "model"
)

// Parameters travel with each message.
type Parameters struct {
	RequestID    string `json:"request_id,omitempty"`
	Stage        string `json:"stage,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Priority     uint32 `json:"priority,omitempty"`
	// DeadlineMs is the time left when the message was sent, in milliseconds.
	DeadlineMs     int64  `json:"deadline_ms,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// Prior are the tokens generated before; a stream goes on behind them.
	Prior []string `json:"prior,omitempty"`
	// Index is the place of a token in the stream, from 0.
	Index int `json:"index"`
	// Finished is set on the last message of a stream, which has no token.
	Finished bool `json:"finished,omitempty"`
}

// Tensor is an input or output; here always one JSON text of datatype BYTES.
type Tensor struct {
	Name     string   `json:"name"`
	Shape    []int    `json:"shape"`
	Datatype string   `json:"datatype"`
	Data     []string `json:"data"`
}

// InferRequest asks for one inference.
type InferRequest struct {
	ID         string     `json:"id"`
	Parameters Parameters `json:"parameters"`
	Inputs     []Tensor   `json:"inputs"`
}

// InferResponse answers it.
type InferResponse struct {
	ModelName  string     `json:"model_name"`
	ID         string     `json:"id"`
	Parameters Parameters `json:"parameters"`
	Outputs    []Tensor   `json:"outputs"`
}

// GenerateRequest asks for a stream of tokens.
type GenerateRequest struct {
	ID         string     `json:"id"`
	TextInput  string     `json:"text_input"`
	Parameters Parameters `json:"parameters"`
}

// GenerateResponse is one event of the stream.
type GenerateResponse struct {
	ID         string     `json:"id"`
	ModelName  string     `json:"model_name"`
	TextOutput string     `json:"text_output"`
	Parameters Parameters `json:"parameters"`
	// Error ends the stream: the call ran and failed.
	Error string `json:"error,omitempty"`
}

// ErrorResponse is the body of an error status. An id that matches the attempt says
// that the call ran and failed.
type ErrorResponse struct {
	ID    string `json:"id,omitempty"`
	Error string `json:"error"`
}

// CancelRequest stops an attempt.
type CancelRequest struct {
	ID string `json:"id"`
}

// LoadMetrics is the part of an ORCA load report that is read.
type LoadMetrics struct {
	NamedMetrics NamedMetrics `json:"named_metrics"`
}

// NamedMetrics are the site's own metrics in the load report.
type NamedMetrics struct {
	Running  float64 `json:"running"`
	Waiting  float64 `json:"waiting"`
	Draining float64 `json:"draining"`
}

// TensorOf returns the tensor of one JSON value.
func TensorOf(name string, value json.RawMessage) Tensor {
	return Tensor{Name: name, Shape: []int{1}, Datatype: "BYTES", Data: []string{string(value)}}
}

// EncodeLoad returns the value of HeaderLoad.
func EncodeLoad(running, waiting int, draining bool) string {
	m := LoadMetrics{NamedMetrics: NamedMetrics{Running: float64(running), Waiting: float64(waiting)}}
	if draining {
		m.NamedMetrics.Draining = 1
	}
	data, _ := json.Marshal(m)
	return loadPrefix + string(data)
}
