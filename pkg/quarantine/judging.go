package quarantine

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// judgeAll judges a request, and those under which the same endpoints ended.
func (t *Table) judgeAll(r *request) {
	for life := range r.ends {
		for d := range t.under[life] {
			t.judge(d)
		}
	}
}

// judge decides whether a request is refused. An end counts unless another request explains it better:
// one that is itself over the bound, and under which more endpoints ended. Where two ran beside each
// other each time, which happens in services of three endpoints, neither is refused until it shows which
// of them it was: they go apart, one ends another endpoint, and the other runs well. So a request that ran
// beside such a one is not taken for it, and all who know the same ends come to the same decision.
func (t *Table) judge(d Digest) {
	r := t.requests[d]
	counted := 0
	for life, e := range r.ends {
		if !e.cleared && !t.explained(r, life) {
			counted++
		}
	}
	held := counted >= endsHeldAnyway || counted >= endsHeld && !t.rivalled(r)
	if held != r.held {
		r.held = held
		t.logHeld(d, r)
	}
}

// explained tells whether a life ended under another request that is the likelier cause.
func (t *Table) explained(r *request, life string) bool {
	own := r.standing()
	for d := range t.under[life] {
		other := t.requests[d]
		if other != r && !other.ends[life].cleared && other.standing() >= endsHeld && other.standing() > own {
			return true
		}
	}
	return false
}

// rivalled tells whether another request ran beside this one each time an endpoint ended, and never
// without it. There are ends against this one.
func (t *Table) rivalled(r *request) bool {
	lives := r.lives()
	for d := range t.under[lives[0]] {
		if other := t.requests[d]; other != r && slices.Equal(other.lives(), lives) {
			return true
		}
	}
	return false
}

// logHeld counts and logs that a request is refused from now on, or is not any more.
func (t *Table) logHeld(d Digest, r *request) {
	event := "request_released"
	if r.held {
		event = "request_quarantined"
		t.held++
	} else {
		t.held--
	}
	t.log.WithFields(logrus.Fields{
		"event": event, "digest": d.String(), "endpoints": r.lives(), "ends": r.standing(),
		"age_ms": t.clock.Since(r.last).Milliseconds(),
	}).Warn()
}
