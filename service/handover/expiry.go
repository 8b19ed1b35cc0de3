package handover

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// withRemainingTimes prepares results for another instance: since clocks differ, expiry times are
// sent as remaining durations.
func withRemainingTimes(stages [][]batch.Result, now time.Time) [][]batch.Result {
	return mapResults(stages, func(r *batch.Result) { r.LeftMs = r.Until.Sub(now).Milliseconds() })
}

// withExpiryTimes restores the expiry times of results received from another instance.
func withExpiryTimes(stages [][]batch.Result, now time.Time) [][]batch.Result {
	return mapResults(stages, func(r *batch.Result) { r.Until = now.Add(time.Duration(r.LeftMs) * time.Millisecond) })
}

// mapResults returns a deep copy of results, with change applied to each result that has a handle.
func mapResults(stages [][]batch.Result, change func(*batch.Result)) [][]batch.Result {
	if stages == nil {
		return nil
	}
	copies := make([][]batch.Result, len(stages))
	for i, results := range stages {
		copies[i] = append([]batch.Result(nil), results...)
		for n := range copies[i] {
			if copies[i][n].Handle != "" {
				change(&copies[i][n])
			}
		}
	}
	return copies
}
