package account

import (
	"slices"
	"time"
)

// sample is some times.
type sample struct{ times []time.Duration }

func (s *sample) add(d time.Duration) { s.times = append(s.times, d) }

func (s *sample) count() int { return len(s.times) }

// quantile is the time that a part of all keep to; 0 of none.
func (s *sample) quantile(part float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
