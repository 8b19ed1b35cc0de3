package batch

import "time"

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
	c := Capacity{RoomBytes: batching.RoomBytes, Size: batching.Size, Rest: b.leastRest(workers)}
	if c.Rest > 0 {
		c.Call = batching.CallTime(batching.Size)
	}
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
