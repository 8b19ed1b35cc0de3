// Package notice holds what endpoints say of themselves in the heads of their answers, whatever they
// answer to a call: that they leave, that they want nothing from this machine for a while, or how much they take from all machines.
package notice

import "time"

// Notice is what one answer says of its endpoint. The zero value says nothing.
type Notice struct {
	// Leaving: the endpoint ends in time, and wants no new work from anybody.
	Leaving bool
	// Rest is how long the endpoint wants nothing from this machine; 0: it does not say.
	Rest time.Duration
	// Limited: the endpoint takes no more than Limit requests a second, from all machines together.
	Limited bool
	Limit   float64
	// Unlimited: it answered work and names no limit, so that one it named before is over.
	Unlimited bool
	// Unread is what the answer says of a rest or a limit and can't be read; empty: nothing.
	Unread string
}
