package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reachTimeout bounds how long an endpoint may take to be reached.
	reachTimeout = 300 * time.Millisecond
	// silentAfter is how long a call that failed has taken at least if its endpoint was
	// silent. One whose process has ended refuses at once.
	silentAfter = 200 * time.Millisecond
)

// suspectDomain has the workers of a failure domain reached that have no calls: it may be
// cut off, and each of them would cost its pieces the time of a call that fails.
func (b *Batcher) suspectDomain(domain string, now time.Time) {
	for _, s := range b.services {
		for _, w := range s.workers {
			if w.endpoint.FailureDomain != domain || w.running > 0 || w.unproved {
				continue
			}
			w.unproved = true
			w.restUntil = now
			w.proving = true
			go b.reach(s, w)
		}
	}
}

// prove has the workers reached whose last call failed and which have rested: pieces
// that are urgent do not wait for an endpoint that may be cut off.
func (b *Batcher) prove(s *service, now time.Time) {
	for _, w := range s.workers {
		if !w.unproved || w.proving || now.Before(w.restUntil) {
			continue
		}
		w.proving = true
		go b.reach(s, w)
	}
}

// reach gives a worker calls again if it can be reached, and lets it rest otherwise.
func (b *Batcher) reach(s *service, w *worker) {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	err := b.caller.Reach(ctx, w.endpoint)
	b.mu.Lock()
	defer b.mu.Unlock()
	w.proving = false
	if err != nil {
		w.failed(b.clock.Now())
		return
	}
	w.unproved = false
	b.log.WithFields(logrus.Fields{"event": "endpoint_reached", "endpoint": w.endpoint.ID, "service": s.at.Service}).Info()
	b.dispatch(s)
}
