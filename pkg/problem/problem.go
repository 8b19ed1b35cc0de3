// Package problem defines the typed errors of cobaltcroft. Each has a
// machine-readable kind, a message and a remedy.
package problem

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind is a class of errors. Kinds are part of the public API.
type Kind string

// The error kinds.
const (
	// Invalid means that the input is invalid.
	Invalid Kind = "invalid"
	// Conflict means that a concurrent change was accepted first.
	Conflict Kind = "conflict"
	// Unavailable means that a dependency is unavailable; nothing was done.
	Unavailable Kind = "unavailable"
	// Unknown means that the effect of the call could not be determined.
	Unknown Kind = "unknown"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Denied means that the caller's token is missing or invalid.
	Denied Kind = "denied"
	// Overloaded means that the work was rejected for lack of capacity.
	Overloaded Kind = "overloaded"
	// Deadline means that the deadline was exceeded.
	Deadline Kind = "deadline"
	// Internal means that there is a defect in the program.
	Internal Kind = "internal"
)

// Problem is an error with a kind, a message and a remedy.
type Problem struct {
	Kind Kind
	// Message is the message, including the relevant names, values and limits.
	Message string
	// Remedy is the suggested corrective action.
	Remedy string
	// Faults lists the individual faults if several were found.
	Faults []string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns a Problem whose message is formatted from what and args.
func New(kind Kind, remedy, what string, args ...any) *Problem {
	return &Problem{Kind: kind, Message: fmt.Sprintf(what, args...), Remedy: remedy}
}

// Wrap returns a Problem caused by err.
func Wrap(err error, kind Kind, remedy, what string, args ...any) *Problem {
	p := New(kind, remedy, what, args...)
	p.Cause = errors.WithStackDepth(err, 1)
	return p
}

// Error returns the message, the faults, the cause and the remedy in one line.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Message)
	if len(p.Faults) > 0 {
		b.WriteString(": " + strings.Join(p.Faults, "; "))
	}
	if p.Cause != nil {
		b.WriteString(": " + p.Cause.Error())
	}
	if p.Remedy != "" {
		b.WriteString(" (remedy: " + p.Remedy + ")")
	}
	return b.String()
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.Cause }

// KindOf returns the kind of the first Problem in err's chain, or Internal if there
// is none.
func KindOf(err error) Kind {
	p := Find(err)
	if p == nil {
		return Internal
	}
	return p.Kind
}

// Find returns the first Problem in err's chain, or nil.
func Find(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}
