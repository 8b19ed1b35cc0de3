package control

import (
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

// Heard processes a peer's heartbeat and the leaving endpoints it reports.
func (c *Control) Heard(h membership.Heartbeat, leaving []LeavingEndpoint) {
	c.events <- heartbeatReceived{h, leaving}
}

// AnnounceLeaving announces to the peers, immediately and with each further heartbeat, that
// this instance is leaving.
func (c *Control) AnnounceLeaving() { c.events <- stopping{} }

// Members returns the known other instances. The caller must not modify the slice.
func (c *Control) Members() []membership.Member { return *c.membersShared.Load() }

// Self returns the description of this instance sent to its peers.
func (c *Control) Self() membership.Instance { return c.settings.Self }

type heartbeatReceived struct {
	heartbeat membership.Heartbeat
	leaving   []LeavingEndpoint
}

func (e heartbeatReceived) apply(c *Control) {
	changes := c.members.Observe(c.clock.Now(), e.heartbeat)
	c.noteMembers(changes)
	for _, endpoint := range e.leaving {
		endpointLeaving{endpoint, "instance " + e.heartbeat.From.Name}.apply(c)
	}
	if e.heartbeat.Revision > c.configuration.Revision() && e.heartbeat.From.Name != c.settings.Self.Name {
		c.peers.NotifyBehind(e.heartbeat.From, e.heartbeat.Revision)
	}
}

type stopping struct{}

func (stopping) apply(c *Control) {
	c.stopping = true
	c.sendHeartbeats()
}

// sendHeartbeats sends heartbeats and updates the states of silent peers.
func (c *Control) sendHeartbeats() {
	now := c.clock.Now()
	c.shareLeaving()
	changes := c.members.Tick(now)
	for _, message := range c.members.Next(now, c.random.IntN) {
		h := message.Heartbeat
		h.Leaving = c.stopping
		h.Revision = c.configuration.Revision()
		c.peers.Broadcast(h, c.LeavingEndpoints(), message.To)
	}
	c.noteMembers(changes)
	c.shareMembers()
}

// noteMembers records membership changes and recounts the live instances.
func (c *Control) noteMembers(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		kind := kindOf(change)
		c.ring.Add(timeline.Event{Kind: kind, Detail: change.Member.Name + " in " + change.Member.FailureDomain})
		c.log.WithFields(logrus.Fields{"event": string(kind), "peer": change.Member.Name, "incarnation": change.Member.Incarnation}).Info()
	}
	c.shareMembers()
	live := ratelimit.InstanceCounts{Domain: 1, All: 1}
	for _, member := range c.Members() {
		if member.State != membership.Live {
			continue
		}
		live.All++
		if member.FailureDomain == c.settings.Self.FailureDomain {
			live.Domain++
		}
	}
	if live != c.instances {
		c.instances = live
		c.updatePools()
		c.publish()
	}
}

func kindOf(change membership.Change) timeline.Kind {
	switch change.State {
	case membership.Live:
		return timeline.PeerJoined
	case membership.Suspected:
		return timeline.PeerSuspected
	}
	return timeline.PeerLeft
}

func (c *Control) shareMembers() {
	list := c.members.List()
	c.membersShared.Store(&list)
}
