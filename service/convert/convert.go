// Package convert converts between the wire types of the APIs and the internal types.
package convert

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// Request converts a call received at now, with the given time allowed for it.
func Request(call api.Call, pipeline string, now time.Time, allowed time.Duration) request.Request {
	return request.Request{
		ID:             call.RequestID,
		Organisation:   call.Organisation,
		Priority:       call.Priority,
		Pipeline:       pipeline,
		Input:          call.Input,
		Deadline:       now.Add(allowed),
		Repeatable:     call.Repeatable == nil || *call.Repeatable,
		Ticket:         call.Ticket,
		PromptCacheKey: call.PromptCacheKey,
	}
}

// Call converts a request to its wire form.
func Call(r request.Request) api.Call {
	return api.Call{
		RequestID:      r.ID,
		Organisation:   r.Organisation,
		Priority:       r.Priority,
		Repeatable:     &r.Repeatable,
		Ticket:         r.Ticket,
		PromptCacheKey: r.PromptCacheKey,
		Input:          r.Input,
	}
}

// Result converts a result to its wire form.
func Result(r request.Result) api.Result {
	wire := api.Result{
		RequestID:    r.RequestID,
		Outcome:      string(r.Outcome),
		Output:       r.Output,
		RetryAfterMs: r.RetryAfterMs,
		Instance:     r.Instance,
	}
	for _, stage := range r.Stages {
		wire.Stages = append(wire.Stages, api.Stage(stage))
	}
	if r.Problem != nil {
		wire.Problem = &api.Problem{Kind: string(r.Problem.Kind), Message: r.Problem.Message, Remedy: r.Problem.Remedy}
	}
	return wire
}

// ResultFrom converts a result from its wire form.
func ResultFrom(wire api.Result) request.Result {
	r := request.Result{
		RequestID:    wire.RequestID,
		Outcome:      request.Outcome(wire.Outcome),
		Output:       wire.Output,
		RetryAfterMs: wire.RetryAfterMs,
		Instance:     wire.Instance,
	}
	for _, stage := range wire.Stages {
		r.Stages = append(r.Stages, request.StageReport(stage))
	}
	if wire.Problem != nil {
		r.Problem = &request.Problem{Kind: problem.Kind(wire.Problem.Kind), Message: wire.Problem.Message, Remedy: wire.Problem.Remedy}
	}
	return r
}

// Event converts a timeline event to its wire form.
func Event(e timeline.Event) api.Event {
	return api.Event{
		WallMs:   e.Stamp.WallMs,
		Logical:  e.Stamp.Logical,
		Instance: e.Instance,
		Kind:     string(e.Kind),
		Request:  e.Request,
		Change:   e.Change,
		Endpoint: e.Endpoint,
		Stage:    e.Stage,
		Attempt:  e.Attempt,
		Detail:   e.Detail,
	}
}

// EventFrom converts a timeline event from its wire form.
func EventFrom(wire api.Event) timeline.Event {
	return timeline.Event{
		Stamp:    timeline.Stamp{WallMs: wire.WallMs, Logical: wire.Logical},
		Instance: wire.Instance,
		Kind:     timeline.Kind(wire.Kind),
		Request:  wire.Request,
		Change:   wire.Change,
		Endpoint: wire.Endpoint,
		Stage:    wire.Stage,
		Attempt:  wire.Attempt,
		Detail:   wire.Detail,
	}
}
