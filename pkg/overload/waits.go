package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulerLatencies is the runtime's histogram of the times that goroutines were ready to run before they
// ran, in seconds.
const schedulerLatencies = "/sched/latencies:seconds"

// SchedulerWaits measures how long goroutines wait for a processor. On a machine that gives the process less
// processor time than it needs, it is the first thing that grows.
type SchedulerWaits struct {
	sample []metrics.Sample
	counts []uint64
}

// NewSchedulerWaits returns a measurement that begins now.
func NewSchedulerWaits() *SchedulerWaits {
	w := &SchedulerWaits{sample: []metrics.Sample{{Name: schedulerLatencies}}}
	w.Mean()
	return w
}

// Mean implements Waits.
func (w *SchedulerWaits) Mean() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := w.sample[0].Value.Float64Histogram()
	if w.counts == nil {
		w.counts = make([]uint64, len(histogram.Counts))
	}
	var seconds float64
	var count uint64
	for i, n := range histogram.Counts {
		since := n - w.counts[i]
		w.counts[i] = n
		count += since
		seconds += float64(since) * lowerBound(histogram.Buckets, i)
	}
	if count == 0 {
		return 0
	}
	return time.Duration(seconds / float64(count) * float64(time.Second))
}

// lowerBound returns the lower bound of a bucket in seconds. The first one is unbounded.
func lowerBound(buckets []float64, i int) float64 {
	if math.IsInf(buckets[i], -1) {
		return 0
	}
	return buckets[i]
}
