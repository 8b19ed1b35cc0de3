// Package decision decides where, when and on which endpoint a stage runs, and
// whether a request should run at all. It does no I/O, starts no goroutine and
// reads no clock: time and the random source are passed in, so that decisions can
// be embedded, replayed and measured by themselves.
package decision

import (
	"time"
)

// Policy is a way to choose endpoints.
type Policy string

// The policies. All but Adaptive are simple baselines to measure against: they
// choose at once among all endpoints, without limits, queues or ejection.
const (
	Adaptive      Policy = "cobaltcroft"
	Random        Policy = "random"
	RoundRobin    Policy = "round_robin"
	LeastInFlight Policy = "least_in_flight"
	StrictLocal   Policy = "strict_local"
)

// Endpoint is what a Pool needs to know of an endpoint.
type Endpoint struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   uint64
	// Leaving endpoints get no new work.
	Leaving bool
	// ChecksTokens says that the endpoint refuses orders with an old fencing token.
	ChecksTokens bool
}

// Work asks for an endpoint to run one stage of one request.
type Work struct {
	Organisation string
	// Weight is the organisation's share; at least 1.
	Weight float64
	// Rank is the priority class; higher goes first.
	Rank uint32
	// Deadline is when the stage must have ended so that those after it have
	// the time they usually need.
	Deadline time.Time
	// Model names what the endpoint must hold: model, adapter and version; empty if
	// any endpoint of the service will do.
	Model string
	// Exclude names endpoints that must not be chosen: those tried before.
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

// Reason says why work was refused.
type Reason string

// The reasons of refusal.
const (
	// NoEndpoint: no live endpoint is left that was not tried.
	NoEndpoint Reason = "no_endpoint"
	// QueueFull: too much work waits.
	QueueFull Reason = "queue_full"
	// TooLate: the deadline can't be met any more.
	TooLate Reason = "too_late"
	// OverShare: the organisation has more waiting than its share while others
	// need the room.
	OverShare Reason = "over_share"
)

// Grant is the right to make one call to an endpoint. It must be given back with
// Pool.Finish exactly once.
type Grant struct {
	Endpoint Endpoint
	// Local tells whether the endpoint is in the instance's failure domain.
	Local  bool
	target *target
	start  time.Time
	work   Work
}

// Refusal is why work gets no endpoint.
type Refusal struct {
	Reason Reason
	// RetryAfter is when it may be worth asking again; 0 if not known.
	RetryAfter time.Duration
}

// Waiter is work that waits for an endpoint.
type Waiter struct {
	// Done gets exactly one Verdict, unless the waiter is withdrawn.
	Done     chan Verdict
	work     Work
	sequence uint64
	// index is the place in the flow's heap; -1 when out of the queue.
	index int
	flow  *flow
}

// Verdict is the answer to work: exactly one of its fields is set.
type Verdict struct {
	Grant   *Grant
	Refusal *Refusal
	// Waiter is set by Pool.Acquire alone.
	Waiter *Waiter
}

// Result of a call says what it tells about the endpoint.
type Result int

// The results.
const (
	// Success: a whole and right answer.
	Success Result = iota
	// Failure: a wrong, broken or missing answer.
	Failure
	// Unreachable: the connection was refused; nothing ran.
	Unreachable
	// Busy: the endpoint refused for lack of room; nothing ran.
	Busy
	// Draining: the endpoint refused since it is leaving; nothing ran.
	Draining
	// Lacking: the endpoint refused since it does not hold the model; nothing ran.
	Lacking
	// Abandoned: we broke off; it says nothing about the endpoint.
	Abandoned
)

// Report is the load that an endpoint reports.
type Report struct {
	Running int
	Waiting int
}

// Config of a pool.
type Config struct {
	Policy        Policy
	FailureDomain string
	// Concurrency is how many calls one endpoint runs at once.
	Concurrency int
	// MaxQueue bounds the work that waits.
	MaxQueue int
}
