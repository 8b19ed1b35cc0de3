package quarantine

import "time"

// Kind is what a digest identifies.
type Kind uint8

// Kinds of suspects.
const (
	// Request is a whole request: the same caller, path and body.
	Request Kind = iota
	// PromptPart is a part of a prompt, whatever else the request holds.
	PromptPart
	// kinds is the number of kinds.
	kinds
)

// String returns the name used in logs and by operators.
func (k Kind) String() string {
	if k == PromptPart {
		return "part"
	}
	return "request"
}

// limit returns the maximum number of suspects of the kind in a table.
func (k Kind) limit() int {
	if k == PromptPart {
		return maxParts
	}
	return maxRequests
}

// Crash records that an endpoint crashed while running a request, or one with a part of a prompt.
type Crash struct {
	Kind   Kind
	Digest Digest
	// Incarnation identifies the incarnation of the endpoint; a restarted endpoint has a new one.
	Incarnation string
	// Age is the time since the crash. Instances exchange ages because their clocks differ.
	Age time.Duration
	// Cleared is set if the request, or one with the part, has run without a crash, so it did not cause
	// this one.
	Cleared bool
}
