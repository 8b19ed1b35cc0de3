package pipeline

import (
	"testing"
	"time"
)

func TestLatenessFollowsWhatMostPlansKeepTo(t *testing.T) {
	l := newLateness()
	for range 200 {
		l.learn(time.Second, 1300*time.Millisecond)
	}
	if l.allowed < 250*time.Millisecond || l.allowed > 350*time.Millisecond {
		t.Fatalf("plans that last 300 ms longer are allowed %v", l.allowed)
	}
	for n := range 500 {
		lasted := time.Second
		if n%5 == 0 {
			lasted += time.Second
		}
		l.learn(time.Second, lasted)
	}
	if l.allowed > 50*time.Millisecond {
		t.Fatalf("one plan in five that is late has all allowed %v", l.allowed)
	}
	for range 1000 {
		l.learn(0, time.Minute)
	}
	if l.allowed != maxLateness {
		t.Fatalf("allowed %v, more than %v", l.allowed, maxLateness)
	}
}

func TestComeBackIsAsLateAsTheOverloadHasLasted(t *testing.T) {
	for range 100 {
		if got := comeBack(0, 3*time.Second, time.Minute); got < 3*time.Second || got > 6*time.Second {
			t.Fatalf("come back after %v", got)
		}
		if got := comeBack(0, 0, time.Minute); got < firstComeBack || got > 2*firstComeBack {
			t.Fatalf("come back after %v", got)
		}
		if got := comeBack(30*time.Second, 0, 6*time.Second); got < time.Second || got > 2*time.Second {
			t.Fatalf("a caller with six seconds left is told to come back after %v", got)
		}
	}
}

func TestComeBackIsNotToldWhenNoTimeIsLeft(t *testing.T) {
	for _, left := range []time.Duration{0, -time.Millisecond, -time.Minute} {
		if got := comeBack(time.Second, time.Second, left); got != 0 {
			t.Fatalf("with %v left, come back after %v", left, got)
		}
	}
}

func TestAnOverloadEndsWhenNothingWasRefusedForAWhile(t *testing.T) {
	var o overload
	begin := time.Now()
	for n := range 5 {
		at := begin.Add(time.Duration(n) * calmAfter / 2)
		if got, want := o.refused(at), at.Sub(begin); got != want {
			t.Fatalf("lasted %v, not %v", got, want)
		}
	}
	if got := o.refused(begin.Add(time.Minute)); got != 0 {
		t.Fatalf("a new overload has lasted %v", got)
	}
}

func TestLatenessFallsWhereItAloneHasPlansRefused(t *testing.T) {
	l := newLateness()
	for range 200 {
		l.learn(0, time.Minute)
	}
	for range 200 {
		l.refused()
	}
	if l.allowed != 0 {
		t.Fatalf("allowed %v after 200 refusals for it alone", l.allowed)
	}
}
