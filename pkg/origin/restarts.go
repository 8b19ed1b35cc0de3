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
// may have been begun by another incarnation than the listed one are not trusted. A connection leads to
// one incarnation as long as it lasts. So the streams on connections that were opened while the listed
// incarnation was certain to run are its own, whatever happens to it later. It is safe for concurrent
// use.
type restarts struct {
	clock clockwork.Clock

	mu sync.Mutex
	// known are the incarnations that were last listed, by endpoint name.
	known map[string]listing
	// replaced are the incarnations that took the place of others, by the ID of the other one.
	replaced map[string]listing
	// provenAt is when an incarnation was last certain to run, because the endpoint said so, by ID.
	provenAt map[string]time.Time
	// undecided are the streams begun here on connections that were opened when it was not certain which
	// incarnation runs, by endpoint name.
	undecided map[string][]begunStream
	// asking are the IDs of incarnations for which a question is due.
	asking map[string]bool
	// unlisted are the IDs of incarnations that run in place of the listed ones, by the ID of the listed
	// one.
	unlisted map[string]string
	// refusedAt is when an endpoint last refused a connection, by ID.
	refusedAt map[string]time.Time
}

// incarnation is an incarnation of an endpoint.
type incarnation struct {
	id      string
	version string
}

func incarnationOf(e fleet.Endpoint) incarnation { return incarnation{id: e.ID, version: e.Version} }

// listing is an incarnation, and when the source last confirmed that it is listed.
type listing struct {
	incarnation
	confirmed time.Time
}

type begunStream struct {
	key Key
	// listed is the ID of the listed incarnation.
	listed string
	// connectedAt is when the connection that carries the stream was opened.
	connectedAt time.Time
}

// doubt is a stream that may have been begun by either of two incarnations with different versions.
type doubt struct {
	key         Key
	listed, now incarnation
}

func newRestarts(clock clockwork.Clock) *restarts {
	return &restarts{
		clock: clock, known: map[string]listing{}, replaced: map[string]listing{}, provenAt: map[string]time.Time{},
		undecided: map[string][]begunStream{}, asking: map[string]bool{}, unlisted: map[string]string{}, refusedAt: map[string]time.Time{},
	}
}

// begin records that an endpoint has begun a stream. It reports whether the stream's version is doubtful
// already, and whether the caller has to ask the endpoint which incarnation it is.
func (r *restarts) begin(s Stream) (doubtful, ask bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := s.Endpoint
	if provenAt, proven := r.provenAt[e.ID]; proven && !s.ConnectedAt.After(provenAt) {
		return false, false
	}
	if now, replaced := r.replaced[e.ID]; replaced {
		// The endpoint was restarted while the call was in progress.
		return now.version != e.Version, false
	}
	if _, known := r.known[e.Name()]; !known {
		// The endpoint was listed after the last observation.
		r.known[e.Name()] = listing{incarnationOf(e), r.clock.Now()}
	}
	r.undecided[e.Name()] = append(r.undecided[e.Name()], begunStream{key: s.Key, listed: e.ID, connectedAt: s.ConnectedAt})
	if r.asking[e.ID] || !e.HasIncarnation() {
		return false, false
	}
	r.asking[e.ID] = true
	return false, true
}

// startAsking returns the time of a question. Streams on connections that are opened later need another.
func (r *restarts) startAsking(endpoint string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, endpoint)
	return r.clock.Now()
}

// answered records which incarnation an endpoint said to be when it was asked at the given time.
func (r *restarts) answered(listed fleet.Endpoint, running string, askedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running != listed.ID {
		r.unlisted[listed.ID] = running
		return
	}
	if askedAt.After(r.provenAt[listed.ID]) {
		r.provenAt[listed.ID] = askedAt
	}
	r.decide(listed.Name(), func(b begunStream) bool { return b.listed == listed.ID && !b.connectedAt.After(askedAt) })
}

// decide removes the undecided streams of an endpoint for which decided returns true.
func (r *restarts) decide(name string, decided func(begunStream) bool) {
	r.undecided[name] = slices.DeleteFunc(r.undecided[name], decided)
	if len(r.undecided[name]) == 0 {
		delete(r.undecided, name)
	}
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
	if _, unlisted := r.unlisted[endpoint]; unlisted {
		return true
	}
	at, refused := r.refusedAt[endpoint]
	return refused && r.clock.Since(at) < entryDelay
}

// observe updates the known incarnations and returns the streams whose version is doubtful. The source
// confirmed the endpoints at the given time.
func (r *restarts) observe(endpoints []fleet.Endpoint, confirmed time.Time) []doubt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var doubts []doubt
	for _, e := range endpoints {
		now := listing{incarnationOf(e), confirmed}
		if before, known := r.known[e.Name()]; known && before.incarnation != now.incarnation {
			doubts = append(doubts, r.replace(e.Name(), before, now)...)
		}
		r.known[e.Name()] = now
	}
	r.forget(confirmed)
	return doubts
}

// replace records that the entry of an endpoint names another incarnation now. It settles the undecided
// streams of the one before: one of the two has begun them, unless a third one ran in between that was
// never listed.
func (r *restarts) replace(name string, before, now listing) []doubt {
	between, seen := r.unlisted[before.id]
	delete(r.unlisted, before.id)
	if before.id != now.id {
		r.replaced[before.id] = now
		delete(r.replaced, now.id)
	}
	certain := before.version == now.version && (!seen || between == now.id)
	var doubts []doubt
	r.decide(name, func(b begunStream) bool {
		if b.listed != before.id {
			return false
		}
		if !certain && !b.connectedAt.Before(before.confirmed.Add(-entryDelay)) {
			doubts = append(doubts, doubt{key: b.key, listed: before.incarnation, now: now.incarnation})
		}
		return true
	})
	return doubts
}

// forget drops the streams that the entries alone decide, and incarnations that have not been listed for
// as long as a stream is known.
func (r *restarts) forget(confirmed time.Time) {
	old := func(l listing) bool { return confirmed.Sub(l.confirmed) > maxTTL }
	listed := make(map[string]bool, len(r.known))
	for name, l := range r.known {
		if old(l) {
			delete(r.known, name)
			delete(r.undecided, name)
			continue
		}
		listed[l.id] = true
	}
	for name := range r.undecided {
		known := r.known[name]
		r.decide(name, func(b begunStream) bool {
			return b.listed == known.id && b.connectedAt.Before(known.confirmed.Add(-entryDelay))
		})
	}
	maps.DeleteFunc(r.replaced, func(_ string, l listing) bool { return old(l) })
	maps.DeleteFunc(r.provenAt, func(id string, _ time.Time) bool { return !listed[id] && !r.isReplaced(id) })
	maps.DeleteFunc(r.unlisted, func(id, _ string) bool { return !listed[id] })
	maps.DeleteFunc(r.refusedAt, func(_ string, at time.Time) bool { return r.clock.Since(at) >= entryDelay })
}

func (r *restarts) isReplaced(id string) bool {
	_, replaced := r.replaced[id]
	return replaced
}
