package batch

import (
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// The first call of an instance may wait behind one of an instance that has died: given up,
// it would be made twice.
func TestTheFirstCallIsWaitedForLonger(t *testing.T) {
	const call = 400 * time.Millisecond
	w := newWorker(fleet.Endpoint{ID: "e"})
	if got := w.patience(call); got < 2*call+sharedOverdueSlack {
		t.Fatalf("the first call is given up after %v", got)
	}
	w.learn(time.Now(), call, call)
	if got := w.patience(call); got > 2*call {
		t.Fatalf("a call is given up after %v only", got)
	}
}

// A worker that was slow, or seemed so to a process that stood still, is avoided, so that
// nothing more is learnt of it: what was learnt must be forgotten.
func TestSlownessIsForgotten(t *testing.T) {
	const call = 400 * time.Millisecond
	now := time.Now()
	w := newWorker(fleet.Endpoint{ID: "e"})
	for range 10 {
		w.learn(now, 5*call, call)
	}
	if got := w.expected(now, call); got < 4*call {
		t.Fatalf("a call at a slow worker is expected to take %v", got)
	}
	if got := w.expected(now.Add(5*slownessHalfLife), call); got > call+call/4 {
		t.Fatalf("long after, a call is expected to take %v", got)
	}
}
