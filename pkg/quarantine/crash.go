package quarantine

import "time"

// Crash records that an endpoint crashed while running a request.
type Crash struct {
	Digest Digest
	// Incarnation identifies the incarnation of the endpoint; a restarted endpoint has a new one.
	Incarnation string
	// Age is the time since the crash. Instances exchange ages because their clocks differ.
	Age time.Duration
	// Cleared is set if the request has since run without a crash, so it did not cause this one.
	Cleared bool
}
