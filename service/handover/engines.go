package handover

import (
	"context"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// EngineObserver holds what this instance has observed of engines.
type EngineObserver interface {
	// Observations returns what was observed since the last call for the same planner.
	Observations(planner string) []balance.Observation
	// LearnEngines applies the views of a planner.
	LearnEngines(views []balance.EngineView)
}

var _ EngineObserver = (*balance.Balancer)(nil)

// engineExchange exchanges observations of engines with the planners of plans that offer engines.
type engineExchange struct {
	// observer may be nil.
	observer EngineObserver
	known    func(endpoint string) bool
}

// observations returns what is to be reported with a plan to a planner.
func (x *engineExchange) observations(planner string, plan *pipeline.Plan) []balance.Observation {
	if x.observer == nil || len(plan.Readers) == 0 {
		return nil
	}
	return x.observer.Observations(planner)
}

// learn applies the views of the planner of a plan. Views of endpoints that were not offered are
// dropped.
func (x *engineExchange) learn(plan *pipeline.Plan, views []balance.EngineView) {
	if x.observer == nil || len(views) == 0 {
		return
	}
	offered := func(v balance.EngineView) bool {
		return slices.ContainsFunc(plan.Readers, func(r pipeline.Reader) bool { return r.Endpoint == v.Endpoint })
	}
	x.observer.LearnEngines(slices.DeleteFunc(views, func(v balance.EngineView) bool { return !offered(v) }))
}

// runHere runs a plan of this instance with the local planner.
func (r *Router) runHere(ctx context.Context, part pipeline.Part, plan pipeline.Plan) pipeline.Outcome {
	r.planner.Observe(r.engines.observations(r.owners.self.PeerAddress, &plan), r.engines.known)
	outcome := r.planner.Run(ctx, part, plan)
	r.engines.learn(&plan, r.planner.Engines(plan.Readers))
	return outcome
}
