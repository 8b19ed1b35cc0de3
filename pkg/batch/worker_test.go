package batch

import (
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// The first call of an instance may be queued behind one of a crashed instance. Timing it out early
// would run it twice.
func TestFirstCallHasLongerTimeout(t *testing.T) {
	const call = 400 * time.Millisecond
	w := newWorker(fleet.Endpoint{ID: "e"})
	if got := w.callTimeout(call); got < 2*call+sharedCallTimeoutSlack {
		t.Fatalf("first call times out after %v", got)
	}
	w.recordCallTime(time.Now(), call, call)
	if got := w.callTimeout(call); got > 2*call {
		t.Fatalf("call times out only after %v", got)
	}
}

// A slow worker gets no calls, so its slowness must decay for it to be used again.
func TestSlownessDecays(t *testing.T) {
	const call = 400 * time.Millisecond
	now := time.Now()
	w := newWorker(fleet.Endpoint{ID: "e"})
	for range 10 {
		w.recordCallTime(now, 5*call, call)
	}
	if got := w.expectedTime(now, call); got < 4*call {
		t.Fatalf("expected call time of a slow worker is %v", got)
	}
	if got := w.expectedTime(now.Add(5*slownessHalfLife), call); got > call+call/4 {
		t.Fatalf("expected call time after decay is %v", got)
	}
}
