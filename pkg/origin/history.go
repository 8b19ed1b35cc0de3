package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// maxHistory is how long a version is remembered after its last endpoint has gone.
const maxHistory = 10 * time.Minute

// history records which software versions of each service have been known, and since when without a
// gap. It is safe for concurrent use.
type history struct {
	clock clockwork.Clock

	mu sync.Mutex
	// since is the beginning of the gapless observation of the endpoints; zero if they are out of date.
	since time.Time
	// seen is when each version was last known, by service.
	seen map[string]map[string]time.Time
}

func newHistory(clock clockwork.Clock) *history {
	return &history{clock: clock, seen: map[string]map[string]time.Time{}}
}

// observe records the versions of the known endpoints. If they are not current, versions may have been
// missed, and the observation begins anew.
func (h *history) observe(endpoints []fleet.Endpoint, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	switch {
	case !current:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
	for _, e := range endpoints {
		h.noteLocked(Of(e), now)
	}
	h.forgetLocked(now)
}

// note records that a version has served.
func (h *history) note(o Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked(o, h.clock.Now())
}

func (h *history) noteLocked(o Origin, now time.Time) {
	if h.seen[o.Service] == nil {
		h.seen[o.Service] = map[string]time.Time{}
	}
	h.seen[o.Service][o.Version] = now
}

func (h *history) forgetLocked(now time.Time) {
	maps.DeleteFunc(h.seen, func(_ string, versions map[string]time.Time) bool {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > maxHistory })
		return len(versions) == 0
	})
}

// Versions is what an instance knows of the software versions that have served.
type Versions struct {
	// Names are the versions known during the queried time, sorted.
	Names []string `json:"names"`
	// ObservedMs is for how long the endpoints have been observed without a gap, in milliseconds.
	ObservedMs int64 `json:"observed_ms"`
}

// versions returns the versions of a service that have been known within a time.
func (h *history) versions(service string, within time.Duration) Versions {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var v Versions
	for version, at := range h.seen[service] {
		if now.Sub(at) <= within {
			v.Names = append(v.Names, version)
		}
	}
	slices.Sort(v.Names)
	if !h.since.IsZero() {
		v.ObservedMs = now.Sub(h.since).Milliseconds()
	}
	return v
}
