// Package route holds the routing configuration: which service answers a host and path, which
// requests may be retried, their timeouts, and the accepted API keys. A Table is immutable; a new
// configuration creates a new one.
package route

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Kind states whether the requests of a route may be retried.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once per client attempt.
	AtMostOnce Kind = "at_most_once"
	// Stream requests are answered by a series of events. They run at most once unless the route
	// allows resumption.
	Stream Kind = "stream"
)

// Target is a service and its weight in a traffic split.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that must be completed before a request can run.
type Stage struct {
	// Service is the service whose endpoints process the pieces.
	Service string
	// After lists the indices of the stages whose results this stage reads.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Route configures the requests under one path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request.
	Timeout time.Duration
	// Objective is the latency objective until the response, or until the first event of a stream.
	Objective time.Duration
	// MaxPause is the longest interval between stream events that meets the objective; 0 means
	// unlimited.
	MaxPause time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Targets has one entry, or several for a traffic split.
	Targets []Target
	// MaxAttempts bounds the number of endpoints tried for one client attempt.
	MaxAttempts int
	Stages      []Stage
	// Regions lists the regions in which the requests may be served and stored; empty means any.
	Regions []string
	// Public routes require no API key.
	Public bool
	// Affinity is set if requests carry prefix hashes of their prompts.
	Affinity bool
	// Resume is set if a stream may be resumed at another endpoint.
	Resume bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Batching describes how the endpoints of a service process pieces.
type Batching struct {
	// Slots is the number of calls that an endpoint runs concurrently. Queue is the length of its
	// queue.
	Slots int
	Queue int
	// Size bounds the pieces of one call.
	Size int
	// The approximate duration of a call is PerCall plus PerPiece for each piece.
	PerCall  time.Duration
	PerPiece time.Duration
	// MemoryBytes is the result memory of one endpoint.
	MemoryBytes int64
	// Retention is how long a result is kept if it is not freed.
	Retention time.Duration
}

// CallTime returns the approximate duration of a call with n pieces.
func (b *Batching) CallTime(n int) time.Duration {
	return b.PerCall + time.Duration(n)*b.PerPiece
}

// Engine describes the capacity of a model engine.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Tokens is the memory, in tokens, for running requests and cached prompt prefixes.
	Tokens int64
	// TokenBytes is the size of one token in the KV cache. LinkMbps is the rate, in megabits per
	// second, at which an engine transfers cached prompt parts to another one. Parts are fetched
	// from other engines only if both are set.
	TokenBytes float64
	LinkMbps   float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections to one endpoint from all callers.
	MaxConnections int
	// ColdPerSecond is the request rate that a cold endpoint sustains, from all callers; 0 means
	// the same as a warm one.
	ColdPerSecond float64
	// Batching is set for services that process pieces, Engine for model engines.
	Batching *Batching
	Engine   *Engine
}

// Organisation is a group of callers with their own API keys.
type Organisation struct {
	Name string
	Keys []string
	// Regions restricts the regions of a route further for the requests of the organisation; empty
	// means no restriction.
	Regions []string
	// Priority, if set, overrides that of the route.
	Priority *int
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a complete configuration.
type Config struct {
	// Version is set by the operator and increases.
	Version uint64
	// Revision is the revision at the configuration source; it increases with each version.
	Revision      revision.Revision
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
