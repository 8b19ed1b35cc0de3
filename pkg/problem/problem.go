// Package problem defines the typed errors of cobaltcroft. Each has a kind for
// programs and a text that names the remedy for people.
package problem

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind identifies a class of errors. Kinds are stable: callers and operators'
// automation may compare them.
type Kind string

// The kinds of error that cross a face of the system.
const (
	// Invalid says that the input is wrong and must be changed.
	Invalid Kind = "invalid"
	// Conflict says that another change came first.
	Conflict Kind = "conflict"
	// Unavailable says that something needed is out; nothing was done.
	Unavailable Kind = "unavailable"
	// Unknown says that the effect of the call could not be determined.
	Unknown Kind = "unknown"
	// NotFound says that the named thing does not exist.
	NotFound Kind = "not_found"
	// Denied says that the caller's token is missing or wrong.
	Denied Kind = "denied"
	// Overloaded says that the work was refused for lack of room.
	Overloaded Kind = "overloaded"
	// Deadline says that the time was up.
	Deadline Kind = "deadline"
	// Internal says that the program is at fault.
	Internal Kind = "internal"
)

// Problem is an error with its kind, facts and remedy.
type Problem struct {
	Kind Kind
	// What happened, with the facts: names, values, limits.
	What string
	// Remedy is what the reader can do about it.
	Remedy string
	// Faults lists each single fault where several were found.
	Faults []string
	// Cause is the error underneath, or nil.
	Cause error
}

// New returns a Problem. The text of what may be formatted with args.
func New(kind Kind, remedy, what string, args ...any) *Problem {
	return &Problem{Kind: kind, What: fmt.Sprintf(what, args...), Remedy: remedy}
}

// Wrap returns a Problem caused by err.
func Wrap(err error, kind Kind, remedy, what string, args ...any) *Problem {
	p := New(kind, remedy, what, args...)
	p.Cause = errors.WithStackDepth(err, 1)
	return p
}

// Error gives what happened, the faults, the cause and the remedy, in one line.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.What)
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

// KindOf returns the kind of the first Problem in err's chain, and Internal
// for any other error.
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
