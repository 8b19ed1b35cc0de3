package quarantine

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// reevaluateAll reevaluates a request and all requests that were running on the same crashed
// endpoints.
func (t *Table) reevaluateAll(r *request) {
	for incarnation := range r.crashes {
		for d := range t.requestsByIncarnation[incarnation] {
			t.reevaluate(d)
		}
	}
}

// reevaluate decides whether a request is quarantined. A crash counts unless another request
// explains it better: one that is over the threshold itself and has more crashes. If two requests
// were running at each crash, which happens in services with few endpoints, neither is quarantined
// until they are told apart: they are sent to different endpoints, where only one of them crashes
// again. The decision depends only on the set of crashes, so all instances that know the same
// crashes decide alike.
func (t *Table) reevaluate(d Digest) {
	r := t.requests[d]
	counted := 0
	for incarnation, e := range r.crashes {
		if !e.cleared && !t.explainedByOther(r, incarnation) {
			counted++
		}
	}
	held := counted >= ambiguousThreshold || counted >= crashThreshold && !t.hasCoOccurring(r)
	if held != r.quarantined {
		r.quarantined = held
		t.logDecision(d, r)
	}
}

// explainedByOther reports whether another request is the likelier cause of a crash.
func (t *Table) explainedByOther(r *request, incarnation string) bool {
	active := r.activeCrashes()
	for d := range t.requestsByIncarnation[incarnation] {
		other := t.requests[d]
		if other != r && !other.crashes[incarnation].cleared && other.activeCrashes() >= crashThreshold && other.activeCrashes() > active {
			return true
		}
	}
	return false
}

// hasCoOccurring reports whether another request was running at exactly the same crashes. The
// request has at least one crash.
func (t *Table) hasCoOccurring(r *request) bool {
	incarnations := r.activeIncarnations()
	for d := range t.requestsByIncarnation[incarnations[0]] {
		if other := t.requests[d]; other != r && slices.Equal(other.activeIncarnations(), incarnations) {
			return true
		}
	}
	return false
}

// logDecision counts and logs that a request was quarantined or released.
func (t *Table) logDecision(d Digest, r *request) {
	event := "request_released"
	if r.quarantined {
		event = "request_quarantined"
		t.quarantinedCount++
	} else {
		t.quarantinedCount--
	}
	t.log.WithFields(logrus.Fields{
		"event": event, "digest": d.String(), "endpoints": r.activeIncarnations(), "ends": r.activeCrashes(),
		"age_ms": t.clock.Since(r.lastCrash).Milliseconds(),
	}).Warn()
}
