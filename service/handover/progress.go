package handover

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// progress has what was made of the plans that this instance has handed over, so that they go on
// from there if their planner fails. Safe for concurrent use.
type progress struct {
	mu   sync.Mutex
	made map[string][][]batch.Result
}

func newProgress() *progress { return &progress{made: map[string][][]batch.Result{}} }

// begin notes a call that hands a plan over.
func (p *progress) begin(call string, plan *pipeline.Plan) {
	made := make([][]batch.Result, len(plan.Stages))
	copy(made, plan.Completed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made[call] = made
}

// end forgets a call, and returns what was made of its plan.
func (p *progress) end(call string) [][]batch.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	made := p.made[call]
	delete(p.made, call)
	return made
}

// stageMade notes the results of a stage. One that comes when its call has ended says nothing new.
func (p *progress) stageMade(call string, stage int, results []batch.Result) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	made, known := p.made[call]
	if !known {
		return nil
	}
	if stage < 0 || stage >= len(made) {
		return problem.New(problem.Invalid, "run one version of the program", "a plan of %d stages has no stage %d", len(made), stage)
	}
	made[stage] = results
	return nil
}

// tellProgress returns what tells the instance at an address of the stages that are made of the
// plan that it handed over with a call. It is told beside the plan's work, and may be lost: then
// the stage is made again.
func (r *Router) tellProgress(address, call string) func(stage int, results []batch.Result) {
	if address == "" {
		return nil
	}
	return func(stage int, results []batch.Result) {
		told := withTimesLeft([][]batch.Result{results}, r.clock.Now())[0]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			err := r.client.Notify(ctx, address, api.MethodProgress, api.Progress{Call: call, Stage: stage, Results: told})
			if err != nil {
				r.log.WithFields(logrus.Fields{"event": "progress_not_told", "to": address, "call": call}).Debug(err)
			}
		}()
	}
}
