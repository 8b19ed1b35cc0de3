package rollout

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// A bad version may get a given share of all requests between the order and its deadline. The trial
// therefore takes most of the time at less than that share, the two following steps are short, and
// all traffic moves late; together they stay within the share. The remaining time is for draining
// the old endpoints, which stop immediately afterwards.

const (
	// trialShareRatio is the trial's fraction of the share, stepTimeRatio the fraction of the time
	// that each further step takes. Until all traffic moves, 0.6 x 0.6 + 0.05 x (2 + 4) = 0.66 of
	// the share is used.
	trialShareRatio = 0.6
	stepTimeRatio   = 0.05
	// maxStepShare limits the share of a step.
	maxStepShare = 0.5
	// marginRatio and minMargin are the time reserved at the end to record the completion,
	// including retries.
	marginRatio = 0.05
	minMargin   = 600 * time.Millisecond
	// drainRatio and maxDrainTime are the time for calls in flight at the old endpoints to finish.
	drainRatio   = 0.3
	maxDrainTime = 3500 * time.Millisecond
	// minTrialTime is the least duration of the trial after the first answer.
	minTrialTime = 2 * time.Second
	// minAnswers is the least number of answers of the new version.
	minAnswers = 20
)

// stepShareFactors are the shares of the steps after the trial, as multiples of the allowed share.
var stepShareFactors = [...]float64{2, 4}

// Schedule computes when a rollout takes each step.
type Schedule struct {
	duration time.Duration
	share    float64
}

// NewSchedule returns the schedule of an order. share limits the fraction of requests for a bad
// version.
func NewSchedule(order fleet.Rollout, share float64) Schedule {
	return Schedule{duration: time.Duration(order.OverMs) * time.Millisecond, share: share}
}

func (s Schedule) fraction(of float64) time.Duration { return time.Duration(of * float64(s.duration)) }

// trialShare returns the share of the trial.
func (s Schedule) trialShare() float64 { return trialShareRatio * s.share }

// stepShare returns the share of the nth step after the trial.
func (s Schedule) stepShare(n int) float64 { return min(maxStepShare, stepShareFactors[n]*s.share) }

// stepDuration returns the duration of each step after the trial.
func (s Schedule) stepDuration() time.Duration { return s.fraction(stepTimeRatio) }

// drainedBy returns the time after the order by which the old endpoints must be drained.
func (s Schedule) drainedBy() time.Duration {
	return max(0, s.duration-max(minMargin, s.fraction(marginRatio)))
}

// fullTrafficAt returns the time after the order at which all traffic moves.
func (s Schedule) fullTrafficAt() time.Duration {
	return max(0, s.drainedBy()-min(maxDrainTime, s.fraction(drainRatio)))
}

// trialEnd returns the time after the order at which the trial ends.
func (s Schedule) trialEnd() time.Duration {
	return max(0, s.fullTrafficAt()-time.Duration(len(stepShareFactors))*s.stepDuration())
}

// minTrialDuration returns the least duration of the trial.
func (s Schedule) minTrialDuration() time.Duration { return min(minTrialTime, s.trialEnd()/2) }
