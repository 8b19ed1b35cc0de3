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

// firstReason returns the reason of the first piece that was not completed; empty if there is none.
func firstReason(results []Result) string {
	for _, r := range results {
		if r.Handle == "" {
			return string(r.Reason)
		}
	}
	return ""
}

// barredBackoff is the back-off of a worker whose call was barred.
const barredBackoff = 20 * time.Millisecond

// handleResults settles the pieces of a call, requeues those that may be retried and returns the
// results of abandoned groups.
func (b *Batcher) handleResults(s *service, w *worker, items []*item, results []Result, outcome CallOutcome, batching *route.Batching, now time.Time) []Result {
	if outcome != Made {
		b.handleCallFailure(s, w, items, outcome, now)
		return nil
	}
	var unused []Result
	var missingBytes int64
	for i, it := range items {
		r := results[i]
		if r.Handle == "" {
			if r.Reason == NoMemory {
				missingBytes += it.piece.Bytes
			}
			b.handlePieceFailure(s, it, r.Reason)
			continue
		}
		r.Endpoint = w.endpoint.ID
		r.Domain = w.endpoint.FailureDomain
		r.Queue = s.key
		r.Bytes = it.piece.Bytes
		r.Until = now.Add(batching.Retention)
		w.held[r.Handle] = heldResult{bytes: it.piece.Bytes, until: r.Until}
		if it.group.abandoned {
			b.unused.Inc()
			unused = append(unused, r)
			continue
		}
		it.group.settle(it.index, r)
	}
	if missingBytes > 0 {
		w.recordMemoryShortage(now, missingBytes, batching)
	}
	return unused
}

func (b *Batcher) handleCallFailure(s *service, w *worker, items []*item, outcome CallOutcome, now time.Time) {
	switch outcome {
	case Barred:
		// A barred call gives no information about the endpoint.
		w.backoffUntil = now.Add(barredBackoff)
	case NotRun:
		w.recordFull(now)
	default:
		w.recordFailure(now)
	}
	for _, it := range items {
		if outcome == Lost {
			b.retry(s, it)
			continue
		}
		b.requeue(s, it)
	}
}

// requeue returns a piece to the queue without counting an attempt.
func (b *Batcher) requeue(s *service, it *item) {
	if it.group.inputsReleased() {
		it.group.settle(it.index, Result{Reason: Gone})
		return
	}
	b.markNotFetched(it)
	it.attempts--
	s.queue.add(it)
}

// markNotFetched reverts the fetched state of a piece.
func (b *Batcher) markNotFetched(it *item) {
	if it.fetched {
		it.fetched = false
		it.group.unread++
	}
}

func (b *Batcher) handlePieceFailure(s *service, it *item, reason Reason) {
	switch reason {
	case NoMemory:
		b.requeue(s, it)
	case Gone, Late:
		it.group.settle(it.index, Result{Reason: reason})
	default:
		b.retry(s, it)
	}
}

// retry requeues a piece if its attempts and the retry budget allow it.
func (b *Batcher) retry(s *service, it *item) {
	if it.group.abandoned {
		return
	}
	if it.group.inputsReleased() {
		it.group.settle(it.index, Result{Reason: Gone})
		return
	}
	b.markNotFetched(it)
	if it.attempts >= maxAttempts || !b.budget.TryRetry(s.key.Service, 1) {
		it.group.settle(it.index, Result{Reason: Exhausted})
		return
	}
	b.retried.Inc()
	s.queue.add(it)
}
