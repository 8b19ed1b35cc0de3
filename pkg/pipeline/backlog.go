package pipeline

import "slices"

// backlog is the admitted plans with pieces pending at a queue, and the demand for it. It is not
// safe for concurrent use.
type backlog struct {
	plans  []pendingPlan
	demand demand
}

// pendingPlan is the number of pending pieces of one plan.
type pendingPlan struct {
	plan   *Plan
	pieces int
}

// add adds pieces of a plan, or removes them if the number is negative.
func (b *backlog) add(plan *Plan, pieces int) {
	i := slices.IndexFunc(b.plans, func(w pendingPlan) bool { return w.plan == plan })
	if i < 0 {
		i = len(b.plans)
		b.plans = append(b.plans, pendingPlan{plan: plan})
	}
	b.plans[i].pieces += pieces
	if b.plans[i].pieces <= 0 {
		b.plans = slices.Delete(b.plans, i, i+1)
	}
}

// piecesBefore returns the number of pieces that take precedence over a new plan: those of plans
// due earlier, which run first, and those of more urgent plans, which it must not delay. Plans that
// are served late run after all others.
func (b *backlog) piecesBefore(plan *Plan) int {
	pieces := 0
	for _, w := range b.plans {
		if w.plan.precedes(plan) {
			pieces += w.pieces
		}
	}
	return pieces
}

// precedes reports whether a plan takes precedence over a new one.
func (p *Plan) precedes(plan *Plan) bool {
	if p.late != plan.late {
		return plan.late
	}
	return !p.Due.After(plan.Due) || p.Priority < plan.Priority
}

// pieces returns the number of pending pieces.
func (b *backlog) pieces() int {
	pieces := 0
	for _, w := range b.plans {
		pieces += w.pieces
	}
	return pieces
}
