package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// Release gives a part up: plans that wait end as moved, with what was made of them, as soon as
// their calls under way have ended. It returns what is known of the part.
func (p *Planner) Release(part Part) Ledger {
	ledger := Ledger{Pieces: p.pieces.Release(part.Number, part.Of)}
	p.mu.Lock()
	defer p.mu.Unlock()
	ledger.LatenessMs = map[int]int64{}
	for priority, l := range p.lateness {
		ledger.LatenessMs[priority] = l.allowed.Milliseconds()
	}
	return ledger
}

// Take takes a part over with what its planner before knew.
func (p *Planner) Take(part Part, ledger Ledger) {
	if planned := p.pieces.Take(part.Number, part.Of, ledger.Pieces); planned {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for priority, told := range ledger.LatenessMs {
		l := p.latenessLocked(priority)
		l.allowed = min(maxLateness, max(minLateness, time.Duration(told)*time.Millisecond))
	}
}

// Split returns what a ledger tells by the parts that its endpoints fall to when they are cut into
// so many.
func (p *Planner) Split(ledger Ledger, parts int) map[Part]Ledger {
	split := map[Part]Ledger{}
	for number, pieces := range p.pieces.Split(ledger.Pieces, parts) {
		split[Part{Number: number, Of: parts}] = Ledger{Pieces: pieces, LatenessMs: ledger.LatenessMs}
	}
	return split
}

// Resume takes a part over of which nothing is known.
func (p *Planner) Resume(part Part) { p.pieces.Resume(part.Number, part.Of) }

// inspect has the endpoints of a plan's stages asked what they do, if that is not known.
func (p *Planner) inspect(ctx context.Context, part Part, plan *Plan) {
	var queues []batch.Queue
	for _, stage := range plan.Stages {
		queue := queueOf(part, stage.Service)
		if stage.Pieces > 0 && !slices.Contains(queues, queue) {
			queues = append(queues, queue)
		}
	}
	p.pieces.Inspect(ctx, queues)
}

// dropMalformed leaves out what a peer says was made if it does not fit the plan.
func (p *Plan) dropMalformed() {
	if len(p.Made) != len(p.Stages) {
		p.Made = nil
		return
	}
	for i, made := range p.Made {
		if len(made) != p.Stages[i].Pieces {
			p.Made[i] = nil
		}
	}
}

// begun tells whether anything of the plan was made.
func (p *Plan) begun() bool {
	for _, made := range p.Made {
		if slices.ContainsFunc(made, func(r batch.Result) bool { return r.Handle != "" }) {
			return true
		}
	}
	return false
}

// missing returns, for each stage, the indices of the pieces that are still to be made. A stage
// that was made for others, which have read it, needs nothing, though its results are gone.
func (p *Plan) missing() [][]int {
	missing := make([][]int, len(p.Stages))
	read := make([]bool, len(p.Stages))
	awaited := make([]bool, len(p.Stages))
	for i := len(p.Stages) - 1; i >= 0; i-- {
		stage := &p.Stages[i]
		if !read[i] || awaited[i] {
			missing[i] = p.notMade(i)
		}
		for _, before := range stage.After {
			read[before] = read[before] || stage.Pieces > 0
			awaited[before] = awaited[before] || len(missing[i]) > 0
		}
	}
	return missing
}

// notMade returns the indices of the pieces of a stage of which no result is known.
func (p *Plan) notMade(stage int) []int {
	var indices []int
	for n := range p.Stages[stage].Pieces {
		if p.Made == nil || p.Made[stage] == nil || p.Made[stage][n].Handle == "" {
			indices = append(indices, n)
		}
	}
	return indices
}
