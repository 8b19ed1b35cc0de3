// Package notice holds the state that endpoints report in response headers, independent of the
// call: that they are shutting down, a backoff requested from this instance, and a rate limit
// shared by all instances.
package notice

import "time"

// Notice is the information from one response. The zero value reports nothing.
type Notice struct {
	// Leaving: the endpoint is shutting down and accepts no new work.
	Leaving bool
	// Backoff is how long this instance must not call the endpoint; 0 if not given.
	Backoff time.Duration
	// Limited: the endpoint accepts at most Limit requests per second from all instances together.
	Limited bool
	Limit   float64
	// Unlimited: the endpoint processed the call without reporting a limit, which lifts an earlier
	// one.
	Unlimited bool
	// Malformed is the text of a backoff or limit that could not be parsed; empty if there was
	// none.
	Malformed string
}

// Room is what one response says of the endpoint's room. The zero value says nothing.
type Room struct {
	// Brittle: the endpoint fails if it has to reject more than Bears calls in a second for want of room.
	Brittle bool
	Bears   int
	// Rejected: the endpoint is brittle and did not run the call.
	Rejected bool
	// Sound: the endpoint processed the call without saying that it is brittle.
	Sound bool
	// Malformed is the text of a number that could not be parsed; empty if there was none.
	Malformed string
}
