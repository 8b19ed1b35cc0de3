package batch

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// slownessWeight is the weight of a new sample in a worker's slowness.
	slownessWeight = 0.4
	// slownessHalfLife is the half-life with which slowness decays to 1.
	slownessHalfLife = 3 * time.Second
	// minFailureBackoff and maxFailureBackoff bound the back-off after failed calls.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// minFullBackoff is the back-off after a memory shortage and the first one after a rejected
	// call. It doubles with each consecutive rejection, up to maxFullBackoff.
	minFullBackoff = 30 * time.Millisecond
	maxFullBackoff = 240 * time.Millisecond
	// marginStep is the increase of the margin after each memory shortage. marginDecay is the
	// factor applied after each successful call.
	marginStep  = 0.04
	marginDecay = 0.95
	maxMargin   = 0.4
	// sharedThreshold is the ratio to the expected duration above which a call must have waited for
	// other calls.
	sharedThreshold = 1.4
)

// worker is the scheduling state of one endpoint.
type worker struct {
	endpoint fleet.Endpoint
	// running is the number of calls in flight.
	running int
	// busyUntil is the expected end of the calls in flight.
	busyUntil time.Time
	// external is the calls of another planner in flight.
	external externalCalls
	// slowness is the moving average of call durations relative to the configured time, as of
	// slownessTime. It decays so that a slow worker is eventually called again.
	slowness     float64
	slownessTime time.Time
	// lastSuccess is when a call of this planner last succeeded.
	lastSuccess time.Time
	// backoffUntil is the end of the current back-off, backoff the length of the last one.
	backoffUntil time.Time
	backoff      time.Duration
	// needsProbe is set after a failed call until a probe succeeds. probing is set during a probe.
	needsProbe bool
	probing    bool
	// held is the stored results, and reserved the memory reserved for calls in flight.
	held     map[string]heldResult
	reserved int64
	// externalBytes is the memory taken by results that this planner does not track, as of
	// externalBytesAt. They expire within the retention time.
	externalBytes   int64
	externalBytesAt time.Time
	// margin is the fraction of the memory left free because results exceed their declared size.
	margin float64
	// shared is set if the duration of the last call shows that it waited for a call of another
	// instance or for one that had timed out.
	shared bool
	// unanswered is set until the first call has been answered.
	unanswered bool
	// idleSince is when the last call in flight ended.
	idleSince time.Time
}

type heldResult struct {
	bytes int64
	until time.Time
}

// newWorker returns a worker for an endpoint that may have calls of other instances in flight.
func newWorker(e fleet.Endpoint) *worker {
	return &worker{endpoint: e, slowness: 1, unanswered: true, held: map[string]heldResult{}}
}

// freeBytes returns the memory available for results.
func (w *worker) freeBytes(now time.Time, batching *route.Batching) int64 {
	used := w.reserved + w.external.reserved(now) + w.heldBytes(now) + w.externalBytesLeft(now, batching)
	return int64(float64(batching.MemoryBytes)*(1-w.margin)) - used
}

// heldBytes returns the memory of the stored results.
func (w *worker) heldBytes(now time.Time) int64 {
	bytes := int64(0)
	for handle, r := range w.held {
		if now.After(r.until) {
			delete(w.held, handle)
			continue
		}
		bytes += r.bytes
	}
	return bytes
}

// externalBytesLeft returns how much of externalBytes is still in use, assuming that the results
// expire evenly over the retention time.
func (w *worker) externalBytesLeft(now time.Time, batching *route.Batching) int64 {
	left := batching.Retention - now.Sub(w.externalBytesAt)
	if w.externalBytes == 0 || left <= 0 {
		return 0
	}
	return int64(float64(w.externalBytes) * float64(left) / float64(batching.Retention))
}

