package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// skipReason is why an available worker gets no call in a dispatch round.
type skipReason int

const (
	// notSkipped: the worker got a call or was not considered.
	notSkipped skipReason = iota
	// waitsForMemory: the worker has too little free memory for a large enough batch.
	waitsForMemory
	// noEligiblePieces: all queued pieces are better processed elsewhere.
	noEligiblePieces
)

// sendBatch sends a batch to a worker, or returns why the worker is skipped.
func (b *Batcher) sendBatch(s *service, w *worker, workers []*worker, batching *route.Batching, now time.Time) skipReason {
	all := s.queue.items
	freeBytes := w.freeBytes(now, batching)
	items := s.queue.take(batching.Size, freeBytes, s.eligible(now, w, workers, batching))
	if len(items) == 0 {
		return noEligiblePieces
	}
	small := float64(len(items)) < smallBatchRatio*float64(min(len(all), batching.Size))
	scarce := freeBytes < batching.MemoryBytes/2
	if small && scarce && now.Sub(w.idleSince) < memoryWait {
		s.queue.items = all
		return waitsForMemory
	}
	b.send(s, w, items, batching)
	return notSkipped
}

// eligible returns a filter for the pieces that a worker should take. It excludes pieces that may
// not run in the worker's failure domain and those for which waiting for an endpoint in the
// preferred domain is cheaper than the transfer.
func (s *service) eligible(now time.Time, w *worker, workers []*worker, batching *route.Batching) func(*item) bool {
	call := batching.CallTime(batching.Size)
	finishHere := now.Add(w.expectedTime(now, call))
	domainFinish := map[string]time.Time{}
	for _, other := range workers {
		finish := other.expectedFinish(now, call)
		if best, ok := domainFinish[other.endpoint.FailureDomain]; !ok || finish.Before(best) {
			domainFinish[other.endpoint.FailureDomain] = finish
		}
	}
	assigned := map[string]int{}
	return func(i *item) bool {
		if !i.piece.allowedIn(w.endpoint.FailureDomain) {
			return false
		}
		domain := i.domain()
		if domain == "" || domain == w.endpoint.FailureDomain {
			return true
		}
		finishThere, ok := domainFinish[domain]
		if !ok {
			return true
		}
		finishThere = finishThere.Add(time.Duration(assigned[domain]/batching.Size) * call)
		assigned[domain]++
		saved := time.Duration(i.piece.transferBytes()) * transferCostPerByte
		return finishThere.After(finishHere.Add(saved)) || finishThere.After(i.piece.Due) && !finishHere.After(i.piece.Due)
	}
}

// chooseWorker returns the worker for the next call, or nil if the queue should wait. It leaves out
// skipped workers and those slower than enough others to take the whole queue, and prefers workers
// in the failure domain of the first piece.
func (s *service) chooseWorker(now time.Time, workers []*worker, skipped map[*worker]skipReason, batching *route.Batching) *worker {
	waiting := len(s.queue.items)
	size := min(waiting, batching.Size)
	call := batching.CallTime(size)
	calls := (waiting + batching.Size - 1) / batching.Size
	domain := s.queue.items[0].domain()
	need := s.queue.items[0].piece.Bytes
	var best *worker
	var bestLocal bool
	for _, w := range workers {
		if skipped[w] != notSkipped || !w.available(now, batching) || w.freeBytes(now, batching) < need {
			continue
		}
		if countFaster(now, w, workers, skipped, call) >= calls {
			continue
		}
		local := domain != "" && w.endpoint.FailureDomain == domain
		if best == nil || local && !bestLocal || local == bestLocal && w.slownessAt(now) < best.slownessAt(now) {
			best, bestLocal = w, local
		}
	}
	return best
}

// countFaster counts the workers that would finish a call before w, including busy ones. Workers
// without eligible pieces do not count; otherwise pieces would wait for them while w is idle, for
// 2,200 ms and more in a deployment without other work.
func countFaster(now time.Time, w *worker, workers []*worker, skipped map[*worker]skipReason, call time.Duration) int {
	own := w.expectedFinish(now, call)
	n := 0
	for _, other := range workers {
		if other != w && skipped[other] != noEligiblePieces && other.expectedFinish(now, call).Before(own) {
			n++
		}
	}
	return n
}
