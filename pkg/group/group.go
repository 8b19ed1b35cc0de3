// Package group keeps the members known of a group of equal instances. One goroutine
// owns the membership state; readers take copies through an atomic pointer.
package group

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

const (
	// queueLength bounds the heartbeats that wait.
	queueLength = 256
	// greetingFor is how long a new instance sends heartbeats greetingsEach times as often:
	// until all know each other, each plans for itself.
	greetingFor   = 4 * time.Second
	greetingsEach = 5
)

// Settings of a group's member.
type Settings struct {
	Self         membership.Instance
	Contacts     []string
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	// Claims returns what is told of the owners of parts; HeardClaims takes in what others
	// tell, and must not block. Both may be nil.
	Claims      func() []ownership.Claim
	HeardClaims func([]ownership.Claim)
	// Division returns the division of the stage endpoints that is told, HeardDivision takes in
	// that of another member, and must not block. Both may be nil.
	Division      func() ownership.Division
	HeardDivision func(ownership.Division)
	// Revision returns the revision of the configuration in force here, which is told;
	// HeardRevision takes in that of another member, and must not block. Both may be nil.
	Revision      func() uint64
	HeardRevision func(uint64)
	// Ends returns up to n ends of endpoints under requests which may be why, which are told;
	// HeardEnds takes in those of another member, and must not block. Both may be nil.
	Ends      func(n int) []quarantine.End
	HeardEnds func([]quarantine.End)
	// Departing returns up to n lives of endpoints that have said in answers that they leave, though
	// the source does not say so, which are told; HeardDeparting takes in those of another member, and must
	// not block. Both may be nil. They go with the usual heartbeats, and are not sent at once: whoever has
	// sent something to an endpoint hears it from its own answers.
	Departing      func(n int) []string
	HeardDeparting func(lives []string)
	// Limits returns up to n limits that endpoints name for all instances, which are told; HeardLimits takes in those of
	// another member, and must not block. Both may be nil.
	Limits      func(n int) []throttle.Limit
	HeardLimits func([]throttle.Limit)
}

const (
	// endsSeldom is how many ends a heartbeat names that goes to all at once, or to who is heard for the
	// first time; endsUsually how many others do. At 54 bytes each (BenchmarkEndSize) the usual ones add
	// 11 KB a second to the 52 heartbeats that an instance of 295 sends, and only while there are any.
	endsSeldom  = 32
	endsUsually = 4
	// departingTold is how many lives a heartbeat names that leave: 30 bytes each (BenchmarkDepartingSize), and
	// only until the source says so.
	departingTold = 8
	// limitsTold is how many limits a heartbeat names: 39 bytes each (BenchmarkLimitSize), and only while some hold
	// or were lifted lately.
	limitsTold = 8
)

// Transport sends heartbeats. Its method must not block.
type Transport interface {
	Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string)
}

// Group is this instance's knowledge of the others.
type Group struct {
	settings  Settings
	transport Transport
	clock     clockwork.Clock
	log       *logrus.Entry
	heard     chan heard
	// news says that something was decided here which some others are told at once, decision that
	// all are.
	news     chan struct{}
	decision chan struct{}
	leaving  atomic.Bool
	members  atomic.Pointer[lists]
}

// heard is a heartbeat, and the lives of endpoints that it says leave.
type heard struct {
	membership.Heartbeat
	departing []control.LeavingEndpoint
}

// lists are the other members by their state, at one time. They are immutable.
type lists struct {
	live    []membership.Member
	leaving []membership.Member
}

// New returns a group that knows its contacts only.
func New(settings Settings, transport Transport, clock clockwork.Clock, log *logrus.Entry) *Group {
	g := &Group{settings: settings, transport: transport, clock: clock, log: log, heard: make(chan heard, queueLength), news: make(chan struct{}, 1), decision: make(chan struct{}, 1)}
	g.members.Store(&lists{})
	return g
}

// Self is this instance.
func (g *Group) Self() membership.Instance { return g.settings.Self }

// Heard takes a heartbeat in; one for which there is no room counts as lost.
func (g *Group) Heard(h membership.Heartbeat, departing []control.LeavingEndpoint) {
	select {
	case g.heard <- heard{h, departing}:
	default:
	}
}

// Leave has the others told that this instance leaves.
func (g *Group) Leave() {
	g.leaving.Store(true)
	g.Tell()
}

// Tell has a heartbeat sent at once.
func (g *Group) Tell() { wake(g.news) }

