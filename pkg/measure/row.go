package measure

import (
	"fmt"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
)

// Row is what one replay gave.
type Row struct {
	Fleet, Trace, Policy string
	// Offered requests; those Answered whole and in time, NotRun and Unknown. The
	// others failed or were late.
	Offered, Answered, NotRun, Unknown int
	// Cost by stage kind, in endpoint-seconds per whole answer.
	Cost map[config.StageKind]float64
	// Wasted endpoint-seconds: spent on what was not answered in time, and on
	// attempts whose answer was not used.
	Wasted float64
	// Spent endpoint-seconds in all.
	Spent float64
	// OthersAttainment is the attainment of all organisations but the first, which
	// floods in the trace of that name.
	OthersAttainment float64
}

// Attainment is the share of requests answered whole and in time.
func (r Row) Attainment() float64 { return share(r.Answered, r.Offered) }

func share(part, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}

// String gives the row as one line of key=value pairs.
func (r Row) String() string {
	return fmt.Sprintf("measure fleet=%s trace=%s policy=%s offered=%d answered=%d not_run=%d unknown=%d attainment=%.4f cost_encoding=%.4f cost_retrieval=%.4f cost_reranking=%.4f cost_generation=%.4f wasted=%.3f",
		r.Fleet, r.Trace, r.Policy, r.Offered, r.Answered, r.NotRun, r.Unknown, r.Attainment(),
		r.Cost[config.Encoding], r.Cost[config.Retrieval], r.Cost[config.Reranking], r.Cost[config.Generation], r.Wasted)
}

// count makes the row of a replay.
func count(fleet trace.Fleet, name, policy string, all []*sent, runs []standin.Run) Row {
	row := Row{Fleet: fleet.Name, Trace: name, Policy: policy, Offered: len(all), Cost: map[config.StageKind]float64{}}
	inTime := map[string]bool{}
	others, othersInTime := 0, 0
	for _, s := range all {
		answered := s.outcome == "answered" && !s.late
		inTime[s.id] = answered
		row.countOutcome(s, answered)
		if s.request.Organisation != fleet.Organisations[0].Name {
			others++
			if answered {
				othersInTime++
			}
		}
	}
	row.OthersAttainment = share(othersInTime, others)
	row.countRuns(fleet, inTime, runs)
	return row
}

func (r *Row) countOutcome(s *sent, answered bool) {
	switch {
	case answered:
		r.Answered++
	case s.outcome == "not_run":
		r.NotRun++
	case s.outcome == "unknown":
		r.Unknown++
	}
}

func (r *Row) countRuns(fleet trace.Fleet, inTime map[string]bool, runs []standin.Run) {
	kinds := map[string]config.StageKind{}
	for _, s := range fleet.Services {
		kinds[s.Name] = s.Kind
	}
	used := map[string]bool{}
	for _, run := range runs {
		spent := run.Ms / 1000
		r.Spent += spent
		r.Cost[kinds[run.Service]] += spent
		step := run.Request + "/" + run.Stage
		if inTime[run.Request] && run.Whole && !used[step] {
			used[step] = true
			continue
		}
		r.Wasted += spent
	}
	for kind := range r.Cost {
		r.Cost[kind] /= float64(max(r.Answered, 1))
	}
}
