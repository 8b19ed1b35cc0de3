// Package group maintains the membership of a group of equal instances with heartbeats, which also
// carry the state that the instances share. A single goroutine owns the membership; readers load
// copies through an atomic pointer.
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
	// queueLength is the capacity of the queue of received heartbeats.
	queueLength = 256
	// joinPeriod is how long a new instance sends heartbeats joinHeartbeatFactor times as often, to
	// shorten the time until the instances know each other.
	joinPeriod          = 4 * time.Second
	joinHeartbeatFactor = 5
)

// Settings configures a group member.
type Settings struct {
	Self         membership.Instance
	Contacts     []string
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	// Claims returns the ownership claims to send, and OnClaims receives those of other members.
	// OnClaims must not block. Both may be nil.
	Claims   func() []ownership.Claim
	OnClaims func([]ownership.Claim)
	// Division returns the division of the stage endpoints to send, and OnDivision receives that
	// of another member. OnDivision must not block. Both may be nil.
	Division   func() ownership.Division
	OnDivision func(ownership.Division)
	// Configuration returns the revision and the operator's version of the local configuration to
	// send, and OnConfiguration receives those of another member. OnConfiguration must not block.
	// Both may be nil.
	Configuration   func() (revision, version uint64)
	OnConfiguration func(revision, version uint64)
	// Ends returns up to n endpoint failures, with the requests that may have caused them, to send.
	// OnEnds receives those of another member and must not block. Both may be nil.
	Ends   func(n int) []quarantine.Crash
	OnEnds func([]quarantine.Crash)
	// Departing returns up to n IDs of departing endpoints that the source does not list as
	// leaving, to send. OnDeparting receives those of another member and must not block. Both
	// may be nil. They are only sent with regular heartbeats, because instances that use such an
	// endpoint learn of its departure from its responses.
	Departing   func(n int) []string
	OnDeparting func(ids []string)
	// Limits returns up to n limits that endpoints set for all instances, to send. OnLimits
	// receives those of another member and must not block. Both may be nil.
	Limits   func(n int) []throttle.Limit
	OnLimits func([]throttle.Limit)
}

const (
	// maxEndsBroadcast is the maximum number of ends in a heartbeat that goes to all members or to
	// a newly discovered one, and maxEndsPeriodic that in a regular heartbeat. An end takes 54
	// bytes (BenchmarkEndSize), so that the periodic ones add 11 KB a second to the 52 heartbeats of
	// an instance among 295, only while there are any.
	maxEndsBroadcast = 32
	maxEndsPeriodic  = 4
	// maxDeparting is the maximum number of departing endpoints in a heartbeat. Each takes 30 bytes
	// (BenchmarkDepartingSize).
	maxDeparting = 8
	// maxLimits is the maximum number of limits in a heartbeat. Each takes 39 bytes
	// (BenchmarkLimitSize).
	maxLimits = 8
)

// Transport sends heartbeats. Broadcast must not block.
type Transport interface {
	Broadcast(h membership.Heartbeat, leaving []control.LeavingEndpoint, to []string)
}

// Group maintains the membership known to this instance.
type Group struct {
	settings  Settings
	transport Transport
	clock     clockwork.Clock
	log       *logrus.Entry
	received  chan receivedHeartbeat
	// notify requests a heartbeat to some members at once, notifyAll to all members.
	notify    chan struct{}
	notifyAll chan struct{}
	leaving   atomic.Bool
	members   atomic.Pointer[memberLists]
}

// receivedHeartbeat is a heartbeat with the departing endpoints it reports.
type receivedHeartbeat struct {
	membership.Heartbeat
	departing []control.LeavingEndpoint
}

// memberLists contains the other members by state. It is immutable.
type memberLists struct {
	live    []membership.Member
	leaving []membership.Member
}

// New returns a group that only knows its contacts.
func New(settings Settings, transport Transport, clock clockwork.Clock, log *logrus.Entry) *Group {
	g := &Group{settings: settings, transport: transport, clock: clock, log: log, received: make(chan receivedHeartbeat, queueLength), notify: make(chan struct{}, 1), notifyAll: make(chan struct{}, 1)}
	g.members.Store(&memberLists{})
	return g
}

// Self returns this instance.
func (g *Group) Self() membership.Instance { return g.settings.Self }

// Heard queues a received heartbeat. If the queue is full the heartbeat is dropped.
func (g *Group) Heard(h membership.Heartbeat, departing []control.LeavingEndpoint) {
	select {
	case g.received <- receivedHeartbeat{h, departing}:
	default:
	}
}

// Leave announces that this instance is leaving.
func (g *Group) Leave() {
	g.leaving.Store(true)
	g.Notify()
}

// Notify sends a heartbeat at once.
func (g *Group) Notify() { signal(g.notify) }

