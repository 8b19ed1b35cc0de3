package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

func countFailed(results []Result) int {
	n := 0
	for _, r := range results {
		if r.Handle == "" {
			n++
		}
	}
	return n
}

// firstReason is that of the first piece that was not made; empty if all were.
func firstReason(results []Result) string {
	for _, r := range results {
		if r.Handle == "" {
			return string(r.Reason)
		}
	}
	return ""
}

// barredRest is how long an endpoint gets no call after one that it may not get: until it is known why.
const barredRest = 20 * time.Millisecond

// settle hands results out, puts pieces back that may be tried again, and returns the
// results that nobody waits for.
func (b *Batcher) settle(s *service, w *worker, items []*item, results []Result, outcome CallOutcome, batching *route.Batching, now time.Time) []Result {
	if outcome != Made {
		b.callFailed(s, w, items, outcome, now)
		return nil
	}
	var unused []Result
	var lacked int64
	for i, it := range items {
		r := results[i]
		if r.Handle == "" {
			if r.Reason == NoRoom {
				lacked += it.piece.Bytes
			}
			b.pieceFailed(s, it, r.Reason)
			continue
		}
		r.Endpoint = w.endpoint.ID
		r.Domain = w.endpoint.FailureDomain
		r.Queue = s.at
		r.Bytes = it.piece.Bytes
		r.Until = now.Add(batching.Retention)
		w.held[r.Handle] = heldResult{bytes: it.piece.Bytes, until: r.Until}
		if it.group.abandoned {
			b.wasted.Inc()
			unused = append(unused, r)
			continue
		}
		it.group.settle(it.slot, r)
	}
	if lacked > 0 {
		w.noRoom(now, lacked, batching)
	}
	return unused
}

func (b *Batcher) callFailed(s *service, w *worker, items []*item, outcome CallOutcome, now time.Time) {
	switch outcome {
	case Barred:
		// It says nothing of the endpoint.
		w.restUntil = now.Add(barredRest)
	case NotRun:
		w.full(now)
	default:
		w.failed(now)
	}
	for _, it := range items {
		if outcome == Lost {
			b.putBack(s, it)
			continue
		}
		b.untried(s, it)
	}
}

// untried puts a piece back that nothing was done for.
func (b *Batcher) untried(s *service, it *item) {
	if it.group.inputsGone() {
		it.group.settle(it.slot, Result{Reason: Gone})
		return
	}
	b.unfetched(it)
	it.tries--
	s.queue.add(it)
}

// unfetched notes that a piece's inputs have not been fetched after all.
func (b *Batcher) unfetched(it *item) {
	if it.fetched {
		it.fetched = false
		it.group.unread++
	}
}

func (b *Batcher) pieceFailed(s *service, it *item, reason Reason) {
	switch reason {
	case NoRoom:
		b.untried(s, it)
	case Gone, Late:
		it.group.settle(it.slot, Result{Reason: reason})
	default:
		b.putBack(s, it)
	}
}

// putBack puts a piece back if it may be made again.
func (b *Batcher) putBack(s *service, it *item) {
	if it.group.abandoned {
		return
	}
	if it.group.inputsGone() {
		it.group.settle(it.slot, Result{Reason: Gone})
		return
	}
	b.unfetched(it)
	if it.tries >= maxTries || !b.budget.TryRetry(s.at.Service, 1) {
		it.group.settle(it.slot, Result{Reason: Exhausted})
		return
	}
	b.again.Inc()
	s.queue.add(it)
}
