package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// minSilentCall is the minimum duration of a failed call after which its endpoint is considered
	// unresponsive. An endpoint whose process has exited refuses connections at once.
	minSilentCall = 200 * time.Millisecond
)

// ProbeNow ends the back-offs of the endpoints of a failure domain that await a probe, because the
// failure domain is connected to again.
func (b *Batcher) ProbeNow(failureDomain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for _, w := range s.workers {
			if w.unreachable() && w.endpoint.FailureDomain == failureDomain {
				w.backoffUntil, w.backoff = b.clock.Now(), minFailureBackoff
			}
		}
	}
}

// probeDomain probes the idle workers of a failure domain in which a call got no response, so that
// no further calls are lost if the whole domain is unreachable.
func (b *Batcher) probeDomain(domain string, now time.Time) {
	for _, s := range b.services {
		for _, w := range s.workers {
			if w.endpoint.FailureDomain != domain || w.running > 0 || w.needsProbe {
				continue
			}
			w.needsProbe = true
			w.backoffUntil = now
			w.probing = true
			go b.probe(s, w)
		}
	}
}

// probeFailed probes the workers whose last call failed and whose back-off has ended.
func (b *Batcher) probeFailed(s *service, now time.Time) {
	for _, w := range s.workers {
		if !w.needsProbe || w.probing || now.Before(w.backoffUntil) {
			continue
		}
		w.probing = true
		go b.probe(s, w)
	}
}

// probe makes a worker available again if its endpoint can be reached; otherwise the worker backs
// off.
func (b *Batcher) probe(s *service, w *worker) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := b.caller.Probe(ctx, w.endpoint)
	b.mu.Lock()
	defer b.mu.Unlock()
	w.probing = false
	if err != nil {
		w.recordFailure(b.clock.Now())
		return
	}
	b.markReached(s, w)
}

// markReached makes a worker available after its endpoint has answered.
func (b *Batcher) markReached(s *service, w *worker) {
	w.needsProbe = false
	b.log.WithFields(logrus.Fields{"event": "endpoint_reached", "endpoint": w.endpoint.ID, "service": s.key.Service}).Info()
	b.dispatch(s)
}