// recordMemoryShortage records that a call lacked memory for missingBytes of results. It attributes
// up to marginStep to results exceeding their declared size and the rest to results of other
// planners.
func (w *worker) recordMemoryShortage(now time.Time, missingBytes int64, batching *route.Batching) {
	w.backoffUntil = now.Add(minFullBackoff)
	w.margin = min(maxMargin, w.margin+marginStep)
	missingBytes -= int64(marginStep * float64(batching.MemoryBytes))
	if missingBytes > 0 {
		w.externalBytes = min(batching.MemoryBytes, w.externalBytesLeft(now, batching)+missingBytes)
		w.externalBytesAt = now
	}
}

// available reports whether the worker can take a call.
func (w *worker) available(now time.Time, batching *route.Batching) bool {
	return !w.needsProbe && w.running+w.external.running(now) < max(1, batching.Slots) && !now.Before(w.backoffUntil)
}

// unreachable reports whether the last call failed and the endpoint has not been reached since.
// Workers that are only probed because of their failure domain don't count.
func (w *worker) unreachable() bool { return w.needsProbe && w.backoff > 0 }

// unreachableDelay is the expected duration of a call to an unreachable worker.
const unreachableDelay = time.Hour

// expectedFinish returns when a call with the given configured time would end if it were queued
// now.
func (w *worker) expectedFinish(now time.Time, call time.Duration) time.Time {
	if w.needsProbe {
		return now.Add(unreachableDelay)
	}
	begin := w.expectedIdle(now)
	if w.backoffUntil.After(begin) {
		begin = w.backoffUntil
	}
	return begin.Add(w.expectedTime(now, call))
}

// expectedIdle returns the expected end of the calls in flight; now if there are none.
func (w *worker) expectedIdle(now time.Time) time.Time {
	until := now
	if w.running > 0 && w.busyUntil.After(until) {
		until = w.busyUntil
	}
	if w.external.until.After(until) {
		until = w.external.until
	}
	return until
}

// expectedTime returns the expected duration of a call with the given configured time.
func (w *worker) expectedTime(now time.Time, call time.Duration) time.Duration {
	return time.Duration(float64(call) * w.slownessAt(now))
}

// slownessAt returns the slowness at a time, decayed towards 1.
func (w *worker) slownessAt(now time.Time) float64 {
	weight := math.Exp2(-float64(now.Sub(w.slownessTime)) / float64(slownessHalfLife))
	return 1 + weight*(w.slowness-1)
}

// callTimeout returns the timeout of a call with the given expected duration.
func (w *worker) callTimeout(expected time.Duration) time.Duration {
	if w.shared || w.unanswered {
		return time.Duration(sharedCallTimeoutFactor*float64(expected)) + sharedCallTimeoutSlack
	}
	return time.Duration(callTimeoutFactor*float64(expected)) + callTimeoutSlack
}

// recordCallTime updates the slowness with the duration of a successful call.
func (w *worker) recordCallTime(now time.Time, took, configured time.Duration) {
	if configured <= 0 {
		return
	}
	ratio := float64(took) / float64(configured)
	w.slowness, w.slownessTime, w.lastSuccess = w.slownessAt(now), now, now
	w.shared = ratio > sharedThreshold*w.slowness
	w.margin *= marginDecay
	w.slowness += slownessWeight * (ratio - w.slowness)
	w.backoff = 0
	w.unanswered = false
}

// recordFailure starts a back-off that doubles with each consecutive failure. The worker gets calls
// again after a successful probe.
func (w *worker) recordFailure(now time.Time) {
	w.needsProbe = true
	w.backoff = min(maxFailureBackoff, max(minFailureBackoff, 2*w.backoff))
	w.backoffUntil = now.Add(w.backoff)
}

// recordFull starts a back-off after a call was rejected because the endpoint is at capacity.
func (w *worker) recordFull(now time.Time) {
	w.backoff = min(maxFullBackoff, max(minFullBackoff, 2*w.backoff))
	w.backoffUntil = now.Add(w.backoff)
}
