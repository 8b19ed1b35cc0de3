package discovery

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// departedFor is how long after it was heard of a life that has said that it leaves is remembered, though the
// source does not list it: its entry may lapse in an outage and come back as it was. Endpoints serve on for many
// seconds after they have said so.
const departedFor = 10 * time.Minute

// Teller is who told that an endpoint leaves.
type Teller string

// The tellers.
const (
	Answer Teller = "answer"
	Peer   Teller = "peer"
)

// departures collect what endpoints said of their leaving, here or to a peer, until the goroutine that owns
// the view takes it. Safe for concurrent use.
type departures struct {
	mu sync.Mutex
	// waiting are lives that the view does not have yet.
	waiting map[string]Teller
	// news wakes the owner of the view.
	news chan struct{}
	// heard is when a life was heard of; it belongs to the owner of the view.
	heard map[string]time.Time
}

func newDepartures() *departures {
	return &departures{waiting: map[string]Teller{}, news: make(chan struct{}, 1), heard: map[string]time.Time{}}
}

func (d *departures) add(from Teller, lives []string) {
	d.mu.Lock()
	for _, life := range lives {
		d.waiting[life] = from
	}
	d.mu.Unlock()
	select {
	case d.news <- struct{}{}:
	default:
	}
}

func (d *departures) take() map[string]Teller {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := d.waiting
	d.waiting = map[string]Teller{}
	return waiting
}

// Depart takes in that lives of endpoints have said in answers that they leave: to this instance, or to a peer
// that tells so. It does not block.
func (f *Follower) Depart(from Teller, lives ...string) {
	known := f.View().listed
	var unknown []string
	for _, life := range lives {
		if !known.Departing(life) {
			unknown = append(unknown, life)
		}
	}
	if len(unknown) > 0 {
		f.departures.add(from, unknown)
	}
}

// Departing returns up to n lives that have said in answers that they leave, though the source does not say
// so: others are to be told of those. Each time others are chosen.
func (f *Follower) Departing(n int) []string {
	undeclared := f.View().listed.Undeclared()
	if len(undeclared) <= n {
		return undeclared
	}
	rand.Shuffle(len(undeclared), func(i, j int) { undeclared[i], undeclared[j] = undeclared[j], undeclared[i] })
	return undeclared[:n]
}

// Departures is how many lives have said in answers that they leave, and are remembered.
func (f *Follower) Departures() int { return f.View().listed.Departures() }

// departNews says that lives wait which have said that they leave.
type departNews struct{}

func (departNews) apply(f *Follower, view *View) func() {
	now := f.clock.Now()
	for life, from := range f.departures.take() {
		if _, known := f.departures.heard[life]; !known {
			e, listed := view.listed.Endpoint(life)
			f.log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": life, "service": e.Service, "listed": listed, "from": string(from)}).Info()
		}
		f.departures.heard[life] = now
	}
	all := f.departures.remember(now, view.listed)
	view.change(func(s *fleet.Snapshot) *fleet.Snapshot { return s.Depart(all) })
	return nil
}

// remember returns the lives that are to be remembered, and forgets the others.
func (d *departures) remember(now time.Time, listed *fleet.Snapshot) fleet.Departures {
	all := make(fleet.Departures, len(d.heard))
	for life, at := range d.heard {
		if _, still := listed.Endpoint(life); !still && now.Sub(at) > departedFor {
			delete(d.heard, life)
			continue
		}
		all[life] = true
	}
	return all
}
