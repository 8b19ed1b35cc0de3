package rollout

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// State is the state of a rollout as shown to operators.
type State string

// States of a rollout.
const (
	Running   State = "running"
	Completed State = "completed"
	Reverted  State = "reverted"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Reverted }

// Report is what an instance reports to the conductor of a rollout.
type Report struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the revision of the rollout order; AgeMs is how long the instance has known it, in
	// milliseconds.
	Order revision.Revision `json:"order"`
	AgeMs int64             `json:"age_ms"`
	// At is the revision under which the source lists the order. Older versions omit it.
	At revision.Revision `json:"at,omitempty"`
	// Instance and Incarnation identify the reporting process.
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// State is the last state the instance was told.
	State State `json:"state,omitempty"`
	// RecordLost is set if the store was restored since State was recorded, until the instance is told
	// that it is recorded again. Older versions omit it.
	RecordLost bool `json:"record_lost,omitempty"`
	// Step is the last step the instance was told.
	Step int `json:"step,omitempty"`
	// Tally is everything the instance has counted for the rollout.
	Tally Tally `json:"tally,omitempty"`
	// Clear is set if the instance no longer uses the old endpoints and has no calls in flight
	// there.
	Clear bool `json:"clear,omitempty"`
	// Movable is like Clear, but ignores calls that can resume at another endpoint.
	Movable bool `json:"movable,omitempty"`
}

// isAbout reports whether the report is about an order. Instances that started after the source was
// restored know the order by another revision.
func (r Report) isAbout(order fleet.Rollout) bool {
	return r.Order == order.Revision || r.At > 0 && r.At == order.ListedAt()
}

// Instruction is the conductor's reply to a report. The zero value withholds the version.
type Instruction struct {
	Exposure fleet.Exposure `json:"exposure"`
	// Share is the fraction of requests for a version on trial.
	Share float64 `json:"share,omitempty"`
	// State is the decided state. Recorded is set once it is stored for operators; until then
	// instances keep reporting, because the conductor may fail first.
	State    State `json:"state,omitempty"`
	Recorded bool  `json:"recorded,omitempty"`
	// Step is the current step of the rollout.
	Step int `json:"step,omitempty"`
}

const (
	// reportFreshFor is the age up to which a report counts.
	reportFreshFor = time.Second
	// reportMissingAfter is the silence after which an instance is no longer waited for. A
	// partitioned instance that still runs retries elsewhere once the old endpoints are gone.
	reportMissingAfter = 8 * time.Second
	// recordValidFor is how long the conductor may act without reading the record: on the other
	// side of a partition another instance may have recorded the version as bad.
	recordValidFor = 3 * time.Second
	// oldGoneFor is how long no endpoint of another version must exist before the rollout can skip
	// the trial; crashed endpoints may restart.
	oldGoneFor = 2 * time.Second
	// fullTrafficFor is the least time at full traffic before the old endpoints may stop.
	fullTrafficFor = 500 * time.Millisecond
)

// step is a step of a rollout.
type step int

// Steps between stepTrial and stepFull are numbered consecutively.
const (
	stepWaiting step = iota
	stepTrial
)

// stepFull is the step at which all traffic goes to the new version.
const stepFull = stepTrial + step(len(stepShareFactors)) + 1

// receivedReport is the last report of an instance.
type receivedReport struct {
	Report
	at time.Time
}

// Observation is the conductor's input from its environment.
type Observation struct {
	// Instances are the names of the live instances.
	Instances []string
	// New and Old count the usable endpoints of the ordered version and of other versions.
	New, Old int
}

// Conductor decides the steps of one rollout from the reports of all instances. If it fails,
// another instance takes over and rebuilds its state from new reports. It uses no clock and does no
// I/O, and is not safe for concurrent use.
type Conductor struct {
	order    fleet.Rollout
	schedule Schedule
	// orderedAt is the earliest known time of the order.
	orderedAt time.Time
	reports   map[string]receivedReport
	// pastTally is the sum of the tallies of restarted instances before their restart.
	pastTally Tally
	evidence  Evidence
	step      step
	// stepSince is the start of the step; firstAnswerAt is the time of the first answer of the new
	// version.
	stepSince     time.Time
	firstAnswerAt time.Time
	// oldSeenAt is when endpoints of other versions last existed.
	oldSeenAt time.Time
	// decided is the state to be recorded; recorded is the state in the record.
	decided  State
	recorded State
	// recordLost is set if the store was restored since the final state was recorded, until it has been
	// found there or written again.
	recordLost bool
	// recordReadAt is when the record was last read, or zero.
	recordReadAt time.Time
}

