package batch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// inspectIdleTime is the idle time after which the state of a queue's endpoints is stale,
	// because another planner may have called them.
	inspectIdleTime = 2 * time.Second
	// inspectTimeout bounds one inspection of the endpoints of a queue.
	inspectTimeout = 150 * time.Millisecond
	// remainingCallShare is the average fraction of a running call that remains.
	remainingCallShare = 0.5
)

// Report is the load that an endpoint reports. It may be several hundred milliseconds old.
type Report struct {
	// Waiting is the number of queued calls. Busy is set if a call is running.
	Waiting int
	Busy    bool
	// FreeBytes is an upper bound of the free result memory; some endpoints report only an estimate
	// that may exceed their total memory.
	FreeBytes int64
}

// Inspect asks the endpoints of queues that this planner has not called recently for their load,
// since they may run calls or hold results of another planner. It returns when they have answered
// or ctx ends.
func (b *Batcher) Inspect(ctx context.Context, queues []Queue) {
	var inspections []chan struct{}
	for _, at := range queues {
		if inspection := b.startInspection(at); inspection != nil {
			inspections = append(inspections, inspection)
		}
	}
	for _, inspection := range inspections {
		select {
		case <-inspection:
		case <-ctx.Done():
			return
		}
	}
}

// startInspection returns a channel that is closed when the endpoints of a queue have been
// inspected; nil if their state is recent enough.
func (b *Batcher) startInspection(at Queue) chan struct{} {
	batching := b.registry.Batching(at.Service)
	if batching == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(at)
	now := b.clock.Now()
	if s.inspection == nil && now.Sub(s.checkedAt) > inspectIdleTime && len(s.queue.items) == 0 {
		s.inspection = make(chan struct{})
		go b.inspect(s, s.refreshWorkers(b.registry.Ready(at.Service)), batching)
	}
	s.checkedAt = now
	return s.inspection
}

// inspect queries all workers concurrently and ends the inspection when all have answered or the
// timeout expires.
func (b *Batcher) inspect(s *service, workers []*worker, batching *route.Batching) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, w := range workers {
		endpoint := w.endpoint
		group.Go(func() { b.inspectWorker(ctx, s, w, endpoint, batching) })
	}
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	close(s.inspection)
	s.inspection = nil
	s.checkedAt = b.clock.Now()
}

func (b *Batcher) inspectWorker(ctx context.Context, s *service, w *worker, endpoint fleet.Endpoint, batching *route.Batching) {
	report, err := b.caller.Report(ctx, endpoint)
	fields := logrus.Fields{"event": "endpoint_inspected", "service": s.key.Service, "endpoint": endpoint.ID}
	if err != nil {
		b.log.WithFields(fields).Info(err)
	} else {
		fields["waiting"], fields["busy"], fields["free"] = report.Waiting, report.Busy, report.FreeBytes
		b.log.WithFields(fields).Info()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch now := b.clock.Now(); {
	case w.running > 0:
		// A call sent in the meantime provides more recent state.
	case ctx.Err() != nil:
		// The endpoint did not answer and may be partitioned off: it must be probed first.
		w.recordFailure(now)
	case err != nil:
		// The endpoint answers but does not report its load: it is assumed to be idle.
	default:
		w.applyReport(now, report, batching)
		if w.needsProbe {
			w.backoffUntil = now
			b.markReached(s, w)
		}
	}
}

// applyReport updates a worker that has no calls of this planner from a report.
func (w *worker) applyReport(now time.Time, report Report, batching *route.Batching) {
	call := float64(w.expectedTime(now, batching.CallTime(batching.Size)))
	busy := float64(report.Waiting)
	calls := report.Waiting
	if report.Busy {
		busy += remainingCallShare
		calls++
	}
	w.external = externalCalls{count: calls, until: now.Add(time.Duration(busy * call))}
	w.externalBytes, w.externalBytesAt = 0, now
	if taken := batching.MemoryBytes - report.FreeBytes - w.heldBytes(now); taken > 0 {
		w.externalBytes = taken
	}
}
