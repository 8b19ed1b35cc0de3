package rollout

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// State is that of a rollout, as operators are told.
type State string

// The states.
const (
	Running   State = "running"
	Completed State = "completed"
	Reverted  State = "reverted"
)

// Final tells whether the state is the last one.
func (s State) Final() bool { return s == Completed || s == Reverted }

// Report is what an instance tells the conductor of a rollout.
type Report struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the revision of the order, AgeMs how long the instance knows it, in milliseconds.
	Order uint64 `json:"order"`
	AgeMs int64  `json:"age_ms"`
	// Instance and Incarnation name the life whose counts these are.
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// State is the last one that the instance was told.
	State State `json:"state,omitempty"`
	// Step is the one that it was told last.
	Step int `json:"step,omitempty"`
	// Tally is all that it has seen of the rollout.
	Tally Tally `json:"tally,omitempty"`
	// Clear says that it sends nothing to the old endpoints any more, and that nothing of its is under way there.
	Clear bool `json:"clear,omitempty"`
	// Movable says the same, but for calls that go on elsewhere when their endpoint stops.
	Movable bool `json:"movable,omitempty"`
}

// Instruction is the conductor's answer. The zero value withholds the version.
type Instruction struct {
	Exposure fleet.Exposure `json:"exposure"`
	// Share is the part of the requests that a version gets that is tried.
	Share float64 `json:"share,omitempty"`
	// State is the one that is decided, and Recorded says that operators have been told. Until then instances go on
	// reporting: the conductor may end before it has told them.
	State    State `json:"state,omitempty"`
	Recorded bool  `json:"recorded,omitempty"`
	// Step is the one that the rollout has reached.
	Step int `json:"step,omitempty"`
}

const (
	// heardWithin is how long ago an instance must have reported what it says to count.
	heardWithin = time.Second
	// missedFor is the silence after which an instance is not waited for any more: it has ended, or is cut off.
	// One that is cut off and lives sends to the old endpoints, which are gone then, and tries others.
	missedFor = 8 * time.Second
	// confirmedFor is how long the record of the rollout may go unread: another instance may have written, on
	// the other side of a cut, that the version is bad.
	confirmedFor = 3 * time.Second
	// aloneFor is how long no endpoint of another version must have been there until there is nothing to move: all
	// may have crashed, and be back soon.
	aloneFor = 2 * time.Second
	// allFor is how long all traffic goes to the new version at least before the old endpoints may stop.
	allFor = 500 * time.Millisecond
)

// step of a rollout.
type step int

// The steps. Those between trying and all are counted from trying on.
const (
	waiting step = iota
	trying
)

// all is the step at which all traffic has moved.
const all = trying + step(len(stepParts)) + 1

// told is an instance's last report, and when it came.
type told struct {
	Report
	at time.Time
}

// Seen is what a conductor sees around it.
type Seen struct {
	// Instances are the names of those that live.
	Instances []string
	// New and Old are how many endpoints of the order's version and of others may get work.
	New, Old int
}

// Conductor decides the steps of one rollout, by what all instances report. Another takes over when it ends: what it
// needs, each instance reports anew. It reads no clock and does no I/O; it belongs to one goroutine.
type Conductor struct {
	order    fleet.Rollout
	schedule Schedule
	// begun is when the order was given, as far as is known.
	begun   time.Time
	reports map[string]told
	// past is what instances reported that have started anew since.
	past     Tally
	evidence Evidence
	step     step
	// stepAt is when the step began, answersAt when the first answer of the version came.
	stepAt    time.Time
	answersAt time.Time
	// othersAt is when endpoints of other versions were last there.
	othersAt time.Time
	// decided is what is to be recorded, and recorded what the record says.
	decided  State
	recorded State
	// confirmed is as of when the record was read last; the zero time: it never was.
	confirmed time.Time
}

// NewConductor returns the conductor of an order that was heard of at a time. A bad version may get a share
// of all requests.
func NewConductor(order fleet.Rollout, share float64, now time.Time) *Conductor {
	return &Conductor{order: order, schedule: NewSchedule(order, share), begun: now, reports: map[string]told{}, past: NewTally(), stepAt: now, othersAt: now}
}

// Order is the order that it conducts.
func (c *Conductor) Order() fleet.Rollout { return c.order }

// Hear takes in a report.
func (c *Conductor) Hear(now time.Time, r Report) {
	before, known := c.reports[r.Instance]
	if known && before.Incarnation > r.Incarnation {
		return
	}
	if known && before.Incarnation < r.Incarnation {
		c.past.include(before.Tally)
	}
	if begun := now.Add(-time.Duration(r.AgeMs) * time.Millisecond); begun.Before(c.begun) {
		c.begun = begun
	}
	if r.State.Final() {
		c.decide(r.State)
	}
	if reached := min(all, step(r.Step)); reached > c.step {
		// Another conductor, which has ended, had seen enough for it.
		c.step, c.stepAt = reached, now
	}
	c.reports[r.Instance] = told{Report: r, at: now}
}

// Recorded takes in what the record of the rollout says, as of a time; empty if it says nothing of this order.
func (c *Conductor) Recorded(at time.Time, state State) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
	if state != "" {
		c.recorded = state
	}
}

