// Package control owns the control state of an instance: one goroutine takes typed
// events from one queue and publishes an immutable view, which traffic reads.
package control

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
)

// View is what traffic decides by. It is immutable, but for the pools in it, which
// guard themselves.
type View struct {
	Configuration *config.Configuration
	// Pools by service.
	Pools map[string]*scheduling.Pool
	// Plans by pipeline.
	Plans map[string]*scheduling.Plan
	// Instances is the number of live instances, this one included, in the own
	// failure domain and in all.
	Instances ratelimit.InstanceCounts
	// Confirmed is set once the configuration is known to be as new as can be
	// found out; before, nothing is served.
	Confirmed bool
}
