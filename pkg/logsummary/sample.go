package logsummary

import (
	"slices"
	"time"
)

// sample is a set of durations.
type sample struct{ times []time.Duration }

func (s *sample) add(d time.Duration) { s.times = append(s.times, d) }

func (s *sample) count() int { return len(s.times) }

// quantile returns the q-quantile; 0 if the sample is empty.
func (s *sample) quantile(q float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
