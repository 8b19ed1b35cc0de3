// Package origin tracks which software version began each stream. What two versions write does not fit
// together, so a stream may only be continued by the version that began it, whichever instance its
// client resumes it at.
//
// The instance that begins a stream tells two others, the keepers, which follow from the stream by
// rendezvous hashing. An instance at which a client resumes a stream asks them. If nobody knows the
// stream, it may only be continued if a single version has served since it can have begun.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Origin is the service and the software version that began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Of returns the origin of a stream that an endpoint begins.
func Of(e fleet.Endpoint) Origin { return Origin{Service: e.Service, Version: e.Version} }

// Allows reports whether an endpoint may continue the stream.
func (o Origin) Allows(e fleet.Endpoint) bool { return Of(e) == o }

// Key identifies a stream. It is a hash, so that records are small and name no caller.
type Key uint64

// KeyOf returns the key of the stream whose first event was received by the request with the given ID.
// The caller is the organisation, or empty if the route needs none.
func KeyOf(caller, request string) Key {
	return Key(xxhash.Sum64String(caller + "\x00" + request))
}

// Record states the origin of a stream.
type Record struct {
	Key    Key
	Origin Origin
	// Doubtful is set if the version is not certain, because the endpoint may have been restarted as
	// another one just before. The stream cannot be continued then.
	Doubtful bool
	// TTL is how much longer the stream can be continued.
	TTL time.Duration
	// Regional is set if only instances in some failure domains may hold the record. The one that began
	// the stream knows them.
	Regional bool
}
