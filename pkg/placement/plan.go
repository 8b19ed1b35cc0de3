// Package placement brings the models, adapters and versions that operators want onto
// endpoints, by orders that only the holder of the failure domain's lease gives.
package placement

import (
	"cmp"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
)

// Model is what an endpoint can hold.
type Model struct {
	Name    string
	Adapter string
	Version string
}

// ModelOf returns the model that a placement wants.
func ModelOf(p *config.Placement) Model {
	return Model{Name: p.Model, Adapter: p.Adapter, Version: p.Version}
}

// Observed is what an endpoint holds, as read from it.
type Observed struct {
	Endpoint string
	Address  string
	Service  string
	// ChecksTokens says that the endpoint refuses orders with an old token.
	ChecksTokens bool
	Models       []Model
}

func (o *Observed) holds(m Model) bool { return slices.Contains(o.Models, m) }

// Order asks one endpoint to hold a model, or not to hold it. It names the wanted
// state, and so can be given again without harm.
type Order struct {
	Endpoint     string
	Address      string
	ChecksTokens bool
	Model        Model
	// Load is false for an order to unload.
	Load bool
}

// Plan returns the orders that bring the endpoints of one failure domain to what the
// placements want: loads first, those of the placement that lacks the largest part of
// its replicas before others, each on the endpoint that holds least; then unloads of
// what no placement wants there. An endpoint that is the last to hold a wanted model
// is never told to unload it.
func Plan(placements []*config.Placement, endpoints []Observed) []Order {
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

// coverage is the part of a placement's replicas that exist.
func coverage(p *config.Placement, state []Observed) float64 {
	return float64(holders(p, state)) / float64(max(p.Replicas, 1))
}

func holders(p *config.Placement, state []Observed) int {
	n := 0
	for i := range state {
		if state[i].Service == p.Service && state[i].holds(ModelOf(p)) {
			n++
		}
	}
	return n
}

// loads orders what a placement lacks, and notes it in the state.
func loads(p *config.Placement, state []Observed) []Order {
	var orders []Order
	for range int(p.Replicas) - holders(p, state) {
		target := emptiest(p, state)
		if target == nil {
			break
		}
		target.Models = append(target.Models, ModelOf(p))
		orders = append(orders, orderFor(target, ModelOf(p), true))
	}
	return orders
}

// emptiest returns the endpoint of the placement's service that holds least and not
// its model; nil if all hold it.
func emptiest(p *config.Placement, state []Observed) *Observed {
	var best *Observed
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

// unloads orders away what no placement wants on a service that has placements, and
// what is held more often than wanted.
func unloads(placements []*config.Placement, state []Observed) []Order {
	var orders []Order
	for i := range state {
		o := &state[i]
		for _, m := range slices.Clone(o.Models) {
			if !surplus(placements, state, o, m) {
				continue
			}
			o.Models = slices.DeleteFunc(o.Models, func(held Model) bool { return held == m })
			orders = append(orders, orderFor(o, m, false))
		}
	}
	return orders
}

func surplus(placements []*config.Placement, state []Observed, o *Observed, m Model) bool {
	managed := false
	for _, p := range placements {
		if p.Service != o.Service {
			continue
		}
		managed = true
		if ModelOf(p) == m {
			return holders(p, state) > int(p.Replicas)
		}
	}
	return managed
}

func orderFor(o *Observed, m Model, load bool) Order {
	return Order{Endpoint: o.Endpoint, Address: o.Address, ChecksTokens: o.ChecksTokens, Model: m, Load: load}
}
