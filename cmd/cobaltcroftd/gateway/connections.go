package gateway

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/overload"
)

// assumedInstances is the number of instances that one assumes which may not know the others yet.
const assumedInstances = 8

// countConnecting counts the instances that share the connections to endpoints. One that leaves keeps its
// connections until it is gone.
func (g *Gateway) countConnecting() {
	n := g.instances() + len(g.group.Leaving())
	if g.clock.Since(g.started) < suspectAfter {
		n = max(n, assumedInstances)
	}
	g.connecting.Store(int64(n))
}

// maxConnections returns this instance's share of the connections to an endpoint; 0 if there is no limit. The
// shares add up to what the endpoint takes, unless it takes fewer connections than there are instances. The
// endpoints of stages are called by the owner of their part alone, which may use all.
func (g *Gateway) maxConnections(target httpconn.Target) int {
	view := g.follower.View()
	e, known := view.Fleet.Endpoint(target.ID)
	if !known || view.Table == nil {
		return 0
	}
	service := view.Table.Service(e.Service)
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	if service.Batching != nil {
		return service.MaxConnections
	}
	sharers := g.connecting.Load()
	if sharers == 0 {
		sharers = assumedInstances
	}
	return max(1, service.MaxConnections/int(sharers))
}

// newOverload returns the judgement of whether this instance has more work than it can carry.
func (g *Gateway) newOverload() *overload.Monitor {
	return overload.NewMonitor(overload.Options{
		MaxWait:    g.settings.MaxProcessorWait(),
		Processors: g.settings.Machine.Cores(),
		Waits:      overload.NewSchedulerWaits(),
		Clock:      g.clock,
		Metrics:    g.metrics,
		Log:        g.logs.For("overload"),
	})
}
