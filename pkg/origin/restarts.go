package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// entryDelay is how long after the start of an endpoint its entry may arrive here, while the source is
// reachable. Until then a call to an endpoint that was restarted under its name runs at the new
// incarnation, which may have another version.
const entryDelay = 3 * time.Second

// restarts notices endpoints that were restarted under their name, so that the versions of streams that
// they began just before are not trusted. It is safe for concurrent use.
type restarts struct {
	clock clockwork.Clock

	mu sync.Mutex
	// known are the incarnations by endpoint name, as the source last confirmed them at confirmed.
	known     map[string]incarnation
	confirmed time.Time
	// begun are the streams begun here within entryDelay or since the source last confirmed the
	// endpoints, by endpoint name.
	begun map[string][]begunStream
	// refusedAt is when an endpoint last refused a connection, by ID.
	refusedAt map[string]time.Time
}

// incarnation is an incarnation of an endpoint as last known.
type incarnation struct {
	id      string
	version string
}

type begunStream struct {
	key Key
	at  time.Time
}

func newRestarts(clock clockwork.Clock) *restarts {
	return &restarts{clock: clock, known: map[string]incarnation{}, begun: map[string][]begunStream{}, refusedAt: map[string]time.Time{}}
}

// begin records that an endpoint has begun a stream.
func (r *restarts) begin(key Key, e fleet.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[e.Name()] = append(r.begun[e.Name()], begunStream{key: key, at: r.clock.Now()})
}

// refused records that an endpoint refused a connection, so that it may be restarting.
func (r *restarts) refused(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[endpoint] = r.clock.Now()
}

// mayHaveRestarted reports whether an endpoint may have been restarted without its entry having arrived.
func (r *restarts) mayHaveRestarted(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, refused := r.refusedAt[endpoint]
	return refused && r.clock.Since(at) < entryDelay
}

// observe updates the known incarnations and returns the streams whose version is doubtful. The source
// confirmed the endpoints at the given time.
func (r *restarts) observe(endpoints []fleet.Endpoint, confirmed time.Time) []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	var doubtful []Key
	now := make(map[string]incarnation, len(endpoints))
	for _, e := range endpoints {
		current := incarnation{id: e.ID, version: e.Version}
		if before, known := r.known[e.Name()]; known && before != current {
			doubtful = append(doubtful, r.begunSince(e.Name(), r.confirmed.Add(-entryDelay))...)
		}
		now[e.Name()] = current
	}
	r.known, r.confirmed = now, confirmed
	r.forget(confirmed.Add(-entryDelay))
	return doubtful
}

func (r *restarts) begunSince(name string, since time.Time) []Key {
	var keys []Key
	for _, b := range r.begun[name] {
		if !b.at.Before(since) {
			keys = append(keys, b.key)
		}
	}
	return keys
}

// forget drops the streams that were begun before a time, and old refusals.
func (r *restarts) forget(before time.Time) {
	for name, list := range r.begun {
		r.begun[name] = slices.DeleteFunc(list, func(b begunStream) bool { return b.at.Before(before) })
		if len(r.begun[name]) == 0 {
			delete(r.begun, name)
		}
	}
	maps.DeleteFunc(r.refusedAt, func(_ string, at time.Time) bool { return r.clock.Since(at) >= entryDelay })
}
