// Package placement loads and unloads models, adapters and versions on endpoints as configured by
// operators. Only the holder of a failure domain's lease sends orders.
package placement

import (
	"cmp"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
)

// Model identifies a model that an endpoint can hold.
type Model struct {
	Name    string
	Adapter string
	Version string
}

// ModelOf returns the model of a placement.
func ModelOf(p *config.Placement) Model {
	return Model{Name: p.Model, Adapter: p.Adapter, Version: p.Version}
}

// EndpointState is the state of an endpoint, as read from it.
type EndpointState struct {
	Endpoint string
	Address  string
	Service  string
	// ChecksTokens is set if the endpoint rejects orders with an outdated fencing token.
	ChecksTokens bool
	Models       []Model
}

func (o *EndpointState) holds(m Model) bool { return slices.Contains(o.Models, m) }

// Order asks one endpoint to load or unload a model. It names the desired state and is idempotent.
type Order struct {
	Endpoint     string
	Address      string
	ChecksTokens bool
	Model        Model
	// Load is false for an order to unload.
	Load bool
}

// Plan returns the orders that bring the endpoints of a failure domain to the desired state. Loads
// come first, ordered by the fraction of replicas that exist, each on the endpoint with the fewest
// models. Unloads of unwanted models follow; the last endpoint with a wanted model is never told to
// unload it.
func Plan(placements []*config.Placement, endpoints []EndpointState) []Order {
	state := slices.Clone(endpoints)
	for i := range state {
		state[i].Models = slices.Clone(state[i].Models)
	}
	sorted := slices.Clone(placements)
	slices.SortStableFunc(sorted, func(a, b *config.Placement) int {
		return cmp.Compare(coverage(a, state), coverage(b, state))
	})
	var orders []Order
	for _, p := range sorted {
		orders = append(orders, loads(p, state)...)
	}
	return append(orders, unloads(placements, state)...)
}

// coverage returns the fraction of a placement's replicas that exist.
func coverage(p *config.Placement, state []EndpointState) float64 {
	return float64(countHolders(p, state)) / float64(max(p.Replicas, 1))
}

func countHolders(p *config.Placement, state []EndpointState) int {
	n := 0
	for i := range state {
		if state[i].Service == p.Service && state[i].holds(ModelOf(p)) {
			n++
		}
	}
	return n
}

// loads returns the orders for the missing replicas of a placement and applies them to the state.
func loads(p *config.Placement, state []EndpointState) []Order {
	var orders []Order
	for range int(p.Replicas) - countHolders(p, state) {
		target := leastLoaded(p, state)
		if target == nil {
			break
		}
		target.Models = append(target.Models, ModelOf(p))
		orders = append(orders, orderFor(target, ModelOf(p), true))
	}
	return orders
}

// leastLoaded returns the endpoint of the placement's service that holds the fewest models and not
// its own; nil if all hold it.
func leastLoaded(p *config.Placement, state []EndpointState) *EndpointState {
	var best *EndpointState
	for i := range state {
		o := &state[i]
		if o.Service != p.Service || o.holds(ModelOf(p)) {
			continue
		}
		if best == nil || len(o.Models) < len(best.Models) {
			best = o
		}
	}
	return best
}

// unloads returns the orders to unload unwanted models and surplus replicas on services that have
// placements.
func unloads(placements []*config.Placement, state []EndpointState) []Order {
	var orders []Order
	for i := range state {
		o := &state[i]
		for _, m := range slices.Clone(o.Models) {
			if !isSurplus(placements, state, o, m) {
				continue
			}
			o.Models = slices.DeleteFunc(o.Models, func(held Model) bool { return held == m })
			orders = append(orders, orderFor(o, m, false))
		}
	}
	return orders
}

func isSurplus(placements []*config.Placement, state []EndpointState, o *EndpointState, m Model) bool {
	managed := false
	for _, p := range placements {
		if p.Service != o.Service {
			continue
		}
		managed = true
		if ModelOf(p) == m {
			return countHolders(p, state) > int(p.Replicas)
		}
	}
	return managed
}

func orderFor(o *EndpointState, m Model, load bool) Order {
	return Order{Endpoint: o.Endpoint, Address: o.Address, ChecksTokens: o.ChecksTokens, Model: m, Load: load}
}
