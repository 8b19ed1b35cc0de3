package gateway

import (
	"context"
	"net"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
	"github.com/cobaltcroft/cobaltcroft/service/tunnel"
)

// buildPaths creates what connects to endpoints, directly or through other instances, and carries the
// tunnels of others.
func (g *Gateway) buildPaths() {
	g.reach = reach.NewTracker(g.clock, g.metrics, g.logs.For("reach"))
	client := tunnel.Client{Token: g.settings.PeerToken}
	g.dialer = &reach.Dialer{
		Direct:     httpconn.TCPDialer{Timeout: httpconn.DefaultDialTimeout},
		Tunnels:    tunnel.NewPeers(client, g.group.Live, g.regions.OfDomain, g.clock, g.metrics),
		Tracker:    g.reach,
		OnTunneled: g.dropDirect,
	}
	g.reach.OnReturn(func(failureDomain string) { g.batcher.ProbeNow(failureDomain) })
	g.conns.UseDialer(g.dialer)
	g.prober = &reach.Prober{Dialer: g.dialer, Endpoints: targets{g}, Clock: g.clock}
	g.tunnels = tunnel.NewServer(tunnelEnds{targets{g}}, g.settings.PeerToken, g.metrics)
	g.listeners.calls, g.listeners.tunnels = peers.Split(g.listeners.peers)
}

// runProber probes the endpoints that are not reached directly until ctx is done.
func (g *Gateway) runProber(ctx context.Context) error {
	g.prober.Run(ctx)
	return nil
}

// dropDirect stops using the direct connections to all endpoints that are now reached through other
// instances. Calls are broken off only where a whole failure domain is silent: a single sound endpoint
// may be silent for a second and go on.
func (g *Gateway) dropDirect(target httpconn.Target, silent bool) {
	g.conns.DropDirect(func(t httpconn.Target) bool {
		return g.reach.Path(t.FailureDomain, t.ID) == reach.Tunneled
	}, silent && g.reach.Partitioned(target.FailureDomain))
}

// reachable reports whether this instance can connect to an endpoint by any path.
func (g *Gateway) reachable(e fleet.Endpoint) bool {
	return g.reach.Path(e.FailureDomain, e.ID) != reach.None
}

// isolated reports whether a failed connection to an endpoint may be due to this instance's links.
func (g *Gateway) isolated(e fleet.Endpoint) bool {
	return g.reach.Isolated(e.FailureDomain, e.ID)
}

// targets implements reach.Endpoints.
type targets struct{ *Gateway }

var _ reach.Endpoints = targets{}

func targetOf(e fleet.Endpoint) httpconn.Target {
	return httpconn.Target{ID: e.ID, Address: e.Address, FailureDomain: e.FailureDomain}
}

// Target implements reach.Endpoints.
func (t targets) Target(endpoint string) (httpconn.Target, bool) {
	e, found := t.follower.View().Fleet.Endpoint(endpoint)
	return targetOf(e), found
}

// InDomain implements reach.Endpoints.
func (t targets) InDomain(failureDomain string) []httpconn.Target {
	var list []httpconn.Target
	for _, e := range t.follower.View().Fleet.All() {
		if e.FailureDomain == failureDomain {
			list = append(list, targetOf(e))
		}
	}
	return list
}

// tunnelEnds implements tunnel.Endpoints.
type tunnelEnds struct{ targets }

var _ tunnel.Endpoints = tunnelEnds{}

// Path implements tunnel.Endpoints.
func (t tunnelEnds) Path(target httpconn.Target) reach.Path {
	return t.reach.Path(target.FailureDomain, target.ID)
}

// Isolated implements tunnel.Endpoints.
func (t tunnelEnds) Isolated(target httpconn.Target) bool {
	return t.reach.Isolated(target.FailureDomain, target.ID)
}

// DialDirect implements tunnel.Endpoints.
func (t tunnelEnds) DialDirect(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	return t.dialer.DialDirect(ctx, target)
}
