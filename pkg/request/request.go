// Package request defines a caller's request and its result, which the core packages
// share with the API services.
package request

import (
	"encoding/json"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Request is a caller's request to a pipeline.
type Request struct {
	ID           string
	Organisation string
	// Priority is the name of a priority class; empty means rank 0.
	Priority string
	Pipeline string
	Input    json.RawMessage
	Deadline time.Time
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Ticket binds a non-repeatable request to the instance that may run it.
	Ticket string
	// PromptCacheKey identifies a prompt prefix shared by several requests.
	PromptCacheKey string
}

// Outcome is the outcome of a request.
type Outcome string

// The request outcomes.
const (
	// Answered means that the result holds the complete answer.
	Answered Outcome = "answered"
	// NotRun means that no part of the request ran or will run.
	NotRun Outcome = "not_run"
	// Failed means that some stages ran, and that none is running or will run.
	Failed Outcome = "failed"
	// Unknown means that a stage may have run or may still be running.
	Unknown Outcome = "unknown"
)

// StageReport describes the execution of one stage.
type StageReport struct {
	Name string
	// Endpoint is the name of the endpoint that answered; empty if none did.
	Endpoint string
	Attempts int
	// Ms is the duration from the first attempt to the answer, in milliseconds.
	Ms   float64
	Done bool
}

// Result is the final answer to a request.
type Result struct {
	RequestID string
	Outcome   Outcome
	Output    json.RawMessage
	Stages    []StageReport
	// Problem is the reason why there is no answer, or nil.
	Problem *Problem
	// RetryAfterMs is the suggested delay before a retry; 0 if unknown.
	RetryAfterMs int64
	// Instance is the name of the instance that returned the result.
	Instance string
}

// Problem is the external representation of a problem.Problem.
type Problem struct {
	Kind    problem.Kind
	Message string
	Remedy  string
}

// ProblemOf returns the external representation of err.
func ProblemOf(err error) *Problem {
	p := problem.Find(err)
	if p == nil {
		return &Problem{Kind: problem.Internal, Message: err.Error(), Remedy: "report this with the request's timeline"}
	}
	short := *p
	short.Remedy = ""
	return &Problem{Kind: p.Kind, Message: short.Error(), Remedy: p.Remedy}
}

// Refuse returns the result of a rejected request, no part of which ran.
func Refuse(id string, err error) Result {
	return Result{RequestID: id, Outcome: NotRun, Problem: ProblemOf(err)}
}

// Uncertain returns the result of a request that may have run.
func Uncertain(id string, err error) Result {
	return Result{RequestID: id, Outcome: Unknown, Problem: ProblemOf(err)}
}
