package handover

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// withTimesLeft returns results of stages as they go to another instance, whose clock differs.
func withTimesLeft(stages [][]batch.Result, now time.Time) [][]batch.Result {
	return eachResult(stages, func(r *batch.Result) { r.LeftMs = r.Until.Sub(now).Milliseconds() })
}

// withTimes returns results of stages as they came from another instance.
func withTimes(stages [][]batch.Result, now time.Time) [][]batch.Result {
	return eachResult(stages, func(r *batch.Result) { r.Until = now.Add(time.Duration(r.LeftMs) * time.Millisecond) })
}

// eachResult returns copies of results, changed where there is one.
func eachResult(stages [][]batch.Result, change func(*batch.Result)) [][]batch.Result {
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
