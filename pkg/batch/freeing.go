package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Free gives results up at their makers, those of some time together.
func (b *Batcher) Free(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		if r.Handle != "" {
			b.freeing[r.Endpoint] = append(b.freeing[r.Endpoint], r)
		}
	}
}

// flush sends the results that are to be freed to their makers. Those of a maker that wants rest wait.
func (b *Batcher) flush() {
	b.mu.Lock()
	freeing := b.freeing
	b.freeing = map[string][]Result{}
	for id, results := range freeing {
		if b.known.Rest(id) > 0 {
			b.freeing[id] = results
			delete(freeing, id)
		}
	}
	b.mu.Unlock()
	for id, results := range freeing {
		if e, ok := b.known.Endpoint(id); ok {
			go b.free(e, results)
		}
	}
}

func (b *Batcher) free(e fleet.Endpoint, results []Result) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	if err := b.caller.Free(ctx, e, handles); err != nil {
		b.log.WithFields(logrus.Fields{"event": "results_not_freed", "endpoint": e.ID, "results": len(handles)}).Info(err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		s := b.services[r.Queue]
		if s == nil || s.workers[e.ID] == nil {
			continue
		}
		delete(s.workers[e.ID].held, r.Handle)
	}
}

// Capacity returns what the endpoints of a queue can do, as they are now.
func (b *Batcher) Capacity(at Queue) Capacity {
	batching := b.known.Batching(at.Service)
	if batching == nil {
		return Capacity{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(at)
	workers := s.update(b.known.Ready(at.Service))
	now := b.clock.Now()
	b.heed(workers, now)
	full := batching.CallTime(batching.Size).Seconds()
	c := Capacity{RoomBytes: batching.RoomBytes, Size: batching.Size}
	slots := 0
	speed := 0.0
	for _, w := range workers {
		if w.out() || now.Before(w.restUntil.Add(-lastFullRest)) {
			continue
		}
		perSecond := float64(batching.Size*max(1, batching.Slots)) / (full * w.slow(now))
		c.PerSecond += perSecond
		if w.others.running(now) > 0 {
			c.Others += perSecond * w.others.until.Sub(now).Seconds()
		}
		c.AtOnce += batching.Size * max(1, batching.Slots)
		slots += max(1, batching.Slots)
		speed += float64(max(1, batching.Slots)) / w.slow(now)
	}
	if slots > 0 {
		size := max(int(s.typical+0.5), 1+len(s.queue.items)/slots)
		call := float64(batching.CallTime(min(batching.Size, size))) * float64(slots) / speed
		c.Call = time.Duration(call) + time.Duration(call)/time.Duration(2*slots)
	}
	return c
}
