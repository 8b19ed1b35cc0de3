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
	w.learn(call, call)
	if got := w.patience(call); got > 2*call {
		t.Fatalf("a call is given up after %v only", got)
	}
}
