package pipeline

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// precedenceFor is how long a queue that had no room in time for a plan is kept for plans as
	// urgent: long enough that two of them come meanwhile at the rate at which a part gets them, and
	// short enough that less urgent ones are admitted as soon as none is refused any more.
	precedenceFor = 400 * time.Millisecond
	// floorOf is of how many less urgent plans one is still admitted meanwhile, by its forecast, so
	// that no kind of request goes unserved.
	floorOf = 4
)

// precedence tells for which plans a queue is kept, after a plan was refused for it. Plans are made in
// the order in which they are due, so that less urgent ones which are admitted take the places of more
// urgent ones that come later. Not safe for concurrent use.
type precedence struct {
	priority int
	until    time.Time
}

// refused notes that a plan of a priority was refused for the queue.
func (p *precedence) refused(now time.Time, priority int) {
	if now.Before(p.until) && p.priority < priority {
		return
	}
	p.priority, p.until = priority, now.Add(precedenceFor)
}

// keeps tells whether the queue is kept for plans that are more urgent than one.
func (p *precedence) keeps(now time.Time, plan *Plan) bool {
	return now.Before(p.until) && p.priority < plan.Priority && xxhash.Sum64String(plan.Request)%floorOf != 0
}