// NewConductor returns a Conductor for an order. share limits the fraction of requests for a bad
// version.
func NewConductor(order fleet.Rollout, share float64, now time.Time) *Conductor {
	return &Conductor{order: order, schedule: NewSchedule(order, share), orderedAt: now, reports: map[string]receivedReport{}, pastTally: NewTally(), stepSince: now, oldSeenAt: now}
}

// Renew processes the order as the source lists it now. It returns true if the source was restored
// since, so that the record may be lost and has to be read and, if it is, written again. A state that
// was recorded remains final.
func (c *Conductor) Renew(order fleet.Rollout) bool {
	restored := order.ListedAt().InLaterEraThan(c.order.ListedAt())
	c.order = order
	switch {
	case restored && c.recorded.Final():
		c.recordLost = true
	case restored:
		c.recorded = ""
	}
	return restored
}

// Order returns the rollout order.
func (c *Conductor) Order() fleet.Rollout { return c.order }

// AddReport processes a report.
func (c *Conductor) AddReport(now time.Time, r Report) {
	before, known := c.reports[r.Instance]
	if known && before.Incarnation > r.Incarnation {
		return
	}
	if known && before.Incarnation < r.Incarnation {
		c.pastTally.merge(before.Tally)
	}
	if begun := now.Add(-time.Duration(r.AgeMs) * time.Millisecond); begun.Before(c.orderedAt) {
		c.orderedAt = begun
	}
	if r.State.Final() {
		c.decide(r.State)
	}
	if r.RecordLost && !c.recorded.Final() {
		c.recorded, c.recordLost = r.State, true
	}
	if reached := min(stepFull, step(r.Step)); reached > c.step {
		// A previous conductor had enough evidence for this step.
		c.step, c.stepSince = reached, now
	}
	c.reports[r.Instance] = receivedReport{Report: r, at: now}
}

// SetRecorded processes the content of the record as of the given time; state is empty if the record
// does not cover this order.
func (c *Conductor) SetRecorded(at time.Time, state State) {
	if at.After(c.recordReadAt) {
		c.recordReadAt = at
	}
	switch {
	case c.recorded.Final():
		c.recordLost = c.recordLost && state != c.recorded
	case state != "":
		c.recorded = state
	}
}

// decide sets the state to be recorded. The first decision is final, except that a version found
// bad before its completion is recorded is reverted. A completion is kept even if the record is
// unreachable, because a write whose reply was lost may still take effect and stop the old
// endpoints.
func (c *Conductor) decide(state State) {
	if c.decided == "" || state == Reverted {
		c.decided = state
	}
}

// PendingState returns the state the record should have, and whether it must be written.
func (c *Conductor) PendingState() (State, bool) {
	switch {
	case c.recorded.Final():
		return c.recorded, c.recordLost
	case c.decided.Final():
		return c.decided, true
	}
	return Running, c.recorded == ""
}

// Withdraw handles a withdrawn or replaced order.
func (c *Conductor) Withdraw() { c.decide(Reverted) }

// Tally returns the sum of all reported tallies.
func (c *Conductor) Tally() Tally {
	sum := c.pastTally.clone()
	for _, r := range c.reports {
		sum.merge(r.Tally)
	}
	return sum
}

// Advance evaluates the evidence, advances the rollout if possible, and reports whether anything
// changed.
func (c *Conductor) Advance(now time.Time, seen Observation) bool {
	if c.recorded.Final() || c.decided == Reverted {
		return false
	}
	if seen.Old > 0 {
		c.oldSeenAt = now
	}
	c.evidence.Update(c.Tally())
	if c.evidence.Bad() {
		c.decide(Reverted)
		return true
	}
	if c.decided == Completed {
		return false
	}
	if c.firstAnswerAt.IsZero() && c.evidence.Answers() > 0 {
		c.firstAnswerAt = now
	}
	if next, due := c.nextStep(now, seen); due {
		c.step, c.stepSince = next, now
		if next > stepFull {
			c.decide(Completed)
		}
		return true
	}
	return false
}

