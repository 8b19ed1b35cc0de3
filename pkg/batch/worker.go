package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// speedWeight is the weight of a new sample in a worker's smoothed speed.
	speedWeight = 0.4
	// firstRest and lastRest bound how long a worker that failed gets no calls.
	firstRest = 200 * time.Millisecond
	lastRest  = 3 * time.Second
	// fullRest is how long a worker rests that had no room or was full.
	fullRest = 30 * time.Millisecond
	// marginStep is by how much the part of the room left free grows each time that
	// there was no room; it shrinks by marginDecay with each call that went well.
	marginStep  = 0.04
	marginDecay = 0.005
	maxMargin   = 0.4
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
	// slowness is the smoothed time of calls, as a multiple of the configured time.
	slowness float64
	// restUntil is until when it gets no calls; rest is how long the last rest was.
	restUntil time.Time
	rest      time.Duration
	// held are the results that it keeps, and reserved the room of calls under way.
	held     map[string]heldResult
	reserved int64
	// margin is the part of the room that is left free, since results are larger than
	// they were said to be.
	margin float64
	// shared says that its last call took so long that it must have waited for a call
	// of another instance, or for one that was given up.
	shared bool
	// idleSince is when it last became free of calls.
	idleSince time.Time
}

type heldResult struct {
	bytes int64
	until time.Time
}

func newWorker(e fleet.Endpoint) *worker {
	return &worker{endpoint: e, slowness: 1, held: map[string]heldResult{}}
}

// room returns the bytes free for results.
func (w *worker) room(now time.Time, batching *route.Batching) int64 {
	used := w.reserved
	for handle, r := range w.held {
		if now.After(r.until) {
			delete(w.held, handle)
			continue
		}
		used += r.bytes
	}
	return int64(float64(batching.RoomBytes)*(1-w.margin)) - used
}

// noRoom notes that the endpoint had less room than was thought.
func (w *worker) noRoom(now time.Time) {
	w.margin = min(maxMargin, w.margin+marginStep)
	w.restUntil = now.Add(fullRest)
}

// usable tells whether it can take a call now.
func (w *worker) usable(now time.Time, batching *route.Batching) bool {
	return w.running < max(1, batching.Slots) && !now.Before(w.restUntil)
}

// finish is when a call of the given time would end here, if it began when the calls
// under way have ended.
func (w *worker) finish(now time.Time, call time.Duration) time.Time {
	begin := now
	if w.running > 0 && w.busyUntil.After(now) {
		begin = w.busyUntil
	}
	if w.restUntil.After(begin) {
		begin = w.restUntil
	}
	return begin.Add(w.expected(call))
}

// expected is the time that a call of the configured time takes here.
func (w *worker) expected(call time.Duration) time.Duration {
	return time.Duration(float64(call) * w.slowness)
}

// learn takes in how long a call took that the configuration gives another time.
func (w *worker) learn(took, configured time.Duration) {
	if configured <= 0 {
		return
	}
	ratio := float64(took) / float64(configured)
	w.shared = ratio > sharedFactor*w.slowness
	w.margin = max(0, w.margin-marginDecay)
	w.slowness += speedWeight * (ratio - w.slowness)
	w.rest = 0
}

// failed makes the worker rest, longer each time.
func (w *worker) failed(now time.Time) {
	w.rest = min(lastRest, max(firstRest, 2*w.rest))
	w.restUntil = now.Add(w.rest)
}
