package pipeline

import (
	"math"
	"slices"
	"time"
)

const (
	// arrivalTime is the time constant, as of an exponential mean, of the rates at which pieces
	// are asked for: short against an overload of some seconds, long against one request.
	arrivalTime = 1500 * time.Millisecond
	// leastPart is the part of a queue's endpoints that is left to the least urgent requests,
	// whatever more urgent ones ask for, so that none starves.
	leastPart = 0.15
)

// backlog is what a queue of pieces is asked for, by the priority of the requests. Not safe for
// concurrent use.
type backlog struct {
	// levels are in the order of their priorities, the most urgent first.
	levels []level
}

// level is the requests of one priority.
type level struct {
	priority int
	// ahead counts the pieces of admitted plans that are not made yet.
	ahead int
	// perSecond is the rate of the pieces that are asked for, admitted or not, as of at.
	perSecond float64
	at        time.Time
}

func (b *backlog) level(priority int) *level {
	i, found := slices.BinarySearchFunc(b.levels, priority, func(l level, p int) int { return l.priority - p })
	if !found {
		b.levels = slices.Insert(b.levels, i, level{priority: priority})
	}
	return &b.levels[i]
}

// add counts pieces of admitted plans in, or out if their number is negative.
func (b *backlog) add(priority, pieces int) {
	l := b.level(priority)
	l.ahead = max(0, l.ahead+pieces)
}

// asked notes that pieces were asked for.
func (b *backlog) asked(now time.Time, priority, pieces int) {
	l := b.level(priority)
	l.perSecond = l.rate(now) + float64(pieces)/arrivalTime.Seconds()
	l.at = now
}

// rate is the rate at a time.
func (l *level) rate(now time.Time) float64 {
	return l.perSecond * math.Exp(-now.Sub(l.at).Seconds()/arrivalTime.Seconds())
}

// before returns how many pieces are made before those of a new request of a priority: its own
// and more urgent ones.
func (b *backlog) before(priority int) int {
	pieces := 0
	for _, l := range b.levels {
		if l.priority <= priority {
			pieces += l.ahead
		}
	}
	return pieces
}

// left is the rate that is left of the endpoints' to requests of a priority by what more urgent
// ones ask for.
func (b *backlog) left(now time.Time, priority int, perSecond float64) float64 {
	left := perSecond
	for i := range b.levels {
		if b.levels[i].priority < priority {
			left -= b.levels[i].rate(now)
		}
	}
	return max(leastPart*perSecond, left)
}
