// Package openinference calls endpoints over the Open Inference Protocol (KServe V2) with its
// generate extension for streams. The protocol's id is the attempt ID; the request and the stage
// are parameters. Endpoints echo all three. Load is reported in the ORCA response header
// endpoint-load-metrics.
package openinference

import (
	"encoding/json"
)

// Additional headers.
const (
	// HeaderNotRun, on a 503, means that the endpoint did not run the call. Its value is the
	// reason. A 503 without it leaves the effect unknown.
	HeaderNotRun = "X-Not-Run"
	// HeaderLoad is an ORCA (Open Request Cost Aggregation) load report in JSON format.
	HeaderLoad = "endpoint-load-metrics"
	loadPrefix = "JSON "
)

// The values of HeaderNotRun.
const (
	NotRunBusy     = "busy"
	NotRunDraining = "draining"
	// NotRunModelMissing: the endpoint does not have the model.
	NotRunModelMissing = "model"
)

// Parameters are the parameters of requests and responses.
type Parameters struct {
	RequestID    string `json:"request_id,omitempty"`
	Stage        string `json:"stage,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Priority     uint32 `json:"priority,omitempty"`
	// DeadlineMs is the time to the deadline when the message was sent, in milliseconds.
	DeadlineMs     int64  `json:"deadline_ms,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
	// Prior holds the tokens generated earlier, after which the stream continues.
	Prior []string `json:"prior,omitempty"`
	// Index is the position of a token in the stream, from 0.
	Index int `json:"index"`
	// Finished marks the last message of a stream, which has no token.
	Finished bool `json:"finished,omitempty"`
}

// Tensor is an input or output: always a single JSON text of datatype BYTES.
type Tensor struct {
	Name     string   `json:"name"`
	Shape    []int    `json:"shape"`
	Datatype string   `json:"datatype"`
	Data     []string `json:"data"`
}

// InferRequest is an inference request.
type InferRequest struct {
	ID         string     `json:"id"`
	Parameters Parameters `json:"parameters"`
	Inputs     []Tensor   `json:"inputs"`
}

// InferResponse is the response to an InferRequest.
type InferResponse struct {
	ModelName  string     `json:"model_name"`
	ID         string     `json:"id"`
	Parameters Parameters `json:"parameters"`
	Outputs    []Tensor   `json:"outputs"`
}

// GenerateRequest requests a stream of tokens.
type GenerateRequest struct {
	ID         string     `json:"id"`
	TextInput  string     `json:"text_input"`
	Parameters Parameters `json:"parameters"`
}

// GenerateResponse is an event of the stream.
type GenerateResponse struct {
	ID         string     `json:"id"`
	ModelName  string     `json:"model_name"`
	TextOutput string     `json:"text_output"`
	Parameters Parameters `json:"parameters"`
	// Error ends the stream and means that the call failed.
	Error string `json:"error,omitempty"`
}

// ErrorResponse is the body of an error status. If the ID matches the attempt, the call ran and
// failed.
type ErrorResponse struct {
	ID    string `json:"id,omitempty"`
	Error string `json:"error"`
}

// CancelRequest cancels an attempt.
type CancelRequest struct {
	ID string `json:"id"`
}

// LoadMetrics is the supported subset of an ORCA load report.
type LoadMetrics struct {
	NamedMetrics NamedMetrics `json:"named_metrics"`
}

// NamedMetrics holds the custom metrics of a load report.
type NamedMetrics struct {
	Running  float64 `json:"running"`
	Waiting  float64 `json:"waiting"`
	Draining float64 `json:"draining"`
}

// TensorOf returns a tensor with a JSON value.
func TensorOf(name string, value json.RawMessage) Tensor {
	return Tensor{Name: name, Shape: []int{1}, Datatype: "BYTES", Data: []string{string(value)}}
}

// EncodeLoad encodes the value of HeaderLoad.
func EncodeLoad(running, waiting int, draining bool) string {
	m := LoadMetrics{NamedMetrics: NamedMetrics{Running: float64(running), Waiting: float64(waiting)}}
	if draining {
		m.NamedMetrics.Draining = 1
	}
	data, _ := json.Marshal(m)
	return loadPrefix + string(data)
}
