// Package pipeline has the stages of requests made, before the requests themselves run.
// One planner, at one instance, makes the stages of all instances' requests in one part
// of the endpoints, so that it sees all work that is under way there: it refuses at once
// what would not be done in time, orders what waits by the time that is left, and starts
// each stage when its results will be read soon.
package pipeline

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
)

// Stage is the work of one request in one stage.
type Stage struct {
	Service string `json:"service"`
	// After names the stages, by index, whose results this one reads; they come before it.
	After []int `json:"after,omitempty"`
	// Bytes is the approximate size of one result.
	Bytes int64 `json:"bytes"`
	// Pieces is how many there are; 0: the request leaves the stage out.
	Pieces int `json:"pieces"`
}

// Plan is the stages of one request.
type Plan struct {
	Request string  `json:"request"`
	Stages  []Stage `json:"stages"`
	// Key is what the pieces of stages that read no others are made of.
	Key string `json:"key,omitempty"`
	// Due is when the stages have to be done for the request to be in time. Deadline
	// is when the request is given up.
	Due      time.Time `json:"-"`
	Deadline time.Time `json:"-"`
	Priority int       `json:"priority"`
	// Domain is the failure domain where the request will run; empty: any.
	Domain string `json:"domain,omitempty"`
	// Region is the one whose endpoints make its pieces; empty: any, if parts are not cut by region.
	Region string `json:"region,omitempty"`
	// Within are the failure domains where its pieces may be made; none: any. A plan that has some is made by
	// the instance that has the request, and told to no other.
	Within []string `json:"-"`
	// Readers are endpoints where the request may run; none: the planner does not choose.
	Readers []Reader `json:"readers,omitempty"`
	// Made has, by stage and piece, the results that another planner had made before the part
	// moved. Those without a handle are still to be made.
	Made [][]batch.Result `json:"made,omitempty"`
	// Progress is called with the results of each stage that is made while others are not; nil:
	// nobody wants to know. It must not block.
	Progress func(stage int, results []batch.Result) `json:"-"`
}

// Outcome is what came of a plan.
type Outcome struct {
	// Results are those of the stages that no other stage reads, in order.
	Results []batch.Result `json:"results,omitempty"`
	// Reader is the endpoint, of the plan's, where the request best runs; empty: any.
	Reader string `json:"reader,omitempty"`
	// Planner is the peer address of the instance whose planner it was; empty: this one's.
	Planner string `json:"-"`
	// Reason says why there are none.
	Reason batch.Reason `json:"reason,omitempty"`
	// Made has what was made of a plan that moved, as the plan's Made.
	Made [][]batch.Result `json:"made,omitempty"`
	// RetryAfter is when a request that was refused may come back; 0: not told.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Busy is the reason of a plan that was refused before anything was made.
const Busy batch.Reason = "busy"

// Part is one of the equal parts into which the endpoints are cut. The planner of its owner
// makes the stages of the requests that fall to it.
type Part = ownership.Part

// Ledger is what one planner knows of a part, for the next one.
type Ledger struct {
	Pieces batch.Ledger `json:"pieces"`
	// LatenessMs is by how much most plans lasted longer than forecast, in milliseconds, by their
	// priority.
	LatenessMs map[int]int64 `json:"lateness_ms,omitempty"`
}

// read tells which stages some other stage reads.
func (p *Plan) read() []bool {
	read := make([]bool, len(p.Stages))
	for _, stage := range p.Stages {
		for _, before := range stage.After {
			read[before] = true
		}
	}
	return read
}

// tails returns, for each stage, how many stages with pieces the longest way from it to
// the end has, itself included.
func (p *Plan) tails() []int {
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

// waits returns, for each stage, the stages that have to be done before it starts: those
// that it reads, and for a stage that reads none and would be done long before the others,
// those that the stages of the longest way with the same tail read. Its results would only
// take room while the others are made.
func (p *Plan) waits() [][]int {
	tails := p.tails()
	waits := make([][]int, len(p.Stages))
	for i, stage := range p.Stages {
		waits[i] = stage.After
		if len(stage.After) > 0 {
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
