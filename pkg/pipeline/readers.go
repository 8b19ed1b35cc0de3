package pipeline

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// Reader is an endpoint where a request may run, which reads the results of its stages.
type Reader struct {
	Endpoint string `json:"endpoint"`
	Domain   string `json:"domain"`
	// CostMs is the expected time to the first event there, in milliseconds, as the
	// request's instance sees it; ReadingMs the part of it that the endpoint reads.
	CostMs    int64 `json:"cost_ms"`
	ReadingMs int64 `json:"reading_ms"`
}

// byteCost is the time that moving a byte of a result to another failure domain is taken
// to cost.
const byteCost = 40 * time.Nanosecond

// readers is what the requests of a planner, which are those of all instances in a part,
// have their endpoints read. An instance alone sees a few of them only. Not safe for
// concurrent use.
type readers struct {
	busyUntil map[string]time.Time
	failures  map[string]failures
}

// failures are those of one endpoint, as requests' instances told of them: a number that
// halves in each failureHalfLife.
type failures struct {
	number float64
	at     time.Time
}

const (
	failureHalfLife = 2 * time.Second
	// failureCost is what each failure speaks against an endpoint.
	failureCost = 300 * time.Millisecond
	// fewFailures is the number below which failures are forgotten.
	fewFailures = 0.05
)

// left is what is left of the failures at a time.
func (f failures) left(now time.Time) float64 {
	return f.number * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

func newReaders() readers {
	return readers{busyUntil: map[string]time.Time{}, failures: map[string]failures{}}
}

// failed notes that a request failed at an endpoint.
func (r *readers) failed(now time.Time, endpoint string) {
	r.failures[endpoint] = failures{number: r.failures[endpoint].left(now) + 1, at: now}
	for other, f := range r.failures {
		if f.left(now) < fewFailures {
			delete(r.failures, other)
		}
	}
}

// choose returns the endpoint with the least cost for a request that reads results, and
// counts its reading in; empty if there is no choice.
func (r *readers) choose(now time.Time, options []Reader, results []batch.Result) string {
	var best *Reader
	var least time.Duration
	for i := range options {
		cost := r.cost(now, &options[i], results)
		if best == nil || cost < least {
			best, least = &options[i], cost
		}
	}
	if best == nil {
		return ""
	}
	r.busyUntil[best.Endpoint] = now.Add(r.wait(now, best) + time.Duration(best.ReadingMs)*time.Millisecond)
	return best.Endpoint
}

func (r *readers) cost(now time.Time, option *Reader, results []batch.Result) time.Duration {
	cost := time.Duration(option.CostMs)*time.Millisecond + r.wait(now, option)
	cost += time.Duration(r.failures[option.Endpoint].left(now) * float64(failureCost))
	for _, result := range results {
		if result.Domain != option.Domain {
			cost += time.Duration(result.Bytes) * byteCost
		}
	}
	return cost
}

// wait is how long an endpoint still reads for others.
func (r *readers) wait(now time.Time, option *Reader) time.Duration {
	until, ok := r.busyUntil[option.Endpoint]
	if !ok {
		return 0
	}
	if !until.After(now) {
		delete(r.busyUntil, option.Endpoint)
		return 0
	}
	return until.Sub(now)
}
