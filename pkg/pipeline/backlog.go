package pipeline

import "slices"

// backlog is the admitted plans of which pieces are still to be made at a queue. Not safe for
// concurrent use.
type backlog struct {
	waiting    []waiting
	precedence precedence
}

// waiting is what is not made yet of one plan.
type waiting struct {
	plan   *Plan
	pieces int
}

// add counts pieces of a plan in, or out if their number is negative.
func (b *backlog) add(plan *Plan, pieces int) {
	i := slices.IndexFunc(b.waiting, func(w waiting) bool { return w.plan == plan })
	if i < 0 {
		i = len(b.waiting)
		b.waiting = append(b.waiting, waiting{plan: plan})
	}
	b.waiting[i].pieces += pieces
	if b.waiting[i].pieces <= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// before returns how many pieces speak against a new plan: those of plans that are due before it,
// which are made first, and those of more urgent plans, which it must not make late.
func (b *backlog) before(plan *Plan) int {
	pieces := 0
	for _, w := range b.waiting {
		if !w.plan.Due.After(plan.Due) || w.plan.Priority < plan.Priority {
			pieces += w.pieces
		}
	}
	return pieces
}