// nextStep returns the next step and whether it is due. The step after stepFull completes the
// rollout.
func (c *Conductor) nextStep(now time.Time, seen Observation) (step, bool) {
	if !c.RecordFresh(now) || seen.New == 0 {
		return c.step, false
	}
	age := now.Sub(c.orderedAt)
	switch {
	case c.step == stepWaiting && seen.Old == 0:
		return stepFull, now.Sub(c.oldSeenAt) >= oldGoneFor
	case c.step == stepWaiting:
		return stepTrial, true
	case c.step == stepTrial:
		return stepTrial + 1, age >= c.schedule.trialEnd() && c.trialPassed(now)
	case c.step < stepFull:
		return c.step + 1, now.Sub(c.stepSince) >= c.schedule.stepDuration() && !c.evidence.Suspicious()
	}
	// Close to the deadline, calls that can resume elsewhere are not waited for, so that a single
	// long stream does not delay the rollout.
	movable := age >= c.schedule.drainedBy()
	return c.step + 1, now.Sub(c.stepSince) >= fullTrafficFor && !c.evidence.Suspicious() && c.oldDrained(now, seen, movable)
}

// trialPassed reports whether the trial was long enough without suspicion against the version.
func (c *Conductor) trialPassed(now time.Time) bool {
	return !c.firstAnswerAt.IsZero() && now.Sub(c.firstAnswerAt) >= c.schedule.minTrialDuration() &&
		c.evidence.Answers() >= minAnswers && !c.evidence.Suspicious()
}

// oldDrained reports whether no instance uses the old endpoints any more. If movable is set, calls
// that can resume elsewhere are ignored.
func (c *Conductor) oldDrained(now time.Time, seen Observation, movable bool) bool {
	for _, name := range seen.Instances {
		r, known := c.reports[name]
		switch {
		case !known:
			if now.Sub(c.orderedAt) < reportMissingAfter {
				return false
			}
		case now.Sub(r.at) >= reportMissingAfter:
		case now.Sub(r.at) > reportFreshFor || !r.Clear && !(movable && r.Movable):
			return false
		}
	}
	return true
}

// RecordFresh reports whether the record was read recently.
func (c *Conductor) RecordFresh(now time.Time) bool {
	return !c.recordReadAt.IsZero() && now.Sub(c.recordReadAt) <= recordValidFor
}

// Instruction returns the current instruction for instances.
func (c *Conductor) Instruction(now time.Time) Instruction {
	switch {
	case c.recorded == Completed:
		return Instruction{Exposure: fleet.Proven, State: Completed, Recorded: !c.recordLost}
	case c.recorded == Reverted || c.decided == Reverted:
		return Instruction{Exposure: fleet.Refuted, State: Reverted, Recorded: c.recorded == Reverted && !c.recordLost}
	case c.decided == Completed:
		return Instruction{Exposure: fleet.Proven, State: Completed, Step: int(stepFull)}
	case !c.RecordFresh(now) || c.step == stepWaiting:
		return Instruction{Exposure: fleet.Withheld, State: Running}
	case c.step >= stepFull:
		return Instruction{Exposure: fleet.Proven, State: Running, Step: int(c.step)}
	}
	return Instruction{Exposure: fleet.Tried, Share: c.currentShare(), State: Running, Step: int(c.step)}
}

// currentShare returns the fraction of requests for the new version.
func (c *Conductor) currentShare() float64 {
	if c.step == stepTrial {
		return c.schedule.trialShare()
	}
	return c.schedule.stepShare(int(c.step-stepTrial) - 1)
}

// StrongestEvidence returns the highest weight of evidence against the version and its measure.
func (c *Conductor) StrongestEvidence() (float64, string) { return c.evidence.weight() }

// Answers returns the number of answers of the new version that were evaluated.
func (c *Conductor) Answers() int { return c.evidence.Answers() }
