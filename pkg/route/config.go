// Package route holds the configuration of opaque HTTP traffic: which service answers
// which host and path, what may be repeated, how long it may take, and whose keys are
// accepted. A Table is immutable; a new configuration makes a new one.
package route

import "time"

// Kind states what may be repeated of a route's requests.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run once for each client attempt.
	AtMostOnce Kind = "at_most_once"
	// Stream requests are answered by a series of events. They run at most once
	// unless the route allows them to be resumed.
	Stream Kind = "stream"
)

// Target is one service of a split, with its weight.
type Target struct {
	Service string
	Weight  int
}

// Stage is work on pieces that has to be done before a request can run.
type Stage struct {
	// Service whose endpoints make the pieces.
	Service string
	// After names the stages, by index, whose results this one reads.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Route says how the requests under one prefix of one host are answered.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream in time; 0: none set.
	MaxPause time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Targets has one entry, or several of a split.
	Targets []Target
	// MaxAttempts bounds the endpoints that one client attempt is sent to.
	MaxAttempts int
	Stages      []Stage
	// Regions are those in which its requests may be served, and kept; none: any.
	Regions []string
	// Public routes need no key.
	Public bool
	// Affinity says that requests name the parts of their prompts.
	Affinity bool
	// Resume says that a stream may be taken up at another endpoint.
	Resume bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Batching says how the endpoints of a service take pieces.
type Batching struct {
	// Slots is how many calls an endpoint works on at once, Queue how many may wait.
	Slots int
	Queue int
	// Size bounds the pieces of one call.
	Size int
	// PerCall and PerPiece are the approximate times of a call and of each piece in it.
	PerCall  time.Duration
	PerPiece time.Duration
	// RoomBytes is the memory for results at one endpoint.
	RoomBytes int64
	// Retention is how long a result is kept that nobody frees.
	Retention time.Duration
}

// CallTime is the approximate time of a call with n pieces.
func (b *Batching) CallTime(n int) time.Duration {
	return b.PerCall + time.Duration(n)*b.PerPiece
}

// Engine says what a model engine of a service holds.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// Tokens is the memory for running requests and kept prompt parts.
	Tokens int64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath is asked by health checks.
	HealthPath string
	// MaxConnections bounds the connections to one endpoint from all callers.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold endpoint bears, from all callers; 0: as many
	// as a warm one.
	ColdPerSecond float64
	// Batching is set for services that take pieces, Engine for model engines.
	Batching *Batching
	Engine   *Engine
}

// Organisation is a group of callers with keys of their own.
type Organisation struct {
	Name string
	Keys []string
	// Regions are those in which its requests may be served, and kept, of those that their route allows; none: any.
	Regions []string
	// Priority goes before the route's, if set.
	Priority *int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a whole configuration, as an operator gives it.
type Config struct {
	// Version is the operator's number; it rises.
	Version uint64
	// Revision is the source's number of the change; it rises with each version.
	Revision      uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
