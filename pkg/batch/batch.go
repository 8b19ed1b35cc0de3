// Package batch schedules the pieces of request stages on endpoints. It queues the pieces of all
// requests and sends them in batches, because each call to an endpoint has a high fixed cost.
package batch

import (
	"context"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// Piece is one unit of work in a stage of a request.
type Piece struct {
	// Request is the request ID, Stage the index of the stage, and Index the index of the piece
	// within the stage.
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Index   int    `json:"index"`
	// Key identifies the input of a piece in a first stage. Inputs are the handles of the results
	// that a piece in a later stage reads.
	Key    string   `json:"key,omitempty"`
	Inputs []string `json:"inputs,omitempty"`
	// InputBytes is the approximate total size of the inputs.
	InputBytes int64 `json:"input_bytes,omitempty"`
	// InputsUntil is the earliest expiry of an input; zero if the piece has no inputs.
	InputsUntil time.Time `json:"-"`
	// Bytes is the approximate size of the result.
	Bytes int64 `json:"bytes"`
	// Due is when the piece must be completed for the request to meet its objective. Deadline is
	// when the request is abandoned.
	Due      time.Time `json:"-"`
	Deadline time.Time `json:"-"`
	// Priority is the priority of the request; 0 is the highest.
	Priority int `json:"priority"`
	// Domain is the preferred failure domain; empty means any.
	Domain string `json:"domain,omitempty"`
	// AllowedDomains lists the failure domains in which the piece may run; empty means any.
	AllowedDomains []string `json:"within,omitempty"`
}

// allowedIn reports whether the piece may run in a failure domain.
func (p *Piece) allowedIn(domain string) bool {
	return len(p.AllowedDomains) == 0 || slices.Contains(p.AllowedDomains, domain)
}

// transferBytes returns how many bytes cross failure domains if the piece runs outside its
// preferred one.
func (p *Piece) transferBytes() int64 {
	if len(p.Inputs) > 0 {
		return p.InputBytes
	}
	return p.Bytes
}

// Result is the outcome of a piece: a handle, or the reason why there is none.
type Result struct {
	Handle string `json:"handle,omitempty"`
	// Endpoint and Domain identify the endpoint that holds the result.
	Endpoint string `json:"endpoint,omitempty"`
	Domain   string `json:"domain,omitempty"`
	Reason   Reason `json:"reason,omitempty"`
	// Bytes is the approximate size of the result.
	Bytes int64 `json:"bytes,omitempty"`
	// Queue is the queue in which the piece waited.
	Queue Queue `json:"queue"`
	// Until is when the endpoint discards the result. LeftMs is the time until then in
	// milliseconds, used between instances because their clocks differ.
	Until  time.Time `json:"-"`
	LeftMs int64     `json:"left_ms,omitempty"`
}

// Queue identifies a queue of pieces: a service, or one partition of its endpoints.
type Queue struct {
	Service string `json:"service"`
	// Part is the index of the partition and Parts the number of partitions. Parts is 0 or 1 if the
	// service is not partitioned.
	Part  int `json:"part,omitempty"`
	Parts int `json:"parts,omitempty"`
}

// Capacity describes the throughput and memory of the endpoints of a queue.
type Capacity struct {
	// PerSecond is the throughput in pieces with full batches. AtOnce is the number of pieces in
	// flight when every slot has a full batch.
	PerSecond float64
	AtOnce    int
	// ExternalBacklog is the number of pieces that the endpoints could process in the time taken up by calls
	// of other planners.
	ExternalBacklog float64
	// CallTime is the expected duration of a call that is sent now.
	CallTime time.Duration
	// Backoff is the time until the first endpoint accepts calls if all requested a back-off;
	// otherwise 0.
	Backoff time.Duration
	// MemoryBytes is the result memory of one endpoint. Size is the number of pieces in a full batch.
	MemoryBytes int64
	Size        int
}

// scarceMemoryBatches is the number of full batches of results below which an endpoint's memory
// counts as scarce: the running call and the results that wait to be read.
const scarceMemoryBatches = 3

// MemoryScarce reports whether memory is scarce for results of the given size.
func (c Capacity) MemoryScarce(bytes int64) bool {
	return c.MemoryBytes < scarceMemoryBatches*int64(c.Size)*bytes
}

// Reason is why a piece was not completed.
type Reason string

// The reasons.
const (
	// Late means that the deadline has passed or could not be met.
	Late Reason = "late"
	// Gone means that an input no longer exists.
	Gone Reason = "gone"
	// NoMemory means that the endpoint had no memory for the result.
	NoMemory Reason = "no_room"
	// Failed means that the endpoint failed.
	Failed Reason = "failed"
	// Exhausted means that the piece failed and has no retries left.
	Exhausted Reason = "exhausted"
	// Moved means that another instance now plans the partition; the remaining pieces are to be
	// processed there.
	Moved Reason = "moved"
	// Stopped means that the instance that planned the piece has stopped.
	Stopped Reason = "stopped"
)

// CallOutcome is the outcome of a call.
type CallOutcome int

// The outcomes of a call.
const (
	// Made means that the call returned a result for each piece.
	Made CallOutcome = iota
	// NotSent means that the endpoint could not be reached.
	NotSent
	// NotRun means that the endpoint rejected the call.
	NotRun
	// WrongEndpoint means that the address belongs to a different endpoint.
	WrongEndpoint
	// Lost means that the call may have run but its response was lost.
	Lost
	// Barred means that the call was not sent because the endpoint must not be called at present.
	Barred
)

// Caller calls endpoints.
type Caller interface {
	// Run executes a call. If the outcome is Made, the results are in the order of the pieces.
	Run(ctx context.Context, endpoint fleet.Endpoint, pieces []Piece) ([]Result, CallOutcome)
	// Report asks an endpoint for its current load.
	Report(ctx context.Context, endpoint fleet.Endpoint) (Report, error)
	// Probe checks that an endpoint accepts connections.
	Probe(ctx context.Context, endpoint fleet.Endpoint) error
	// Free discards results at the endpoint that holds them.
	Free(ctx context.Context, endpoint fleet.Endpoint, handles []string) error
}

// Budget limits retries to a fraction of the submitted pieces.
type Budget interface {
	// AddRequests records n submitted pieces.
	AddRequests(service string, n int)
	// TryRetry reserves n retries and reports whether the budget allows them.
	TryRetry(service string, n int) bool
}

// Registry provides the configuration and state of services and endpoints.
type Registry interface {
	// Batching returns the batching parameters of a service, or nil.
	Batching(service string) *route.Batching
	// Ready returns the endpoints of a service that accept new work.
	Ready(service string) []fleet.Endpoint
	// Endpoint returns an endpoint by ID.
	Endpoint(id string) (fleet.Endpoint, bool)
	// Backoff returns the remaining back-off that an endpoint requested from this process; 0 if none.
	Backoff(id string) time.Duration
}
