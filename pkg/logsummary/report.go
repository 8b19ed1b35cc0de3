package logsummary

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// tail is the tail latency quantile in reports.
const tail = 0.99

// Write writes the summary as tables, with durations in milliseconds.
func (sum *Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	sum.writeRequests(t)
	sum.writePlans(t)
	sum.writeCalls(t)
	sum.writeSourceCalls(t)
	sum.writeDecisions(t)
	row(t, "\nlines that do not parse:", sum.malformed)
	return t.Flush()
}

func (sum *Summary) writeRequests(w io.Writer) {
	total := map[string]int{}
	for key, s := range sum.requests {
		total[key.route] += s.count()
	}
	row(w, "ROUTE", "OUTCOME", "REQUESTS", "SHARE", "MEDIAN MS", "P99 MS", "")
	keys := slices.SortedFunc(maps.Keys(sum.requests), func(x, y requestKey) int {
		return cmp.Or(cmp.Compare(x.route, y.route), cmp.Compare(x.outcome, y.outcome))
	})
	for _, key := range keys {
		s := sum.requests[key]
		note := ""
		if key.outcome != served {
			note = "not served"
		}
		row(w, key.route, key.outcome, s.count(), share(s.count(), total[key.route]), ms(s.quantile(0.5)), ms(s.quantile(tail)), note)
	}
}

func (sum *Summary) writePlans(w io.Writer) {
	row(w, "\nSTAGES OF A REQUEST", "REQUESTS", "MEDIAN MS", "P99 MS")
	for _, reason := range slices.Sorted(maps.Keys(sum.plans)) {
		s := sum.plans[reason]
		row(w, reason, s.count(), ms(s.quantile(0.5)), ms(s.quantile(tail)))
	}
}

func (sum *Summary) writeCalls(w io.Writer) {
	row(w, "\nCALLS TO", "CALLS", "PIECES A CALL", "MEDIAN MS", "P99 MS", "OVER EXPECTED", "NOT MADE", "WHY NOT")
	for _, service := range slices.Sorted(maps.Keys(sum.calls)) {
		c := sum.calls[service]
		row(w, service, c.took.count(), fmt.Sprintf("%.1f", float64(c.pieces)/float64(c.took.count())),
			ms(c.took.quantile(0.5)), ms(c.took.quantile(tail)), share(int(c.overrun), int(c.expected)), c.notMade, counts(c.reasons))
	}
}

func (sum *Summary) writeSourceCalls(w io.Writer) {
	row(w, "\nSOURCE ASKED FOR", "BY A", "CALLS", "MEDIAN MS", "P99 MS")
	keys := slices.SortedFunc(maps.Keys(sum.sourceCalls), func(x, y sourceKey) int {
		return cmp.Or(cmp.Compare(x.of, y.of), cmp.Compare(x.call, y.call))
	})
	for _, key := range keys {
		s := sum.sourceCalls[key]
		row(w, key.of, key.call, s.count(), ms(s.quantile(0.5)), ms(s.quantile(tail)))
	}
}

func (sum *Summary) writeDecisions(w io.Writer) {
	row(w, "\nCHANGE OF", "CAUSE", "TIMES")
	keys := slices.SortedFunc(maps.Keys(sum.decisions), func(x, y decisionKey) int {
		return cmp.Or(cmp.Compare(x.event, y.event), cmp.Compare(x.cause, y.cause))
	})
	for _, key := range keys {
		row(w, key.event, key.cause, sum.decisions[key].count())
	}
}

// row writes a table row. Write errors are reported by Flush.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// counts formats the number of occurrences of each reason, most frequent first.
func counts(reasons map[string]int) string {
	keys := slices.SortedFunc(maps.Keys(reasons), func(x, y string) int {
		return cmp.Or(cmp.Compare(reasons[y], reasons[x]), cmp.Compare(x, y))
	})
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = fmt.Sprintf("%s %d", key, reasons[key])
	}
	return strings.Join(texts, ", ")
}

func share(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(n)/float64(of))
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
