package quarantine

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// reevaluateAll reevaluates a suspect and all others that were running on the same crashed endpoints.
func (t *Table) reevaluateAll(r *suspect) {
	affected := map[Digest]*suspect{}
	for incarnation := range r.crashes {
		for d := range t.suspectsByIncarnation[incarnation] {
			affected[d] = t.suspects[d]
		}
	}
	for d, s := range affected {
		if s.kind == PromptPart {
			quarantined, rivals := t.evaluatePart(d, s)
			s.rivals = rivals
			t.setQuarantined(d, s, quarantined)
			continue
		}
		t.setQuarantined(d, s, t.evaluateRequest(s))
	}
}

// evaluateRequest decides whether a request is quarantined. A crash counts unless another request
// explains it better: one that is over the threshold itself and has more crashes. If two requests
// were running at each crash, which happens in services with few endpoints, neither is quarantined
// until they are told apart: they are sent to different endpoints, where only one of them crashes
// again. The decision depends only on the set of crashes, so all instances that know the same
// crashes decide alike.
func (t *Table) evaluateRequest(r *suspect) bool {
	counted := 0
	for incarnation, e := range r.crashes {
		if !e.cleared && !t.explainedByOther(r, incarnation) {
			counted++
		}
	}
	return counted >= ambiguousThreshold || counted >= crashThreshold && !t.hasCoOccurring(r)
}

// setQuarantined sets whether a suspect is quarantined.
func (t *Table) setQuarantined(d Digest, r *suspect, quarantined bool) {
	if quarantined != r.quarantined {
		r.quarantined = quarantined
		t.logDecision(d, r)
	}
}

// explainedByOther reports whether another suspect of the same kind is the likelier cause of a crash.
func (t *Table) explainedByOther(r *suspect, incarnation string) bool {
	active := r.activeCrashes()
	for d := range t.suspectsByIncarnation[incarnation] {
		other := t.suspects[d]
		if other != r && other.kind == r.kind && !other.crashes[incarnation].cleared && other.activeCrashes() >= crashThreshold && other.activeCrashes() > active {
			return true
		}
	}
	return false
}

// hasCoOccurring reports whether another request was running at exactly the same crashes. The
// request has at least one crash.
func (t *Table) hasCoOccurring(r *suspect) bool {
	incarnations := r.activeIncarnations()
	for d := range t.suspectsByIncarnation[incarnations[0]] {
		if other := t.suspects[d]; other != r && other.kind == r.kind && slices.Equal(other.activeIncarnations(), incarnations) {
			return true
		}
	}
	return false
}

// logDecision counts and logs that a request or a part was quarantined or released.
func (t *Table) logDecision(d Digest, r *suspect) {
	event := r.kind.String() + "_released"
	if r.quarantined {
		event = r.kind.String() + "_quarantined"
		t.quarantinedCounts[r.kind]++
	} else {
		t.quarantinedCounts[r.kind]--
	}
	t.log.WithFields(logrus.Fields{
		"event": event, "digest": d.String(), "endpoints": r.activeIncarnations(), "ends": r.activeCrashes(),
		"rivals": len(r.rivals),
		"age_ms": t.clock.Since(r.lastCrash).Milliseconds(),
	}).Warn()
}
