// Package request defines a caller's request and its result: what the core packages
// and the faces share.
package request

import (
	"encoding/json"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Request is one caller's request to a pipeline.
type Request struct {
	ID           string
	Organisation string
	// Priority names a priority class; empty is rank 0.
	Priority string
	Pipeline string
	Input    json.RawMessage
	Deadline time.Time
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Ticket binds a not-repeatable request to the instance that may run it.
	Ticket string
	// PromptCacheKey names a prompt prefix that many requests share.
	PromptCacheKey string
}

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the whole answer is in the result.
	Answered Outcome = "answered"
	// NotRun: nothing of the request ran, and nothing of it will.
	NotRun Outcome = "not_run"
	// Failed: some stages ran; none is running and none will.
	Failed Outcome = "failed"
	// Unknown: a stage may still run, or may have run.
	Unknown Outcome = "unknown"
)

// StageReport says what became of one stage.
type StageReport struct {
	Name string
	// Endpoint gave the answer; empty if none did.
	Endpoint string
	Attempts int
	// Ms is the time from the first attempt to the answer, in milliseconds.
	Ms   float64
	Done bool
}

// Result is the final answer to a request.
type Result struct {
	RequestID string
	Outcome   Outcome
	Output    json.RawMessage
	Stages    []StageReport
	// Problem is why there is no answer; nil if there is one.
	Problem *Problem
	// RetryAfterMs is when asking again may help; 0 if not known.
	RetryAfterMs int64
	// Instance gave the result.
	Instance string
}

// Problem is a problem.Problem as it crosses a face.
type Problem struct {
	Kind    problem.Kind
	Message string
	Remedy  string
}

// ProblemOf returns err in the form that crosses a face.
func ProblemOf(err error) *Problem {
	p := problem.Find(err)
	if p == nil {
		return &Problem{Kind: problem.Internal, Message: err.Error(), Remedy: "report this with the request's time line"}
	}
	short := *p
	short.Remedy = ""
	return &Problem{Kind: p.Kind, Message: short.Error(), Remedy: p.Remedy}
}

// Refuse returns the result of a request of which nothing ran.
func Refuse(id string, err error) Result {
	return Result{RequestID: id, Outcome: NotRun, Problem: ProblemOf(err)}
}

// Uncertain returns the result of a request that may have run.
func Uncertain(id string, err error) Result {
	return Result{RequestID: id, Outcome: Unknown, Problem: ProblemOf(err)}
}
