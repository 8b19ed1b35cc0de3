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
	// Slots is the number of streams that the endpoint runs concurrently; 0 if not known. Slowness
	// is the time of the endpoint relative to others of its service that CostMs and ReadingMs
	// assume; 0 from earlier versions, whose costs are used as they are.
	Slots    int     `json:"slots,omitempty"`
	Slowness float64 `json:"slowness,omitempty"`
}

// transferCostPerByte is the delay accepted to avoid transferring one byte of a result between failure
// domains. It exceeds the time of the transfer, since operators pay for the bytes.
const transferCostPerByte = 250 * time.Nanosecond

// readers tracks the load that the requests of a planner place on the endpoints that read their
// results. It covers the requests of all instances in a partition. It is not safe for concurrent
// use.
type readers struct {
	busyUntil map[string]time.Time
	failures  map[string]failureCount
	engines   engineTable
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
	return readers{busyUntil: map[string]time.Time{}, failures: map[string]failureCount{}, engines: newEngineTable()}
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

// readerCost is the cost of an option.
type readerCost struct {
	endpoint string
	// full reports whether the endpoint has no free slot.
	full bool
	cost time.Duration
}

// before reports whether an option is chosen rather than another one: those with a free slot come
// first.
func (c readerCost) before(other readerCost) bool {
	if c.full != other.full {
		return other.full
	}
	return c.cost < other.cost
}

// choose returns the endpoint with the lowest cost for a request and adds the request to its load;
// empty if there are no options. It also returns the cost of each option.
func (r *readers) choose(now time.Time, request string, options []Reader, results []batch.Result) (string, []readerCost) {
	costs := make([]readerCost, len(options))
	best := -1
	for i := range options {
		costs[i] = r.cost(now, &options[i], results)
		if best < 0 || costs[i].before(costs[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", nil
	}
	chosen := &options[best]
	r.busyUntil[chosen.Endpoint] = now.Add(r.wait(now, chosen) + r.engines.occupation(now, chosen))
	r.engines.place(now, chosen.Endpoint, request)
	return chosen.Endpoint, costs
}

func (r *readers) cost(now time.Time, option *Reader, results []batch.Result) readerCost {
	cost := time.Duration(option.CostMs)*time.Millisecond + r.wait(now, option)
	cost += time.Duration(r.failures[option.Endpoint].decayed(now) * float64(failurePenalty))
	for _, result := range results {
		if result.Domain != option.Domain {
			cost += time.Duration(result.Bytes) * transferCostPerByte
		}
	}
	correction, full := r.engines.correction(now, option, r.wait(now, option))
	return readerCost{endpoint: option.Endpoint, full: full, cost: cost + correction}
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
