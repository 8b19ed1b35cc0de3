package origin

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// entryDelay is how long after the start of an endpoint its entry may arrive here, while the source is
// reachable. Until then a call to an endpoint that was restarted under its name runs at the new
// incarnation, which may have another version.
const entryDelay = 3 * time.Second

// lives notices endpoints that were restarted under their name, so that the versions of streams that
// they began just before are not trusted. It is safe for concurrent use.
type lives struct {
	clock clockwork.Clock

	mu sync.Mutex
	// known is the incarnation by endpoint name.
	known map[string]life
	// begun are the streams begun here within entryDelay or since the source last confirmed the
	// endpoints, by endpoint name.
	begun map[string][]begunStream
	// refusedAt is when an endpoint last refused a connection, by ID.
	refusedAt map[string]time.Time
}

// life is an incarnation of an endpoint.
type life struct {
	id      string
	version string
	// confirmed is when the source last confirmed it.
	confirmed time.Time
}

type begunStream struct {
	key Key
	at  time.Time
}

func newLives(clock clockwork.Clock) *lives {
	return &lives{clock: clock, known: map[string]life{}, begun: map[string][]begunStream{}, refusedAt: map[string]time.Time{}}
}

// begin records that an endpoint has begun a stream.
func (l *lives) begin(key Key, e fleet.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun[e.Name()] = append(l.begun[e.Name()], begunStream{key: key, at: l.clock.Now()})
}

// refused records that an endpoint refused a connection, so that it may be restarting.
func (l *lives) refused(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt[endpoint] = l.clock.Now()
}

// mayHaveRestarted reports whether an endpoint may have been restarted without its entry having arrived.
func (l *lives) mayHaveRestarted(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, refused := l.refusedAt[endpoint]
	return refused && l.clock.Since(at) < entryDelay
}

// observe updates the known incarnations and returns the streams whose version is doubtful. The source
// confirmed the endpoints at the given time.
func (l *lives) observe(endpoints []fleet.Endpoint, confirmed time.Time) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubtful []Key
	now := make(map[string]life, len(endpoints))
	for _, e := range endpoints {
		current := life{id: e.ID, version: e.Version, confirmed: confirmed}
		before, known := l.known[e.Name()]
		if known && (before.id != current.id || before.version != current.version) {
			doubtful = append(doubtful, l.begunSince(e.Name(), before.confirmed.Add(-entryDelay))...)
		}
		now[e.Name()] = current
	}
	l.known = now
	l.forget(confirmed.Add(-entryDelay))
	return doubtful
}

func (l *lives) begunSince(name string, since time.Time) []Key {
	var keys []Key
	for _, b := range l.begun[name] {
		if !b.at.Before(since) {
			keys = append(keys, b.key)
		}
	}
	return keys
}

// forget drops what is older than a time.
func (l *lives) forget(before time.Time) {
	for name, list := range l.begun {
		kept := list[:0]
		for _, b := range list {
			if !b.at.Before(before) {
				kept = append(kept, b)
			}
		}
		l.begun[name] = kept
		if len(kept) == 0 {
			delete(l.begun, name)
		}
	}
	for id, at := range l.refusedAt {
		if l.clock.Since(at) >= entryDelay {
			delete(l.refusedAt, id)
		}
	}
}
