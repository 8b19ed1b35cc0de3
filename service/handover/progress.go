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

// progress keeps the stage results reported for plans that were handed over, so that they can be
// resumed if their planner fails. Safe for concurrent use.
type progress struct {
	mu   sync.Mutex
	made map[string][][]batch.Result
}

func newProgress() *progress { return &progress{made: map[string][][]batch.Result{}} }

// begin starts to track a call that hands over a plan.
func (p *progress) begin(call string, plan *pipeline.Plan) {
	made := make([][]batch.Result, len(plan.Stages))
	copy(made, plan.Completed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made[call] = made
}

// end stops tracking a call and returns the results of its plan.
func (p *progress) end(call string) [][]batch.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	made := p.made[call]
	delete(p.made, call)
	return made
}

// stageCompleted records the results of a stage. Reports for calls that have ended are ignored.
func (p *progress) stageCompleted(call string, stage int, results []batch.Result) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	made, known := p.made[call]
	if !known {
		return nil
	}
	if stage < 0 || stage >= len(made) {
		return problem.New(problem.Invalid, "run one version of the program", "progress report for a plan of %d stages: no stage %d", len(made), stage)
	}
	made[stage] = results
	return nil
}

// progressReporter returns a function that reports completed stages to the instance that handed
// over a plan. Reports are sent in the background and may be lost; a stage whose report is lost may
// run again.
func (r *Router) progressReporter(address, call string) func(stage int, results []batch.Result) {
	if address == "" {
		return nil
	}
	return func(stage int, results []batch.Result) {
		sent := withRemainingTimes([][]batch.Result{results}, r.clock.Now())[0]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			err := r.client.Notify(ctx, address, api.MethodProgress, api.Progress{Call: call, Stage: stage, Results: sent})
			if err != nil {
				r.log.WithFields(logrus.Fields{"event": "progress_not_told", "to": address, "call": call}).Debug(err)
			}
		}()
	}
}
