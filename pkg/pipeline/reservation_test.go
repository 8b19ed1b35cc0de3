package pipeline

import (
	"fmt"
	"testing"
	"time"
)

func TestReservationExcludesLessUrgentPlans(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p reservation
	kept := func(at time.Time, priority int) int {
		n := 0
		for i := range 1000 {
			if p.excludes(at, &Plan{Request: fmt.Sprint(i), Priority: priority}) {
				n++
			}
		}
		return n
	}
	if kept(now, 2) != 0 {
		t.Fatal("queue is reserved before any refusal")
	}
	p.recordRefusal(now, 1)
	if n := kept(now, 2); n < 700 || n > 800 {
		t.Errorf("%d of 1000 less urgent plans are excluded, want about 750", n)
	}
	if kept(now, 1) != 0 || kept(now, 0) != 0 {
		t.Error("plans of the same or higher urgency are excluded")
	}
	p.recordRefusal(now.Add(100*time.Millisecond), 2)
	if kept(now.Add(reservationTime), 2) != 0 {
		t.Error("refusal of a less urgent plan extends the reservation")
	}
	p.recordRefusal(now.Add(200*time.Millisecond), 0)
	if kept(now.Add(reservationTime), 1) == 0 {
		t.Error("refusal of a more urgent plan does not extend the reservation")
	}
	if kept(now.Add(time.Second), 9) != 0 {
		t.Error("reservation does not expire")
	}
}
