package pipeline

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
)

// Reader is an endpoint where a request may run and read the results of its stages.
type Reader struct {
	Endpoint string `json:"endpoint"`
	Domain   string `json:"domain"`
	// CostMs is the expected time to the first event in milliseconds, as estimated by the instance
	// of the request. ReadingMs is the part of it during which the endpoint is occupied with
	// reading.
	CostMs    int64 `json:"cost_ms"`
	ReadingMs int64 `json:"reading_ms"`
}

// transferCostPerByte is the assumed time to transfer one byte of a result between failure domains.
const transferCostPerByte = 40 * time.Nanosecond

// readers tracks the load that the requests of a planner place on the endpoints that read their
// results. It covers the requests of all instances in a partition. It is not safe for concurrent
// use.
type readers struct {
	busyUntil map[string]time.Time
	failures  map[string]failureCount
}

// failureCount is the number of failures reported for an endpoint, with a half-life of
// failureHalfLife.
type failureCount struct {
	count float64
	at    time.Time
}

const (
	failureHalfLife = 2 * time.Second
	// failurePenalty is the cost added for each failure.
	failurePenalty = 300 * time.Millisecond
	// minFailureCount is the count below which an entry is removed.
	minFailureCount = 0.05
)

// decayed returns the count at a time.
func (f failureCount) decayed(now time.Time) float64 {
	return f.count * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

func newReaders() readers {
	return readers{busyUntil: map[string]time.Time{}, failures: map[string]failureCount{}}
}

// recordFailure records that a request failed at an endpoint.
func (r *readers) recordFailure(now time.Time, endpoint string) {
	r.failures[endpoint] = failureCount{count: r.failures[endpoint].decayed(now) + 1, at: now}
	for other, f := range r.failures {
		if f.decayed(now) < minFailureCount {
			delete(r.failures, other)
		}
	}
}

// choose returns the endpoint with the lowest cost for a request and adds the request to its load;
// empty if there are no options.
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
	cost += time.Duration(r.failures[option.Endpoint].decayed(now) * float64(failurePenalty))
	for _, result := range results {
		if result.Domain != option.Domain {
			cost += time.Duration(result.Bytes) * transferCostPerByte
		}
	}
	return cost
}

// wait returns how long an endpoint is occupied by other requests.
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
