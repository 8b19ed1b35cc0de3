package pipeline

import (
	"fmt"
	"testing"
	"time"
)

func TestBacklogCountsEarlierAndMoreUrgentPieces(t *testing.T) {
	now := time.Now()
	planOf := func(priority int, due time.Duration) *Plan {
		return &Plan{Priority: priority, Due: now.Add(due)}
	}
	b := &backlog{}
	soonLess := planOf(2, time.Second)
	b.add(soonLess, 10)
	b.add(planOf(1, 3*time.Second), 20)
	b.add(planOf(0, 5*time.Second), 40)
	for name, c := range map[string]struct {
		plan *Plan
		want int
	}{
		"urgent, due first":       {planOf(0, time.Millisecond), 0},
		"urgent, due after some":  {planOf(0, 2*time.Second), 10},
		"less urgent, due first":  {planOf(2, time.Millisecond), 60},
		"as urgent, due the same": {planOf(1, 3*time.Second), 70},
	} {
		if got := b.piecesBefore(c.plan); got != c.want {
			t.Errorf("%s: %d pieces before it, want %d", name, got, c.want)
		}
	}
	late := planOf(0, time.Millisecond)
	late.late = true
	b.add(late, 80)
	if got := b.piecesBefore(planOf(2, time.Minute)); got != 70 {
		t.Errorf("%d pieces before a plan in time, want 70 without those served late", got)
	}
	if got := b.piecesBefore(&Plan{Priority: 0, Due: now.Add(-time.Second), late: true}); got != 70 {
		t.Errorf("%d pieces before a plan served late, want the 70 of all others", got)
	}
	b.add(late, -80)
	b.add(soonLess, -4)
	if got := b.piecesBefore(planOf(0, 2*time.Second)); got != 6 {
		t.Errorf("%d pieces left, want 6", got)
	}
	b.add(soonLess, -6)
	if len(b.plans) != 2 {
		t.Errorf("%d plans pending, want 2", len(b.plans))
	}
}

// BenchmarkBacklog measures admission at a queue by the number of running plans.
func BenchmarkBacklog(b *testing.B) {
	for _, plans := range []int{100, 1000} {
		b.Run(fmt.Sprint(plans), func(b *testing.B) {
			backlog := &backlog{}
			now := time.Now()
			for n := range plans {
				backlog.add(&Plan{Priority: n % 3, Due: now.Add(time.Duration(n) * time.Millisecond)}, 1)
			}
			plan := &Plan{Priority: 1, Due: now.Add(time.Second)}
			b.ResetTimer()
			for b.Loop() {
				backlog.piecesBefore(plan)
				backlog.add(plan, 1)
				backlog.add(plan, -1)
			}
		})
	}
}
