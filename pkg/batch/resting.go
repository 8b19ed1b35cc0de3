package batch

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
)

// Endpoints may want rest from this machine, whichever call they told it. Their workers get no call until then,
// whatever else speaks for one, and count in no forecast: a stage whose makers all rest takes what is left of the rest.

// heed has workers rest for as long as their endpoints want, in whichever answer they said so.
func (b *Batcher) heed(workers []*worker, now time.Time) {
	for _, w := range workers {
		if until := now.Add(b.known.Rest(w.endpoint.ID)); until.After(w.restUntil) {
			w.restUntil = until
		}
	}
}

// leastRest is how long it takes until the first of the workers' endpoints wants calls; 0 if one does.
func (b *Batcher) leastRest(workers []*worker) time.Duration {
	return notice.MinRemaining(workers, func(w *worker) time.Duration { return b.known.Rest(w.endpoint.ID) })
}
