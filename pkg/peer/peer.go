// Package peer identifies the other instances of a deployment to those who send them messages.
package peer

// Peer is an instance. Two values are equal if they are of the same start of the same instance.
type Peer struct {
	Name string
	// Incarnation increases with each start.
	Incarnation uint64
	// Address is the IP:port for messages of instances.
	Address       string
	FailureDomain string
}
