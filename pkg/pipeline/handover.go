package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// Release gives up a partition: pending plans end as moved, with their completed results, when
// their running calls have ended. It returns the state of the partition.
func (p *Planner) Release(part Part) Ledger {
	ledger := Ledger{Pieces: p.batcher.Release(part.Number, part.Of)}
	p.mu.Lock()
	defer p.mu.Unlock()
	ledger.LatenessMs = map[int]int64{}
	for priority, l := range p.lateness {
		ledger.LatenessMs[priority] = l.allowed.Milliseconds()
	}
	return ledger
}

// Acquire takes over a partition with the state of its previous planner.
func (p *Planner) Acquire(part Part, ledger Ledger) {
	if planned := p.batcher.Acquire(part.Number, part.Of, ledger.Pieces); planned {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for priority, told := range ledger.LatenessMs {
		l := p.latenessLocked(priority)
		l.allowed = min(maxLateness, max(minLateness, time.Duration(told)*time.Millisecond))
	}
}

// Split divides a ledger by the partitions of a new number of partitions.
func (p *Planner) Split(ledger Ledger, parts int) map[Part]Ledger {
	split := map[Part]Ledger{}
	for number, pieces := range p.batcher.Split(ledger.Pieces, parts) {
		split[Part{Number: number, Of: parts}] = Ledger{Pieces: pieces, LatenessMs: ledger.LatenessMs}
	}
	return split
}

// Resume takes over a partition without previous state.
func (p *Planner) Resume(part Part) { p.batcher.Resume(part.Number, part.Of) }

// inspect queries the endpoints of a plan's stages if their state is not known.
func (p *Planner) inspect(ctx context.Context, part Part, plan *Plan) {
	p.batcher.Inspect(ctx, plan.queues(part))
}

// queues returns the queues of the stages that have pieces.
func (p *Plan) queues(part Part) []batch.Queue {
	var queues []batch.Queue
	for _, stage := range p.Stages {
		queue := queueOf(part, stage.Service)
		if stage.Pieces > 0 && !slices.Contains(queues, queue) {
			queues = append(queues, queue)
		}
	}
	return queues
}

// dropMalformed drops results received from a peer that do not match the plan.
func (p *Plan) dropMalformed() {
	if len(p.Completed) != len(p.Stages) {
		p.Completed = nil
		return
	}
	for i, made := range p.Completed {
		if len(made) != p.Stages[i].Pieces {
			p.Completed[i] = nil
		}
	}
}

// started reports whether any piece of the plan is completed.
func (p *Plan) started() bool {
	for _, made := range p.Completed {
		if slices.ContainsFunc(made, func(r batch.Result) bool { return r.Handle != "" }) {
			return true
		}
	}
	return false
}

// missing returns, for each stage, the indices of the pieces to be processed. A stage whose readers
// are all completed needs none, even if its results are gone.
func (p *Plan) missing() [][]int {
	missing := make([][]int, len(p.Stages))
	read := make([]bool, len(p.Stages))
	needed := make([]bool, len(p.Stages))
	for i := len(p.Stages) - 1; i >= 0; i-- {
		stage := &p.Stages[i]
		if !read[i] || needed[i] {
			missing[i] = p.notMade(i)
		}
		for _, before := range stage.After {
			read[before] = read[before] || stage.Pieces > 0
			needed[before] = needed[before] || len(missing[i]) > 0
		}
	}
	return missing
}

// notMade returns the indices of the pieces of a stage without a known result.
func (p *Plan) notMade(stage int) []int {
	var indices []int
	for n := range p.Stages[stage].Pieces {
		if p.Completed == nil || p.Completed[stage] == nil || p.Completed[stage][n].Handle == "" {
			indices = append(indices, n)
		}
	}
	return indices
}