// TellAll has a heartbeat sent at once to all members, of other failure domains too: 54 KB at 295
// instances. It is for what is decided seldom and counts everywhere, such as who owns a part: where
// only some are told, each of the others finds out by a plan of its own that an owner is cut off, which
// takes 0.6 s (803 plans of 295 instances in one cut of a failure domain).
func (g *Group) TellAll() { wake(g.decision) }

func wake(sleeper chan struct{}) {
	select {
	case sleeper <- struct{}{}:
	default:
	}
}

// Live returns the other members that live and are not leaving. The slice must not be changed.
func (g *Group) Live() []membership.Member { return g.members.Load().live }

// Leaving returns the other members that are leaving. The slice must not be changed.
func (g *Group) Leaving() []membership.Member { return g.members.Load().leaving }

// publish has readers see the members as they are now.
func (g *Group) publish(members []membership.Member) {
	l := &lists{}
	for _, m := range members {
		switch m.State {
		case membership.Live:
			l.live = append(l.live, m)
		case membership.Leaving:
			l.leaving = append(l.leaving, m)
		}
	}
	g.members.Store(l)
}

// Run owns the state until t dies.
func (g *Group) Run(t *tomb.Tomb) error {
	members := membership.New(g.settings.Self, g.settings.SuspectAfter, g.settings.Contacts)
	begin := g.clock.Now()
	ticker := g.clock.NewTicker(g.settings.Heartbeat / greetingsEach)
	defer ticker.Stop()
	greeting := true
	g.beat(members)
	for {
		select {
		case h := <-g.heard:
			g.tell(members.Observe(g.clock.Now(), h.Heartbeat))
			g.hearNews(h)
		case <-g.news:
			g.beat(members)
		case <-g.decision:
			g.send(members.Broadcast(), endsSeldom)
		case <-ticker.Chan():
			g.tell(members.Tick(g.clock.Now()))
			g.beat(members)
			if greeting && g.clock.Since(begin) > greetingFor {
				greeting = false
				ticker.Reset(g.settings.Heartbeat)
			}
		case <-t.Dying():
			g.beat(members)
			return nil
		}
		if members.Changed() {
			g.publish(members.List())
		}
	}
}

// hearNews passes on what a heartbeat tells beyond its sender's life.
func (g *Group) hearNews(h heard) {
	if g.settings.HeardDivision != nil && h.Division.Term > 0 {
		g.settings.HeardDivision(h.Division)
	}
	if g.settings.HeardClaims != nil && len(h.Claims) > 0 {
		g.settings.HeardClaims(h.Claims)
	}
	if g.settings.HeardRevision != nil && h.Revision > 0 {
		g.settings.HeardRevision(h.Revision)
	}
	if g.settings.HeardEnds != nil && len(h.Ends) > 0 {
		g.settings.HeardEnds(h.Ends)
	}
	if g.settings.HeardLimits != nil && len(h.Limits) > 0 {
		g.settings.HeardLimits(h.Limits)
	}
	if g.settings.HeardDeparting != nil && len(h.departing) > 0 {
		lives := make([]string, len(h.departing))
		for i, e := range h.departing {
			lives[i] = e.Name
		}
		g.settings.HeardDeparting(lives)
	}
}

// departing are the lives of endpoints that are told to leave. A life's ID stands for name and incarnation
// together.
func (g *Group) departing() []control.LeavingEndpoint {
	if g.settings.Departing == nil {
		return nil
	}
	var departing []control.LeavingEndpoint
	for _, life := range g.settings.Departing(departingTold) {
		departing = append(departing, control.LeavingEndpoint{Name: life})
	}
	return departing
}

func (g *Group) beat(members *membership.Members) {
	for n, message := range members.Next(g.clock.Now(), rand.IntN) {
		ends := endsUsually
		if n > 0 {
			ends = endsSeldom
		}
		g.send(message, ends)
	}
}

// send sends a heartbeat that names up to so many ends.
func (g *Group) send(message membership.Message, ends int) {
	h := message.Heartbeat
	h.Leaving = g.leaving.Load()
	if g.settings.Claims != nil {
		h.Claims = g.settings.Claims()
	}
	if g.settings.Division != nil {
		h.Division = g.settings.Division()
	}
	if g.settings.Revision != nil {
		h.Revision = g.settings.Revision()
	}
	if g.settings.Ends != nil {
		h.Ends = g.settings.Ends(ends)
	}
	if g.settings.Limits != nil {
		h.Limits = g.settings.Limits(limitsTold)
	}
	g.transport.Broadcast(h, g.departing(), message.To)
}

func (g *Group) tell(changes []membership.Change) {
	for _, c := range changes {
		g.log.WithFields(logrus.Fields{"event": "member", "instance": c.Member.Name, "state": string(c.State), "new": c.New}).Info()
	}
}
