// Package batch makes the pieces of requests' stages. Endpoints take pieces in calls of
// many, and a call is dear, so pieces of all requests wait together and leave in one
// call when an endpoint is free.
package batch

import (
	"context"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// Piece is one part of a request's stage.
type Piece struct {
	// Request is the id of the request, Stage its stage, Index the piece in it.
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Index   int    `json:"index"`
	// Key is what a piece of a first stage is made of; Inputs are the handles that
	// a piece of a later one reads.
	Key    string   `json:"key,omitempty"`
	Inputs []string `json:"inputs,omitempty"`
	// InputBytes is the approximate size of all inputs.
	InputBytes int64 `json:"input_bytes,omitempty"`
	// InputsUntil is when the first of the inputs goes; the zero time if it has none.
	InputsUntil time.Time `json:"-"`
	// Bytes is the approximate size of the result.
	Bytes int64 `json:"bytes"`
	// Due is when it has to be made for the request to be in time; Deadline is when
	// the request is given up.
	Due      time.Time `json:"-"`
	Deadline time.Time `json:"-"`
	// Priority is the request's rank; 0 is the highest.
	Priority int `json:"priority"`
	// Domain is the failure domain where the piece is best made; empty: any.
	Domain string `json:"domain,omitempty"`
	// Within are the failure domains where it may be made; none: any.
	Within []string `json:"within,omitempty"`
}

// mayBeMadeIn tells whether the piece may be made in a failure domain.
func (p *Piece) mayBeMadeIn(domain string) bool {
	return len(p.Within) == 0 || slices.Contains(p.Within, domain)
}

// movedBytes is what has to be moved to or from an endpoint in another failure domain.
func (p *Piece) movedBytes() int64 {
	if len(p.Inputs) > 0 {
		return p.InputBytes
	}
	return p.Bytes
}

// Result is what came of a piece: a handle, or a reason why there is none.
type Result struct {
	Handle string `json:"handle,omitempty"`
	// Endpoint and Domain are the maker's.
	Endpoint string `json:"endpoint,omitempty"`
	Domain   string `json:"domain,omitempty"`
	Reason   Reason `json:"reason,omitempty"`
	// Bytes is the approximate size.
	Bytes int64 `json:"bytes,omitempty"`
	// Queue is where the piece waited.
	Queue Queue `json:"queue"`
	// Until is when the maker gives it up by itself; LeftMs is the same as the time left in
	// milliseconds, for the way between instances.
	Until  time.Time `json:"-"`
	LeftMs int64     `json:"left_ms,omitempty"`
}

// Queue names where pieces wait: at a service, or at one of the equal parts into which its
// endpoints are cut.
type Queue struct {
	Service string `json:"service"`
	// Part is which of Parts parts; both are 0 or 1 for the whole service.
	Part  int `json:"part,omitempty"`
	Parts int `json:"parts,omitempty"`
}

// Capacity is what the endpoints of a queue can do.
type Capacity struct {
	// PerSecond is how many pieces they make in full calls, AtOnce how many are in
	// calls when all work on full ones.
	PerSecond float64
	AtOnce    int
	// Others is how many pieces could be made in the time that calls of another planner still
	// take.
	Others float64
	// Call is the time that a call takes that is made now.
	Call time.Duration
	// Rest is how long it takes until the first endpoint wants calls, where all want rest; 0: one does.
	Rest time.Duration
	// RoomBytes is an endpoint's memory for results, and Size the pieces of a full call.
	RoomBytes int64
	Size      int
}

// scarceCalls is how many full calls' results an endpoint has room for where room is not
// scarce: those of the call at work, and those that wait to be read.
const scarceCalls = 3

// Scarce tells whether room is scarce for results of a size.
func (c Capacity) Scarce(bytes int64) bool {
	return c.RoomBytes < scarceCalls*int64(c.Size)*bytes
}

// Reason says why a piece was not made.
type Reason string

// The reasons.
const (
	// Late: its deadline has passed, or it could not be made before it.
	Late Reason = "late"
	// Gone: a result that it reads is gone.
	Gone Reason = "gone"
	// NoRoom: the endpoint has no room for the result.
	NoRoom Reason = "no_room"
	// Failed: the endpoint failed.
	Failed Reason = "failed"
	// Exhausted: it failed, and may not be tried again.
	Exhausted Reason = "exhausted"
	// Moved: another instance plans the part now; what was not made is to be made there.
	Moved Reason = "moved"
	// Stopped: the instance that was to have it made stopped.
	Stopped Reason = "stopped"
)

// CallOutcome is what came of a call that did not give results.
type CallOutcome int

// The outcomes of a call.
const (
	// Made: the results tell of each piece.
	Made CallOutcome = iota
	// NotSent: the endpoint was not reached.
	NotSent
	// NotRun: the endpoint said that it did not take the call.
	NotRun
	// Wrong: another endpoint has the address.
	Wrong
	// Lost: the call may be at work, and nothing will come of it.
	Lost
	// Barred: nothing was sent, since the endpoint may not be called now.
	Barred
)

// Caller calls endpoints.
type Caller interface {
	// Run makes a call. Results are in the order of the pieces if the outcome is Made.
	Run(ctx context.Context, endpoint fleet.Endpoint, pieces []Piece) ([]Result, CallOutcome)
	// Report asks an endpoint what it does.
	Report(ctx context.Context, endpoint fleet.Endpoint) (Report, error)
	// Reach tells whether an endpoint can be reached; it asks nothing of it.
	Reach(ctx context.Context, endpoint fleet.Endpoint) error
	// Free gives results up at their maker.
	Free(ctx context.Context, endpoint fleet.Endpoint, handles []string) error
}

// Budget bounds how many pieces are made again, as a part of those that are asked for.
type Budget interface {
	// AddRequests counts n requested pieces.
	AddRequests(service string, n int)
	// TryRetry reports whether n retries are within the bounds, and counts them if so.
	TryRetry(service string, n int) bool
}

// Known is what the batcher needs to know of services and endpoints.
type Known interface {
	// Batching returns how a service takes pieces, or nil.
	Batching(service string) *route.Batching
	// Ready returns the endpoints of a service that may get new work.
	Ready(service string) []fleet.Endpoint
	// Endpoint returns an endpoint by ID.
	Endpoint(id string) (fleet.Endpoint, bool)
	// Rest is how much longer an endpoint wants nothing from this machine; 0: it wants no rest.
	Rest(id string) time.Duration
}
