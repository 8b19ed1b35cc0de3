package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

// BenchmarkObserve measures processing a heartbeat in a cluster of 295 instances, with a copy of
// the list after changes.
func BenchmarkObserve(b *testing.B) {
	members := membership.New(membership.Instance{Name: "self", FailureDomain: "d0"}, 3*time.Second, nil)
	now := time.Now()
	beat := func(n int, sequence uint64) membership.Heartbeat {
		name := fmt.Sprintf("instance-%03d", n)
		return membership.Heartbeat{From: membership.Instance{Name: name, FailureDomain: fmt.Sprint("d", n%6), PeerAddress: name}, Sequence: sequence}
	}
	for n := range 294 {
		members.Observe(now, beat(n, 1))
	}
	members.Changed()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		members.Observe(now, beat(7, sequence))
		if members.Changed() {
			members.List()
		}
	}
}
