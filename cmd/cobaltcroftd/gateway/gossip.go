package gateway

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/group"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// groupSettings configures what this instance sends in its heartbeats and how it processes those of
// others.
func (g *Gateway) groupSettings(self membership.Instance) group.Settings {
	return group.Settings{
		Self:            self,
		Contacts:        g.settings.Peers,
		Heartbeat:       heartbeat,
		SuspectAfter:    suspectAfter,
		Claims:          g.claims,
		OnClaims:        g.receiveClaims,
		Division:        g.division,
		OnDivision:      g.receiveDivision,
		Configuration:   g.configuration,
		OnConfiguration: g.receiveConfiguration,
		Ends:            g.quarantine.Recent,
		OnEnds:          g.quarantine.Merge,
		Departing:       g.departing,
		OnDeparting:     g.receiveDeparting,
		Limits:          g.recentLimits,
		OnLimits:        g.receiveLimits,
	}
}

// claims and receiveClaims exchange the owners of partitions. Heartbeats start after all components
// exist.
func (g *Gateway) claims() []ownership.Claim             { return g.router.Claims() }
func (g *Gateway) receiveClaims(heard []ownership.Claim) { g.router.MergeClaims(heard) }

// division and receiveDivision exchange the partitioning of endpoints.
func (g *Gateway) division() ownership.Division             { return g.router.Division() }
func (g *Gateway) receiveDivision(heard ownership.Division) { g.router.MergeDivision(heard) }

// configuration and receiveConfiguration exchange which configuration is in force.
func (g *Gateway) configuration() (at, version uint64) {
	inForce := g.follower.View().InForce()
	return uint64(inForce.Revision), inForce.Version
}

func (g *Gateway) receiveConfiguration(at, version uint64) {
	g.follower.ObserveDocument(discovery.DocumentID{Revision: revision.Revision(at), Version: version})
}

// departing and receiveDeparting exchange the endpoints that have announced to leave.
func (g *Gateway) departing(n int) []string { return g.follower.Departing(n) }

func (g *Gateway) receiveDeparting(incarnations []string) {
	g.follower.MarkDeparting(discovery.FromPeer, incarnations...)
}

// recentLimits and receiveLimits exchange the rate limits of endpoints.
func (g *Gateway) recentLimits(n int) []throttle.Limit   { return g.rateLimits.Gossip(n) }
func (g *Gateway) receiveLimits(limits []throttle.Limit) { g.rateLimits.Merge(limits) }
