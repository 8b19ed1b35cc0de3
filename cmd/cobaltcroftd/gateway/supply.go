package gateway

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// cachedSupply is the supply computed for a view.
type cachedSupply struct {
	fleet  *fleet.Snapshot
	table  *route.Table
	supply ownership.EndpointCounts
}

// supply returns the endpoint count of the batching service that has the fewest. It is cached per
// view because every plan needs it.
func (g *Gateway) supply() ownership.EndpointCounts {
	view := g.follower.View()
	if last := g.supplyCache.Load(); last != nil && last.fleet == view.Fleet && last.table == view.Table {
		return last.supply
	}
	supply := countSupply(view, g.regions)
	g.supplyCache.Store(&cachedSupply{fleet: view.Fleet, table: view.Table, supply: supply})
	return supply
}

func countSupply(view *discovery.View, regions ownership.Regions) ownership.EndpointCounts {
	supply := ownership.EndpointCounts{ByRegion: map[string]int{}}
	if view.Table == nil {
		return supply
	}
	for _, region := range regions.Names() {
		supply.ByRegion[region] = 0
	}
	first := true
	for name, service := range view.Table.Services() {
		ready := view.Fleet.Ready(name)
		if service.Batching == nil || len(ready) == 0 {
			continue
		}
		inside := map[string]int{}
		for _, e := range ready {
			inside[regions.OfDomain(e.FailureDomain)]++
		}
		for region, n := range supply.ByRegion {
			if first || inside[region] < n {
				supply.ByRegion[region] = inside[region]
			}
		}
		if first || len(ready) < supply.Total {
			supply.Total = len(ready)
		}
		first = false
	}
	return supply
}