// NotifyAll sends a heartbeat to all members at once, including those in other failure domains. It is
// meant for rare decisions that concern all members, such as a change of ownership, which they
// would otherwise detect only after a delay: each instance that did not know of an unreachable owner
// found out by a plan of its own, in 0.6 s (803 plans in one partition of 295 instances). It takes
// 54 KB at 295 instances.
func (g *Group) NotifyAll() { signal(g.notifyAll) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Live returns the other members that are live and not leaving. The caller must not modify the
// slice.
func (g *Group) Live() []membership.Member { return g.members.Load().live }

// Leaving returns the other members that are leaving. The caller must not modify the slice.
func (g *Group) Leaving() []membership.Member { return g.members.Load().leaving }

// publish updates the lists returned to readers.
func (g *Group) publish(members []membership.Member) {
	l := &memberLists{}
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

// Run owns the membership until t dies.
func (g *Group) Run(t *tomb.Tomb) error {
	members := membership.New(g.settings.Self, g.settings.SuspectAfter, g.settings.Contacts)
	begin := g.clock.Now()
	ticker := g.clock.NewTicker(g.settings.Heartbeat / joinHeartbeatFactor)
	defer ticker.Stop()
	joining := true
	g.sendHeartbeats(members)
	for {
		select {
		case h := <-g.received:
			g.logChanges(members.Observe(g.clock.Now(), h.Heartbeat))
			g.dispatch(h)
		case <-g.notify:
			g.sendHeartbeats(members)
		case <-g.notifyAll:
			g.send(members.Broadcast(), maxEndsBroadcast)
		case <-ticker.Chan():
			g.logChanges(members.Tick(g.clock.Now()))
			g.sendHeartbeats(members)
			if joining && g.clock.Since(begin) > joinPeriod {
				joining = false
				ticker.Reset(g.settings.Heartbeat)
			}
		case <-t.Dying():
			g.sendHeartbeats(members)
			return nil
		}
		if members.Changed() {
			g.publish(members.List())
		}
	}
}

// dispatch passes the shared state in a heartbeat to the handlers.
func (g *Group) dispatch(h receivedHeartbeat) {
	if g.settings.OnDivision != nil && h.Division.Term > 0 {
		g.settings.OnDivision(h.Division)
	}
	if g.settings.OnClaims != nil && len(h.Claims) > 0 {
		g.settings.OnClaims(h.Claims)
	}
	if g.settings.OnConfiguration != nil && h.Revision > 0 {
		g.settings.OnConfiguration(h.Revision, h.ConfigVersion)
	}
	if g.settings.OnEnds != nil && len(h.Ends) > 0 {
		g.settings.OnEnds(h.Ends)
	}
	if g.settings.OnLimits != nil && len(h.Limits) > 0 {
		g.settings.OnLimits(h.Limits)
	}
	if g.settings.OnDeparting != nil && len(h.departing) > 0 {
		ids := make([]string, len(h.departing))
		for i, e := range h.departing {
			ids[i] = e.Name
		}
		g.settings.OnDeparting(ids)
	}
}

// departing returns the departing endpoints to send. The ID contains both name and incarnation.
func (g *Group) departing() []control.LeavingEndpoint {
	if g.settings.Departing == nil {
		return nil
	}
	var departing []control.LeavingEndpoint
	for _, id := range g.settings.Departing(maxDeparting) {
		departing = append(departing, control.LeavingEndpoint{Name: id})
	}
	return departing
}

func (g *Group) sendHeartbeats(members *membership.Members) {
	for n, message := range members.Next(g.clock.Now(), rand.IntN) {
		ends := maxEndsPeriodic
		if n > 0 {
			ends = maxEndsBroadcast
		}
		g.send(message, ends)
	}
}

// send sends a heartbeat with up to the given number of ends.
func (g *Group) send(message membership.Message, ends int) {
	h := message.Heartbeat
	h.Leaving = g.leaving.Load()
	if g.settings.Claims != nil {
		h.Claims = g.settings.Claims()
	}
	if g.settings.Division != nil {
		h.Division = g.settings.Division()
	}
	if g.settings.Configuration != nil {
		h.Revision, h.ConfigVersion = g.settings.Configuration()
	}
	if g.settings.Ends != nil {
		h.Ends = g.settings.Ends(ends)
	}
	if g.settings.Limits != nil {
		h.Limits = g.settings.Limits(maxLimits)
	}
	g.transport.Broadcast(h, g.departing(), message.To)
}

func (g *Group) logChanges(changes []membership.Change) {
	for _, c := range changes {
		g.log.WithFields(logrus.Fields{"event": "member", "instance": c.Member.Name, "state": string(c.State), "new": c.New}).Info()
	}
}
