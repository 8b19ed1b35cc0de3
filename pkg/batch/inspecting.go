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
	// inspectAfter is the time without work after which what is known of a queue's endpoints is
	// old: they may have worked for another planner since.
	inspectAfter = 2 * time.Second
	// inspectTimeout bounds how long endpoints are waited for that are asked what they do.
	inspectTimeout = 150 * time.Millisecond
	// halfDone is the part of a call that is left, on average, at an endpoint that is at work.
	halfDone = 0.5
)

// Report is what an endpoint tells of itself. It may be some hundred milliseconds old.
type Report struct {
	// Waiting is how many calls wait there; Busy tells whether one is at work.
	Waiting int
	Busy    bool
	// FreeBytes is how much of its room for results is free at most: some endpoints tell it
	// roughly, and may have less room altogether.
	FreeBytes int64
}

// Inspect asks the endpoints of queues what they do to which this planner has sent nothing for
// a while: they may be at work for another, or hold results of one that has died. It returns
// when they have answered or ctx ends.
func (b *Batcher) Inspect(ctx context.Context, queues []Queue) {
	var inspections []chan struct{}
	for _, at := range queues {
		if inspection := b.beginInspection(at); inspection != nil {
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

// beginInspection returns what is closed when the endpoints of a queue have been asked; nil if
// enough is known of them.
func (b *Batcher) beginInspection(at Queue) chan struct{} {
	batching := b.known.Batching(at.Service)
	if batching == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(at)
	now := b.clock.Now()
	if s.inspection == nil && now.Sub(s.lookedAt) > inspectAfter && len(s.queue.items) == 0 {
		s.inspection = make(chan struct{})
		go b.inspect(s, s.update(b.known.Ready(at.Service)), batching)
	}
	s.lookedAt = now
	return s.inspection
}

// inspect asks all workers at once, and ends the inspection when all have answered or the time
// is over.
func (b *Batcher) inspect(s *service, workers []*worker, batching *route.Batching) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, w := range workers {
		endpoint := w.endpoint
		group.Go(func() { b.ask(ctx, s, w, endpoint, batching) })
	}
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	close(s.inspection)
	s.inspection = nil
	s.lookedAt = b.clock.Now()
}

func (b *Batcher) ask(ctx context.Context, s *service, w *worker, endpoint fleet.Endpoint, batching *route.Batching) {
	report, err := b.caller.Report(ctx, endpoint)
	fields := logrus.Fields{"event": "endpoint_inspected", "service": s.at.Service, "endpoint": endpoint.ID}
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
		// What was sent meanwhile tells more.
	case ctx.Err() != nil:
		// It is silent, and may be cut off: it gets work, and counts in forecasts, when it has been
		// reached.
		w.failed(now)
	case err != nil:
		// It answers, but does not tell what it does: it is taken to be free.
	default:
		w.inspected(now, report, batching)
	}
}

// inspected takes in what an endpoint told that has no call of this planner.
func (w *worker) inspected(now time.Time, report Report, batching *route.Batching) {
	call := float64(w.expected(now, batching.CallTime(batching.Size)))
	busy := float64(report.Waiting)
	calls := report.Waiting
	if report.Busy {
		busy += halfDone
		calls++
	}
	w.others = othersWork{calls: calls, until: now.Add(time.Duration(busy * call))}
	w.unaccounted, w.unaccountedAt = 0, now
	if taken := batching.RoomBytes - report.FreeBytes - w.heldBytes(now); taken > 0 {
		w.unaccounted = taken
	}
}
