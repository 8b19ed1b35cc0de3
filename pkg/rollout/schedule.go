package rollout

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// A bad version may get a stated share of all requests between the order and its deadline, and the whole of the
// time counts, before it turned bad too. So the trial takes most of the time at less than that share, the two steps after
// it are short, and all traffic moves late: all three together stay within the share. What must be left at the end is
// the time in which the requests that run at the old endpoints end, since those stop at once.

const (
	// triedPart is the part of the share that the trial gets, stepParts those of the steps after it, as
	// multiples of the share, and stepPart the part of the time that each step takes. By the time that all traffic has
	// moved, 0.6 x 0.6 + 0.05 x (2 + 4) = 0.66 of the share has been used.
	triedPart = 0.6
	stepPart  = 0.05
	// greatestStep bounds the share of a step.
	greatestStep = 0.5
	// marginPart and leastMargin are what is left at the end for the word that the rollout is completed to be
	// written: it may have to be written again.
	marginPart  = 0.05
	leastMargin = 600 * time.Millisecond
	// endingPart and longestEnding are the time in which what runs at the old endpoints is to end.
	endingPart    = 0.3
	longestEnding = 3500 * time.Millisecond
	// leastTrial is how long a version is tried at least, once it answers.
	leastTrial = 2 * time.Second
	// leastAnswers is how many answers of a version are weighed at least.
	leastAnswers = 20
)

// stepParts are the shares of the steps between trial and all, as multiples of the share that a bad version may get.
var stepParts = [...]float64{2, 4}

// Schedule says when a rollout takes which step.
type Schedule struct {
	over  time.Duration
	share float64
}

// NewSchedule returns the schedule of an order, where a bad version may get a share of all requests.
func NewSchedule(order fleet.Rollout, share float64) Schedule {
	return Schedule{over: time.Duration(order.OverMs) * time.Millisecond, share: share}
}

func (s Schedule) part(of float64) time.Duration { return time.Duration(of * float64(s.over)) }

// tried is the share of a version that is tried.
func (s Schedule) tried() float64 { return triedPart * s.share }

// step is the share of a step after the trial, counted from 0.
func (s Schedule) step(n int) float64 { return min(greatestStep, stepParts[n]*s.share) }

// stepTakes is how long each step after the trial takes.
func (s Schedule) stepTakes() time.Duration { return s.part(stepPart) }

// endsAt is how long after the order what runs at the old endpoints is to have ended.
func (s Schedule) endsAt() time.Duration { return max(0, s.over-max(leastMargin, s.part(marginPart))) }

// allAt is how long after the order all traffic is to have moved.
func (s Schedule) allAt() time.Duration {
	return max(0, s.endsAt()-min(longestEnding, s.part(endingPart)))
}

// triedUntil is how long after the order the trial ends.
func (s Schedule) triedUntil() time.Duration {
	return max(0, s.allAt()-time.Duration(len(stepParts))*s.stepTakes())
}

// triedFor is how long the trial lasts at least.
func (s Schedule) triedFor() time.Duration { return min(leastTrial, s.triedUntil()/2) }
