package batch

import (
	"math"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// speedWeight is the weight of a new sample in a worker's smoothed speed.
	speedWeight = 0.4
	// slownessHalfLife is the time in which half of a worker's slowness is forgotten.
	slownessHalfLife = 3 * time.Second
	// firstRest and lastRest bound how long a worker that failed gets no calls.
	firstRest = 200 * time.Millisecond
	lastRest  = 3 * time.Second
	// fullRest is how long a worker rests that had no room; one that was full rests so
	// long at first, twice as long each time in a row, up to lastFullRest.
	fullRest     = 30 * time.Millisecond
	lastFullRest = 240 * time.Millisecond
	// marginStep is by how much the part of the room left free grows with each call for
	// which there was too little room; marginKept is what a call that went well leaves of it.
	marginStep = 0.04
	marginKept = 0.95
	maxMargin  = 0.4
	// sharedFactor is by how much a call is longer than expected that waited for others.
	sharedFactor = 1.4
)

// worker is an endpoint as the batcher sees it.
type worker struct {
	endpoint fleet.Endpoint
	// running is the number of calls under way.
	running int
	// busyUntil is when the calls under way are expected to end.
	busyUntil time.Time
	// others are the calls of another planner that are under way there.
	others othersWork
	// slowness is the smoothed time of calls, as a multiple of the configured time, as of
	// learntAt. One that is avoided since it was slow is called again when that is forgotten.
	slowness float64
	learntAt time.Time
	// endedAt is when a call of this planner last ended there as it should.
	endedAt time.Time
	// restUntil is until when it gets no calls; rest is how long the last rest was.
	restUntil time.Time
	rest      time.Duration
	// unproved says that its last call was lost or did not reach it: it gets calls again
	// when it has been reached. proving says that this is being tried.
	unproved bool
	proving  bool
	// held are the results that it keeps, and reserved the room of calls under way.
	held     map[string]heldResult
	reserved int64
	// unaccounted is room that others' results took, such as those of an instance that
	// has died, as of unaccountedAt. They go within the time that results are kept.
	unaccounted   int64
	unaccountedAt time.Time
	// margin is the part of the room that is left free, since results are larger than
	// they were said to be.
	margin float64
	// shared says that its last call took so long that it must have waited for a call
	// of another instance, or for one that was given up.
	shared bool
	// fresh says that no call to it has been answered yet.
	fresh bool
	// idleSince is when it last became free of calls.
	idleSince time.Time
}

type heldResult struct {
	bytes int64
	until time.Time
}

// newWorker returns a worker that may be at work for others: for an instance that has died,
// or one that made calls before.
func newWorker(e fleet.Endpoint) *worker {
	return &worker{endpoint: e, slowness: 1, fresh: true, held: map[string]heldResult{}}
}

// room returns the bytes free for results.
func (w *worker) room(now time.Time, batching *route.Batching) int64 {
	used := w.reserved + w.others.reserved(now) + w.heldBytes(now) + w.othersRoom(now, batching)
	return int64(float64(batching.RoomBytes)*(1-w.margin)) - used
}

// heldBytes is the room of the results that the endpoint keeps.
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

// othersRoom is the room that results of others still take, which go one by one.
func (w *worker) othersRoom(now time.Time, batching *route.Batching) int64 {
	left := batching.Retention - now.Sub(w.unaccountedAt)
	if w.unaccounted == 0 || left <= 0 {
		return 0
	}
	return int64(float64(w.unaccounted) * float64(left) / float64(batching.Retention))
}

// noRoom notes that in a call the endpoint lacked room for results of so many bytes. A
// little is put down to results being larger than they were said to be, the rest to
// results of others.
func (w *worker) noRoom(now time.Time, lacked int64, batching *route.Batching) {
	w.restUntil = now.Add(fullRest)
	w.margin = min(maxMargin, w.margin+marginStep)
	lacked -= int64(marginStep * float64(batching.RoomBytes))
	if lacked > 0 {
		w.unaccounted = min(batching.RoomBytes, w.othersRoom(now, batching)+lacked)
		w.unaccountedAt = now
	}
}

// usable tells whether it can take a call now.
func (w *worker) usable(now time.Time, batching *route.Batching) bool {
	return !w.unproved && w.running+w.others.running(now) < max(1, batching.Slots) && !now.Before(w.restUntil)
}

// out tells whether its last call failed, and it has not been reached since. One that is
// only suspected, since another of its failure domain was silent, is not.
func (w *worker) out() bool { return w.unproved && w.rest > 0 }

// never is a time that no call waits for.
const never = time.Hour

// finish is when a call of the given time would end here, if it began when the calls
// under way have ended.
func (w *worker) finish(now time.Time, call time.Duration) time.Time {
	if w.unproved {
		return now.Add(never)
	}
	begin := w.busyAt(now)
	if w.restUntil.After(begin) {
		begin = w.restUntil
	}
	return begin.Add(w.expected(now, call))
}

// busyAt is when the calls under way are expected to have ended; now if there are none.
func (w *worker) busyAt(now time.Time) time.Time {
	until := now
	if w.running > 0 && w.busyUntil.After(until) {
		until = w.busyUntil
	}
	if w.others.until.After(until) {
		until = w.others.until
	}
	return until
}

// expected is the time that a call of the configured time takes here.
func (w *worker) expected(now time.Time, call time.Duration) time.Duration {
	return time.Duration(float64(call) * w.slow(now))
}

// slow is the slowness at a time: what sets it apart from the configured time is forgotten
// by half in each slownessHalfLife.
func (w *worker) slow(now time.Time) float64 {
	known := math.Exp2(-float64(now.Sub(w.learntAt)) / float64(slownessHalfLife))
	return 1 + known*(w.slowness-1)
}

// patience is how long a call of the expected time is waited for.
func (w *worker) patience(expected time.Duration) time.Duration {
	if w.shared || w.fresh {
		return time.Duration(sharedOverdueFactor*float64(expected)) + sharedOverdueSlack
	}
	return time.Duration(overdueFactor*float64(expected)) + overdueSlack
}

// learn takes in how long a call took that the configuration gives another time.
func (w *worker) learn(now time.Time, took, configured time.Duration) {
	if configured <= 0 {
		return
	}
	ratio := float64(took) / float64(configured)
	w.slowness, w.learntAt, w.endedAt = w.slow(now), now, now
	w.shared = ratio > sharedFactor*w.slowness
	w.margin *= marginKept
	w.slowness += speedWeight * (ratio - w.slowness)
	w.rest = 0
	w.fresh = false
}

// failed makes the worker rest, longer each time. It gets calls again when it has been
// reached.
func (w *worker) failed(now time.Time) {
	w.unproved = true
	w.rest = min(lastRest, max(firstRest, 2*w.rest))
	w.restUntil = now.Add(w.rest)
}

// full makes a worker rest that took no call, since it works on those of others.
func (w *worker) full(now time.Time) {
	w.rest = min(lastFullRest, max(fullRest, 2*w.rest))
	w.restUntil = now.Add(w.rest)
}
