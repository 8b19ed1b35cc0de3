package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// fillAcrossDomains adds pieces that prefer other failure domains to a call that would otherwise
// hold under half of the pieces that fit, if the queue holds at least a full batch for each free
// worker. Each call has a fixed cost, so a nearly empty one costs more than the transfers.
func (s *service) fillAcrossDomains(items []*item, w *worker, workers []*worker, freeBytes int64, batching *route.Batching, now time.Time) []*item {
	halfFull := float64(len(items)) >= smallBatchRatio*float64(batching.Size)
	if halfFull || !s.contended(items, w, workers, batching, now) {
		return items
	}
	rest := s.queue.items
	added := s.queue.take(batching.Size-len(items), freeBytes-resultBytes(items), w.allows)
	fit := len(items) + len(added)
	if float64(len(items)) >= smallBatchRatio*float64(fit) {
		s.queue.items = rest
		return items
	}
	return append(items, added...)
}

// contended reports whether the queue, including the items taken for a call to w, holds at least a
// full batch for each free worker. Only pieces that may run at w count.
func (s *service) contended(items []*item, w *worker, workers []*worker, batching *route.Batching, now time.Time) bool {
	free := 0
	for _, other := range workers {
		if other.available(now, batching) {
			free++
		}
	}
	allowed := len(items)
	for _, i := range s.queue.items {
		if w.allows(i) {
			allowed++
		}
	}
	return allowed >= free*batching.Size
}

// allows reports whether a piece may run in the worker's failure domain.
func (w *worker) allows(i *item) bool { return i.piece.allowedIn(w.endpoint.FailureDomain) }

// countCrossed counts the items that prefer another failure domain.
func countCrossed(items []*item, domain string) int {
	n := 0
	for _, i := range items {
		if preferred := i.domain(); preferred != "" && preferred != domain {
			n++
		}
	}
	return n
}

// resultBytes returns the total size of the results of items.
func resultBytes(items []*item) int64 {
	bytes := int64(0)
	for _, i := range items {
		bytes += i.piece.Bytes
	}
	return bytes
}
