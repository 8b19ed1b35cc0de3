package gateway

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/group"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// groupSettings say what this instance tells the others with its heartbeats, and what becomes of what they
// tell.
func (g *Gateway) groupSettings(self membership.Instance) group.Settings {
	return group.Settings{
		Self:           self,
		Contacts:       g.settings.Peers,
		Heartbeat:      heartbeat,
		SuspectAfter:   suspectAfter,
		Claims:         g.claims,
		HeardClaims:    g.hearClaims,
		Division:       g.division,
		HeardDivision:  g.hearDivision,
		Revision:       g.documentRevision,
		HeardRevision:  g.hearRevision,
		Ends:           g.quarantine.Tell,
		HeardEnds:      g.quarantine.Hear,
		Departing:      g.departing,
		HeardDeparting: g.hearDeparting,
		Limits:         g.tellLimits,
		HeardLimits:    g.hearLimits,
	}
}

// claims and hearClaims tell and hear who owns which part. Heartbeats begin when all is put
// together.
func (g *Gateway) claims() []ownership.Claim          { return g.router.Claims() }
func (g *Gateway) hearClaims(heard []ownership.Claim) { g.router.MergeClaims(heard) }

// division and hearDivision tell and hear into which parts the endpoints are cut.
func (g *Gateway) division() ownership.Division          { return g.router.Division() }
func (g *Gateway) hearDivision(heard ownership.Division) { g.router.MergeDivision(heard) }

// documentRevision and hearRevision tell and hear which configuration is in force where.
func (g *Gateway) documentRevision() uint64 { return g.follower.View().Document.Revision }
func (g *Gateway) hearRevision(r uint64)    { g.follower.Heard(r) }

// departing and hearDeparting tell and hear which endpoints have said that they leave.
func (g *Gateway) departing(n int) []string     { return g.follower.Departing(n) }
func (g *Gateway) hearDeparting(lives []string) { g.follower.Depart(discovery.Peer, lives...) }

// tellLimits and hearLimits tell and hear which endpoints take only so much from all instances together.
func (g *Gateway) tellLimits(n int) []throttle.Limit  { return g.limited.Tell(n) }
func (g *Gateway) hearLimits(limits []throttle.Limit) { g.limited.Hear(limits) }
