package discovery

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// departureRetention is how long a reported departure is kept for an endpoint that the source does
// not list. The entry of a departing endpoint may expire during an outage and be registered again
// without the leaving flag.
const departureRetention = 10 * time.Minute

// DepartureSource identifies how a departure was learned.
type DepartureSource string

// Values of DepartureSource.
const (
	FromResponse DepartureSource = "answer"
	FromPeer     DepartureSource = "peer"
)

// departures collects departures reported by endpoints or peers until the goroutine that owns the
// view applies them. It is safe for concurrent use.
type departures struct {
	mu sync.Mutex
	// pending holds endpoint IDs that are not applied to the view yet.
	pending map[string]DepartureSource
	// notify wakes the goroutine that owns the view.
	notify chan struct{}
	// seen maps endpoint IDs to the time of the last report. Only the goroutine that owns the view
	// accesses it.
	seen map[string]time.Time
}

func newDepartures() *departures {
	return &departures{pending: map[string]DepartureSource{}, notify: make(chan struct{}, 1), seen: map[string]time.Time{}}
}

func (d *departures) add(from DepartureSource, ids []string) {
	d.mu.Lock()
	for _, id := range ids {
		d.pending[id] = from
	}
	d.mu.Unlock()
	select {
	case d.notify <- struct{}{}:
	default:
	}
}

func (d *departures) drain() map[string]DepartureSource {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := d.pending
	d.pending = map[string]DepartureSource{}
	return waiting
}

// MarkDeparting records that endpoints have announced their departure, in a response to this instance or
// through a peer. It does not block.
func (f *Follower) MarkDeparting(from DepartureSource, ids ...string) {
	known := f.View().listed
	var unknown []string
	for _, id := range ids {
		if !known.IsDeparting(id) {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		f.departures.add(from, unknown)
	}
}

// Departing returns up to n IDs of endpoints that have announced their departure in a response but
// are not listed as leaving by the source. If there are more, it returns a random selection, so
// that repeated calls cover all of them.
func (f *Follower) Departing(n int) []string {
	undeclared := f.View().listed.Undeclared()
	if len(undeclared) <= n {
		return undeclared
	}
	rand.Shuffle(len(undeclared), func(i, j int) { undeclared[i], undeclared[j] = undeclared[j], undeclared[i] })
	return undeclared[:n]
}

// Departures returns the number of recorded departures.
func (f *Follower) Departures() int { return f.View().listed.Departures() }

// departuresUpdate applies the pending departures.
type departuresUpdate struct{}

func (departuresUpdate) apply(f *Follower, view *View) func() {
	now := f.clock.Now()
	for id, from := range f.departures.drain() {
		if _, known := f.departures.seen[id]; !known {
			e, listed := view.listed.Endpoint(id)
			f.log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": id, "service": e.Service, "listed": listed, "from": string(from)}).Info()
		}
		f.departures.seen[id] = now
	}
	all := f.departures.prune(now, view.listed)
	view.updateSnapshots(func(s *fleet.Snapshot) *fleet.Snapshot { return s.WithDepartures(all) })
	return nil
}

// prune drops departures that have expired and returns the remaining ones.
func (d *departures) prune(now time.Time, listed *fleet.Snapshot) fleet.Departures {
	all := make(fleet.Departures, len(d.seen))
	for id, at := range d.seen {
		if _, still := listed.Endpoint(id); !still && now.Sub(at) > departureRetention {
			delete(d.seen, id)
			continue
		}
		all[id] = true
	}
	return all
}
