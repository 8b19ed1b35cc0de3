package quarantine

import "time"

// End says that a life of an endpoint ended while it ran a request.
type End struct {
	Digest Digest
	// Life is the ID of that life: an endpoint that starts again has another one.
	Life string
	// Age is the time since then. It travels in place of a time of day, which differs by machine.
	Age time.Duration
	// Cleared says that the request has run since without ending its endpoint: this end was not its doing.
	Cleared bool
}
