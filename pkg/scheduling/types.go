// Package scheduling implements admission control, queueing and endpoint selection for the stages of
// a request. It performs no I/O, starts no goroutines and reads no clock: callers pass in the time
// and the random source, so that decisions are reproducible.
package scheduling

import (
	"time"
)

// Policy is an endpoint selection policy.
type Policy string

// All policies but Adaptive are baselines for comparison. They select immediately among all
// endpoints, without limits, queueing or ejection.
const (
	Adaptive      Policy = "cobaltcroft"
	Random        Policy = "random"
	RoundRobin    Policy = "round_robin"
	LeastInFlight Policy = "least_in_flight"
	StrictLocal   Policy = "strict_local"
)

// Endpoint describes an endpoint to a Pool.
type Endpoint struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   uint64
	// Leaving endpoints get no new work.
	Leaving bool
	// ChecksTokens reports whether the endpoint rejects orders with an outdated fencing token.
	ChecksTokens bool
}

// Work is a request for an endpoint to run one stage.
type Work struct {
	Organisation string
	// Weight is the organisation's weight in fair queueing; at least 1.
	Weight float64
	// Rank is the priority class; higher ranks are served first.
	Rank uint32
	// Deadline is the time by which the stage must finish to leave enough time for the later
	// stages.
	Deadline time.Time
	// Model identifies the model, adapter and version that the endpoint must hold; empty if any
	// endpoint of the service can run the work.
	Model string
	// Exclude names endpoints that must not be selected, such as those already tried.
	Exclude []string
}

func (w *Work) excludes(name string) bool {
	for _, e := range w.Exclude {
		if e == name {
			return true
		}
	}
	return false
}

// Reason is why work was refused.
type Reason string

// Reasons for a refusal.
const (
	// NoEndpoint: there is no untried live endpoint.
	NoEndpoint Reason = "no_endpoint"
	// QueueFull: the queue is full.
	QueueFull Reason = "queue_full"
	// TooLate: the deadline can't be met.
	TooLate Reason = "too_late"
	// OverShare: the work was evicted from a full queue because its organisation exceeds its fair
	// share.
	OverShare Reason = "over_share"
)

// Grant permits one call to an endpoint. It must be released with Pool.Finish exactly once.
type Grant struct {
	Endpoint Endpoint
	// Local reports whether the endpoint is in the instance's failure domain.
	Local  bool
	target *target
	start  time.Time
	work   Work
}

// Refusal tells why work got no endpoint.
type Refusal struct {
	Reason Reason
	// RetryAfter suggests when to retry; 0 if unknown.
	RetryAfter time.Duration
}

// Waiter is queued work.
type Waiter struct {
	// Done delivers exactly one result unless the waiter is withdrawn first.
	Done     chan AcquireResult
	work     Work
	sequence uint64
	// index is the position in the flow's heap, or -1 when not queued.
	index int
	flow  *flow
}

// AcquireResult is the result of Pool.Acquire; exactly one field is set.
type AcquireResult struct {
	Grant   *Grant
	Refusal *Refusal
	// Waiter is only set by Pool.Acquire, never on Waiter.Done.
	Waiter *Waiter
}

// Result classifies the end of a call for the endpoint's health.
type Result int

// Call results.
const (
	// Success: the response was complete and valid.
	Success Result = iota
	// Failure: the response was invalid, incomplete or missing.
	Failure
	// Unreachable: the connection failed; nothing ran.
	Unreachable
	// Busy: the endpoint rejected the call as overloaded; nothing ran.
	Busy
	// Draining: the endpoint rejected the call because it is shutting down; nothing ran.
	Draining
	// ModelMissing: the endpoint does not hold the model; nothing ran.
	ModelMissing
	// Abandoned: the caller cancelled the call.
	Abandoned
)

// Report is the load reported by an endpoint.
type Report struct {
	Running int
	Waiting int
}

// Config configures a Pool.
type Config struct {
	Policy        Policy
	FailureDomain string
	// Concurrency is the number of calls that one endpoint runs at the same time.
	Concurrency int
	// MaxQueue bounds the length of the queue.
	MaxQueue int
}