// decide takes in what is to be recorded. What is decided first stays, but for a version found bad before its
// completion is recorded. That a rollout is completed holds on though the record can't be reached: a writing whose
// answer was lost may have been done, or be done seconds later, and the old endpoints stop then.
func (c *Conductor) decide(state State) {
	if c.decided == "" || state == Reverted {
		c.decided = state
	}
}

// Due is what the record has to say that it does not say yet.
func (c *Conductor) Due() (State, bool) {
	switch {
	case c.recorded.Final():
		return c.recorded, false
	case c.decided.Final():
		return c.decided, true
	}
	return Running, c.recorded == ""
}

// Withdraw takes in that the order was taken back or replaced.
func (c *Conductor) Withdraw() { c.decide(Reverted) }

// Tally is what all instances have reported.
func (c *Conductor) Tally() Tally {
	sum := c.past.clone()
	for _, r := range c.reports {
		sum.include(r.Tally)
	}
	return sum
}

// Look decides the next step, and tells whether there is one.
func (c *Conductor) Look(now time.Time, seen Seen) bool {
	if c.recorded.Final() || c.decided == Reverted {
		return false
	}
	if seen.Old > 0 {
		c.othersAt = now
	}
	c.evidence.Weigh(c.Tally())
	if c.evidence.Bad() {
		c.decide(Reverted)
		return true
	}
	if c.decided == Completed {
		return false
	}
	if c.answersAt.IsZero() && c.evidence.Answers() > 0 {
		c.answersAt = now
	}
	if next, due := c.next(now, seen); due {
		c.step, c.stepAt = next, now
		if next > all {
			c.decide(Completed)
		}
		return true
	}
	return false
}

// next returns the step that is due, if one is. After all comes the end.
func (c *Conductor) next(now time.Time, seen Seen) (step, bool) {
	if !c.Confirmed(now) || seen.New == 0 {
		return c.step, false
	}
	age := now.Sub(c.begun)
	switch {
	case c.step == waiting && seen.Old == 0:
		return all, now.Sub(c.othersAt) >= aloneFor
	case c.step == waiting:
		return trying, true
	case c.step == trying:
		return trying + 1, age >= c.schedule.triedUntil() && c.trusted(now)
	case c.step < all:
		return c.step + 1, now.Sub(c.stepAt) >= c.schedule.stepTakes() && !c.evidence.Suspicious()
	}
	// Shortly before the deadline only what can't go on elsewhere is waited for: one long stream would have the
	// rollout miss it.
	movable := age >= c.schedule.endsAt()
	return c.step + 1, now.Sub(c.stepAt) >= allFor && c.clear(now, seen, movable)
}

// trusted tells whether the version was tried long enough, and nothing speaks against it.
func (c *Conductor) trusted(now time.Time) bool {
	return !c.answersAt.IsZero() && now.Sub(c.answersAt) >= c.schedule.triedFor() &&
		c.evidence.Answers() >= leastAnswers && !c.evidence.Suspicious()
}

// clear tells whether no instance sends to the old endpoints any more, and nothing is under way there; but for what is
// movable, if that may be left.
func (c *Conductor) clear(now time.Time, seen Seen, movable bool) bool {
	for _, name := range seen.Instances {
		r, known := c.reports[name]
		switch {
		case !known:
			if now.Sub(c.begun) < missedFor {
				return false
			}
		case now.Sub(r.at) >= missedFor:
		case now.Sub(r.at) > heardWithin || !r.Clear && !(movable && r.Movable):
			return false
		}
	}
	return true
}

// Confirmed tells whether the record was read not long ago.
func (c *Conductor) Confirmed(now time.Time) bool {
	return !c.confirmed.IsZero() && now.Sub(c.confirmed) <= confirmedFor
}

// Instruction is what instances are to do now.
func (c *Conductor) Instruction(now time.Time) Instruction {
	switch {
	case c.recorded == Completed:
		return Instruction{Exposure: fleet.Proven, State: Completed, Recorded: true}
	case c.recorded == Reverted || c.decided == Reverted:
		return Instruction{Exposure: fleet.Refuted, State: Reverted, Recorded: c.recorded == Reverted}
	case c.decided == Completed:
		return Instruction{Exposure: fleet.Proven, State: Completed, Step: int(all)}
	case !c.Confirmed(now) || c.step == waiting:
		return Instruction{Exposure: fleet.Withheld, State: Running}
	case c.step >= all:
		return Instruction{Exposure: fleet.Proven, State: Running, Step: int(c.step)}
	}
	return Instruction{Exposure: fleet.Tried, Share: c.share(), State: Running, Step: int(c.step)}
}

// share is the part of the requests that the version gets.
func (c *Conductor) share() float64 {
	if c.step == trying {
		return c.schedule.tried()
	}
	return c.schedule.step(int(c.step-trying) - 1)
}

// Against is the weight of what speaks most against the version, and the measure that it is of.
func (c *Conductor) Against() (float64, string) { return c.evidence.weight() }

// Answers is how many answers of the version were weighed.
func (c *Conductor) Answers() int { return c.evidence.Answers() }
