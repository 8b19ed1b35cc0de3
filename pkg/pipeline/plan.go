// Package pipeline plans and executes the stages that run before a request. The stages of all
// requests that are assigned to a partition of the endpoints are planned by one instance, which
// therefore knows all work in the partition. It refuses requests that would miss their due time,
// orders pending work by due time, and starts each stage shortly before its results are needed.
package pipeline

import (
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// Stage is one stage of a request.
type Stage struct {
	Service string `json:"service"`
	// After lists the indices of the stages whose results this stage reads. They are lower than its
	// own index.
	After []int `json:"after,omitempty"`
	// Bytes is the approximate size of one result.
	Bytes int64 `json:"bytes"`
	// Pieces is the number of pieces; 0 if the request skips the stage.
	Pieces int `json:"pieces"`
}

// Plan is the stages of one request.
type Plan struct {
	Request string  `json:"request"`
	Stages  []Stage `json:"stages"`
	// Key identifies the input of the stages that read no other stage.
	Key string `json:"key,omitempty"`
	// Due is when the stages must be completed for the request to meet its objective. Deadline is
	// when the request is abandoned; zero means never.
	Due      time.Time `json:"-"`
	Deadline time.Time `json:"-"`
	Priority int       `json:"priority"`
	// Domain is the failure domain where the request will run; empty means any.
	Domain string `json:"domain,omitempty"`
	// Region is the region whose endpoints process the pieces; empty means any, if the partitions
	// are not split by region.
	Region string `json:"region,omitempty"`
	// AllowedDomains lists the failure domains in which the pieces may run; empty means any. A plan with
	// such a limit is executed by the instance that received the request and is not sent to others.
	AllowedDomains []string `json:"-"`
	// Readers lists the endpoints where the request may run; if empty, the planner does not choose
	// one.
	Readers []Reader `json:"readers,omitempty"`
	// Completed holds the results, by stage and piece, that the previous planner of the partition had
	// completed. Pieces without a handle are still to be processed.
	Completed [][]batch.Result `json:"made,omitempty"`
	// Progress, if not nil, is called with the results of each completed stage except the last. It
	// must not block.
	Progress func(stage int, results []batch.Result) `json:"-"`
	// late is set if the plan would be late without any wait. It runs after all plans that can be in
	// time.
	late bool
}

// Outcome is the result of a plan.
type Outcome struct {
	// Results holds the results of the stages that no other stage reads, in order.
	Results []batch.Result `json:"results,omitempty"`
	// Reader is the endpoint chosen from the plan's readers; empty means any.
	Reader string `json:"reader,omitempty"`
	// Planner is the peer address of the instance that planned the stages; empty for this instance.
	Planner string `json:"-"`
	// Reason is why there are no results.
	Reason batch.Reason `json:"reason,omitempty"`
	// Completed holds the completed results of a plan that has moved, as in Plan.
	Completed [][]batch.Result `json:"made,omitempty"`
	// RetryAfter is the retry delay of a refused request; 0 if there is none.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Busy is the reason of a plan that was refused by admission control.
const Busy batch.Reason = "busy"

// Part is a partition of the endpoints. The instance that owns it plans the requests assigned to
// it.
type Part = ownership.Part

// Ledger is a planner's state of a partition, passed to the next planner.
type Ledger struct {
	Pieces batch.Ledger `json:"pieces"`
	// LatenessMs is the allowed lateness in milliseconds, by priority.
	LatenessMs map[int]int64 `json:"lateness_ms,omitempty"`
}

// consumed reports, for each stage, whether another stage reads it.
func (p *Plan) consumed() []bool {
	read := make([]bool, len(p.Stages))
	for _, stage := range p.Stages {
		for _, before := range stage.After {
			read[before] = true
		}
	}
	return read
}

// StageWithoutInput returns the index of a stage whose pieces would read results of others, all of which
// are left out; -1 if there is none.
func (p *Plan) StageWithoutInput() int {
	return slices.IndexFunc(p.Stages, func(s Stage) bool {
		hasPieces := func(before int) bool { return p.Stages[before].Pieces > 0 }
		return s.Pieces > 0 && len(s.After) > 0 && !slices.ContainsFunc(s.After, hasPieces)
	})
}

// remainingStages returns, for each stage, the number of stages with pieces on the longest path
// from it to the end, including itself.
func (p *Plan) remainingStages() []int {
	tails := make([]int, len(p.Stages))
	for i := len(p.Stages) - 1; i >= 0; i-- {
		if p.Stages[i].Pieces > 0 {
			tails[i]++
		}
		for _, before := range p.Stages[i].After {
			tails[before] = max(tails[before], tails[i])
		}
	}
	return tails
}

// dependencies returns, for each stage, the stages that must be completed before it starts. For a
// stage without inputs that would complete long before the others, these are the dependencies of a
// stage at the same distance from the end; otherwise its results would occupy memory while the
// others run. Those are further from the end than the stage itself, so that none waits for itself.
// This holds only for a stage that has pieces: one without stands at the same distance as its reader.
func (p *Plan) dependencies() [][]int {
	tails := p.remainingStages()
	waits := make([][]int, len(p.Stages))
	for i, stage := range p.Stages {
		waits[i] = stage.After
		if len(stage.After) > 0 || stage.Pieces == 0 {
			continue
		}
		for j, other := range p.Stages {
			if j != i && tails[j] == tails[i] && len(other.After) > 0 && other.Pieces > 0 {
				waits[i] = other.After
				break
			}
		}
	}
	return waits
}
