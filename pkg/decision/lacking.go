package decision

import (
	"maps"
	"time"
)

// lackingLife is how long an endpoint's word counts that it does not hold a model.
// Placement may bring the model there at any time.
const lackingLife = 5 * time.Second

// lacks notes that a target does not hold a model.
func (p *Pool) lacks(now time.Time, t *target, model string) {
	targets := p.lacking[model]
	if targets == nil {
		targets = map[*target]time.Time{}
		p.lacking[model] = targets
	}
	targets[t] = now.Add(lackingLife)
	if len(targets) > p.live {
		dropOld(now, targets)
	}
}

// dropOld forgets targets whose word no longer counts, or that are gone.
func dropOld(now time.Time, targets map[*target]time.Time) {
	maps.DeleteFunc(targets, func(t *target, until time.Time) bool {
		return t.Leaving || now.After(until)
	})
}

// allLack tells whether no live target is known that might hold a model.
func (p *Pool) allLack(now time.Time, model string) bool {
	targets := p.lacking[model]
	if model == "" || len(targets) < p.live {
		return false
	}
	dropOld(now, targets)
	return len(targets) >= p.live
}
