// Package control maintains the control state of an instance. A single goroutine
// applies events from a queue and publishes immutable views, which request execution
// reads.
package control

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

// View is a snapshot of the control state. It is immutable, except for the pools,
// which are safe for concurrent use.
type View struct {
	Configuration *config.Configuration
	// Pools holds the endpoint pools by service.
	Pools map[string]*scheduling.Pool
	// Plans holds the plans by pipeline.
	Plans map[string]*scheduling.Plan
	// Instances is the number of live instances, including this one, in this failure
	// domain and in total.
	Instances ratelimit.InstanceCounts
	// Confirmed is set once the configuration has been synchronised with the key-value
	// service or a peer. Requests are rejected until then.
	Confirmed bool
}
