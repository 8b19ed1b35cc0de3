package scheduling

import (
	"maps"
	"time"
)

// missingModelTTL is how long a target is skipped after it reported a model as missing. Placement
// may load the model there at any time.
const missingModelTTL = 5 * time.Second

// recordMissingModel marks a model as missing at a target.
func (p *Pool) recordMissingModel(now time.Time, t *target, model string) {
	targets := p.missing[model]
	if targets == nil {
		targets = map[*target]time.Time{}
		p.missing[model] = targets
	}
	targets[t] = now.Add(missingModelTTL)
	if len(targets) > p.live {
		pruneMissing(now, targets)
	}
}

// pruneMissing removes expired entries and leaving targets.
func pruneMissing(now time.Time, targets map[*target]time.Time) {
	maps.DeleteFunc(targets, func(t *target, until time.Time) bool {
		return t.Leaving || now.After(until)
	})
}

// allMissing reports whether every live target is marked as missing the model.
func (p *Pool) allMissing(now time.Time, model string) bool {
	targets := p.missing[model]
	if model == "" || len(targets) < p.live {
		return false
	}
	pruneMissing(now, targets)
	return len(targets) >= p.live
}
