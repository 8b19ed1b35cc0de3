package batch

import "time"

// Capacity returns the current capacity of the endpoints of a queue.
func (b *Batcher) Capacity(at Queue) Capacity {
	batching := b.registry.Batching(at.Service)
	if batching == nil {
		return Capacity{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(at)
	workers := s.refreshWorkers(b.registry.Ready(at.Service))
	now := b.clock.Now()
	b.applyBackoffs(workers, now)
	full := batching.CallTime(batching.Size).Seconds()
	c := Capacity{MemoryBytes: batching.MemoryBytes, Size: batching.Size, Backoff: b.minBackoff(workers)}
	if c.Backoff > 0 {
		c.CallTime = batching.CallTime(batching.Size)
	}
	slots := 0
	speed := 0.0
	for _, w := range workers {
		if w.unreachable() || now.Before(w.backoffUntil.Add(-maxFullBackoff)) {
			continue
		}
		perSecond := float64(batching.Size*max(1, batching.Slots)) / (full * w.slownessAt(now))
		c.PerSecond += perSecond
		if w.external.running(now) > 0 {
			c.ExternalBacklog += perSecond * w.external.until.Sub(now).Seconds()
		}
		c.AtOnce += batching.Size * max(1, batching.Slots)
		slots += max(1, batching.Slots)
		speed += float64(max(1, batching.Slots)) / w.slownessAt(now)
	}
	if slots > 0 {
		size := max(int(s.meanBatchSize+0.5), 1+len(s.queue.items)/slots)
		call := float64(batching.CallTime(min(batching.Size, size))) * float64(slots) / speed
		c.CallTime = time.Duration(call) + time.Duration(call)/time.Duration(2*slots)
	}
	return c
}
