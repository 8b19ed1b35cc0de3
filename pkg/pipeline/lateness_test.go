package pipeline

import (
	"testing"
	"time"
)

func TestLatenessTracksQuantile(t *testing.T) {
	l := newLateness()
	for range 200 {
		l.recordDuration(time.Second, 1300*time.Millisecond)
	}
	if l.allowed < 250*time.Millisecond || l.allowed > 350*time.Millisecond {
		t.Fatalf("allowed lateness is %v after plans that took 300 ms longer", l.allowed)
	}
	for n := range 500 {
		lasted := time.Second
		if n%5 == 0 {
			lasted += time.Second
		}
		l.recordDuration(time.Second, lasted)
	}
	if l.allowed > 50*time.Millisecond {
		t.Fatalf("allowed lateness is %v after one late plan in five", l.allowed)
	}
	for range 1000 {
		l.recordDuration(0, time.Minute)
	}
	if l.allowed != maxLateness {
		t.Fatalf("allowed lateness is %v, want %v", l.allowed, maxLateness)
	}
}

func TestRetryDelayGrowsWithOverload(t *testing.T) {
	for range 100 {
		if got := retryDelay(0, 3*time.Second, time.Minute); got < 3*time.Second || got > 6*time.Second {
			t.Fatalf("retry delay is %v", got)
		}
		if got := retryDelay(0, 0, time.Minute); got < minRetryDelay || got > 2*minRetryDelay {
			t.Fatalf("retry delay is %v", got)
		}
		if got := retryDelay(30*time.Second, 0, 6*time.Second); got < time.Second || got > 2*time.Second {
			t.Fatalf("retry delay is %v with six seconds left", got)
		}
	}
}

func TestRetryDelayIsZeroAfterDeadline(t *testing.T) {
	for _, left := range []time.Duration{0, -time.Millisecond, -time.Minute} {
		if got := retryDelay(time.Second, time.Second, left); got != 0 {
			t.Fatalf("with %v left, retry delay is %v", left, got)
		}
	}
}

func TestOverloadEndsAfterIdlePeriod(t *testing.T) {
	var o overload
	begin := time.Now()
	for n := range 5 {
		at := begin.Add(time.Duration(n) * overloadEndDelay / 2)
		if got, want := o.recordRefusal(at), at.Sub(begin); got != want {
			t.Fatalf("overload lasted %v, want %v", got, want)
		}
	}
	if got := o.recordRefusal(begin.Add(time.Minute)); got != 0 {
		t.Fatalf("new overload has lasted %v", got)
	}
}

func TestLatenessFallsOnRefusals(t *testing.T) {
	l := newLateness()
	for range 200 {
		l.recordDuration(0, time.Minute)
	}
	for range 200 {
		l.recordRefusal()
	}
	if l.allowed != 0 {
		t.Fatalf("allowed lateness is %v after 200 refusals", l.allowed)
	}
}
