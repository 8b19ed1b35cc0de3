package pipeline

import (
	"fmt"
	"testing"
	"time"
)

func TestAQueueIsKeptForTheUrgentForAWhile(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p precedence
	kept := func(at time.Time, priority int) int {
		n := 0
		for i := range 1000 {
			if p.keeps(at, &Plan{Request: fmt.Sprint(i), Priority: priority}) {
				n++
			}
		}
		return n
	}
	if kept(now, 2) != 0 {
		t.Fatal("nothing was refused yet")
	}
	p.refused(now, 1)
	if n := kept(now, 2); n < 700 || n > 800 {
		t.Errorf("%d of 1000 less urgent plans give way, not three of four", n)
	}
	if kept(now, 1) != 0 || kept(now, 0) != 0 {
		t.Error("plans as urgent, or more, give way")
	}
	p.refused(now.Add(100*time.Millisecond), 2)
	if kept(now.Add(precedenceFor), 2) != 0 {
		t.Error("a less urgent plan that is refused has the queue kept for longer")
	}
	p.refused(now.Add(200*time.Millisecond), 0)
	if kept(now.Add(precedenceFor), 1) == 0 {
		t.Error("a more urgent plan that is refused does not have the queue kept")
	}
	if kept(now.Add(time.Second), 9) != 0 {
		t.Error("the queue is kept though nothing is refused any more")
	}
}
