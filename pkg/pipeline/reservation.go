package pipeline

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservationTime is how long a queue that refused a plan is reserved for plans of at least the
	// same urgency. It spans the expected arrival of a few such plans but lets less urgent plans in
	// soon after the refusals stop.
	reservationTime = 400 * time.Millisecond
	// One in floorDivisor less urgent plans is still considered during a reservation, so that no
	// priority is starved.
	floorDivisor = 4
)

// reservation keeps a queue for urgent plans after one was refused. Plans run in the order of their
// due times, so less urgent plans that are admitted would displace more urgent ones that arrive
// later. It is not safe for concurrent use.
type reservation struct {
	priority int
	until    time.Time
}

// recordRefusal records that the queue refused a plan of a priority.
func (r *reservation) recordRefusal(now time.Time, priority int) {
	if now.Before(r.until) && r.priority < priority {
		return
	}
	r.priority, r.until = priority, now.Add(reservationTime)
}

// excludes reports whether the queue is reserved for plans more urgent than the given one.
func (r *reservation) excludes(now time.Time, plan *Plan) bool {
	return now.Before(r.until) && r.priority < plan.Priority && xxhash.Sum64String(plan.Request)%floorDivisor != 0
}
