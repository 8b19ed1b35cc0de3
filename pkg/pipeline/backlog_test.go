package pipeline

import (
	"math"
	"testing"
	"time"
)

func TestBacklogCountsOnlyWhatGoesBefore(t *testing.T) {
	b := &backlog{}
	b.add(2, 30)
	b.add(0, 5)
	b.add(1, 10)
	for priority, want := range map[int]int{0: 5, 1: 15, 2: 45, 3: 45} {
		if got := b.before(priority); got != want {
			t.Errorf("%d pieces go before priority %d, not %d", got, priority, want)
		}
	}
	b.add(2, -30)
	b.add(2, -1)
	if got := b.before(2); got != 15 {
		t.Errorf("%d pieces are left, not 15", got)
	}
}

func TestBacklogLeavesWhatUrgentRequestsDoNotAskFor(t *testing.T) {
	b := &backlog{}
	now := time.Now()
	const perSecond = 40
	for n := range 100 {
		now = now.Add(100 * time.Millisecond)
		b.asked(now, 0, perSecond/10)
		if n > 50 {
			continue
		}
		b.asked(now, 1, 1)
	}
	if got := b.left(now, 0, 100); got != 100 {
		t.Errorf("the most urgent have %v", got)
	}
	if got := b.left(now, 1, 100); math.Abs(got-60) > 5 {
		t.Errorf("40 a second of 100 are asked for, %v is left", got)
	}
	if got := b.left(now, 2, 30); math.Abs(got-leastPart*30) > 0.01 {
		t.Errorf("the least urgent have %v of 30 a second", got)
	}
	if got := b.left(now.Add(10*arrivalTime), 2, 100); got < 99 {
		t.Errorf("long after the burst %v of 100 is left", got)
	}
}
