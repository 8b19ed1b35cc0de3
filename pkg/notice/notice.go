// Package notice holds what endpoints say of themselves in the heads of their answers, whatever they
// answer to a call: that they leave, or that they want nothing from this machine for a while.
package notice

import "time"

// Notice is what one answer says of its endpoint. The zero value says nothing.
type Notice struct {
	// Leaving: the endpoint ends in time, and wants no new work from anybody.
	Leaving bool
	// Rest is how long the endpoint wants nothing from this machine; 0: it does not say.
	Rest time.Duration
	// Unread is what the answer says of a rest and can't be read; empty: nothing.
	Unread string
}
