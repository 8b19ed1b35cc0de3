package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

// applyBackoffs extends the back-off of workers to what their endpoints requested, in any response
// to this process. A worker in back-off gets no calls and does not count in forecasts.
func (b *Batcher) applyBackoffs(workers []*worker, now time.Time) {
	for _, w := range workers {
		if until := now.Add(b.registry.Backoff(w.endpoint.ID)); until.After(w.backoffUntil) {
			w.backoffUntil = until
		}
	}
}

// minBackoff returns the time until the first of the workers' endpoints accepts calls; 0 if one
// does.
func (b *Batcher) minBackoff(workers []*worker) time.Duration {
	return notice.MinRemaining(workers, func(w *worker) time.Duration { return b.registry.Backoff(w.endpoint.ID) })
}
