package batch

import (
	"time"
)

// Ledger is a planner's state of the endpoints in a partition, passed to the next planner.
type Ledger struct {
	Endpoints []EndpointLedger `json:"endpoints,omitempty"`
}

// EndpointLedger is the state of one endpoint. Times are durations from now because the clocks of
// instances differ.
type EndpointLedger struct {
	Queue    Queue  `json:"queue"`
	Endpoint string `json:"endpoint"`
	// Calls is the number of running calls, BusyMs their expected remaining time in milliseconds,
	// and ReservedBytes the memory reserved for their results.
	Calls         int   `json:"calls,omitempty"`
	BusyMs        int64 `json:"busy_ms,omitempty"`
	ReservedBytes int64 `json:"reserved_bytes,omitempty"`
	// Held lists the results stored at the endpoint. OthersBytes is the memory taken by results
	// that no planner tracks.
	Held        []HeldResult `json:"held,omitempty"`
	OthersBytes int64        `json:"others_bytes,omitempty"`
	// Slowness is the duration of calls relative to the configured time. Margin is the fraction of
	// the memory that is left free.
	Slowness float64 `json:"slowness"`
	Margin   float64 `json:"margin,omitempty"`
	// Unreached is set if the last call failed and the endpoint has not been reached since.
	Unreached bool `json:"unreached,omitempty"`
}

// HeldResult is a result stored at an endpoint.
type HeldResult struct {
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	// LeftMs is the time until the endpoint discards the result, in milliseconds.
	LeftMs int64 `json:"left_ms"`
}

// belongsTo reports whether the queue is in the given partition.
func (q Queue) belongsTo(part, parts int) bool { return q.Part == part && q.Parts == parts }

// Release stops the work of a partition: queued pieces are settled as moved, no further calls are
// sent, and running calls continue. It returns the state of the endpoints.
func (b *Batcher) Release(part, parts int) Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var ledger Ledger
	for at, s := range b.services {
		if !at.belongsTo(part, parts) {
			continue
		}
		s.released = true
		b.dispatch(s)
		for _, w := range s.workers {
			ledger.Endpoints = append(ledger.Endpoints, s.endpointLedger(w, now, b))
		}
	}
	return ledger
}

// endpointLedger returns the state of one endpoint.
func (s *service) endpointLedger(w *worker, now time.Time, b *Batcher) EndpointLedger {
	account := EndpointLedger{
		Queue:         s.key,
		Endpoint:      w.endpoint.ID,
		Calls:         w.running + w.external.running(now),
		BusyMs:        max(0, w.expectedIdle(now).Sub(now).Milliseconds()),
		ReservedBytes: w.reserved + w.external.reserved(now),
		Slowness:      w.slownessAt(now),
		Margin:        w.margin,
		Unreached:     w.unreachable(),
	}
	if batching := b.registry.Batching(s.key.Service); batching != nil {
		account.OthersBytes = w.externalBytesLeft(now, batching)
	}
	for handle, r := range w.held {
		if r.until.After(now) {
			account.Held = append(account.Held, HeldResult{Handle: handle, Bytes: r.bytes, LeftMs: r.until.Sub(now).Milliseconds()})
		}
	}
	return account
}

// Acquire starts the work of a partition with the state of its previous planner. Where this planner
// has its own measurements, the worse of the two applies. For endpoints at which a call of this
// planner succeeded recently, only running calls and stored results are imported, since the other
// planner may have been partitioned off. Acquire reports whether there is such an endpoint.
func (b *Batcher) Acquire(part, parts int, ledger Ledger) (planned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.resumeLocked(part, parts)
	for _, account := range ledger.Endpoints {
		if !account.Queue.belongsTo(part, parts) || b.registry.Batching(account.Queue.Service) == nil {
			continue
		}
		s := b.service(account.Queue)
		s.checkedAt = now
		s.refreshWorkers(b.registry.Ready(s.key.Service))
		w := s.workers[account.Endpoint]
		if w == nil {
			continue
		}
		w.importCalls(now, account)
		if w.recentlySucceeded(now) {
			planned = true
			continue
		}
		w.importState(now, account)
	}
	return planned
}

// Resume starts the work of a partition without previous state: its endpoints are inspected before
// the first forecast.
func (b *Batcher) Resume(part, parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resumeLocked(part, parts)
}

func (b *Batcher) resumeLocked(part, parts int) {
	for at, s := range b.services {
		if at.belongsTo(part, parts) && s.released {
			s.released = false
			s.checkedAt = time.Time{}
		}
	}
}

// importCalls imports the running calls and stored results of another planner.
func (w *worker) importCalls(now time.Time, account EndpointLedger) {
	if account.Calls > 0 {
		w.external = externalCalls{count: account.Calls, until: now.Add(time.Duration(account.BusyMs) * time.Millisecond), bytes: account.ReservedBytes}
	}
	for _, r := range account.Held {
		w.held[r.Handle] = heldResult{bytes: r.Bytes, until: now.Add(time.Duration(r.LeftMs) * time.Millisecond)}
	}
}

// recentlySucceeded reports whether a call of this planner succeeded recently.
func (w *worker) recentlySucceeded(now time.Time) bool {
	return !w.lastSuccess.IsZero() && now.Sub(w.lastSuccess) <= inspectIdleTime
}

// importState imports the measurements of another planner.
func (w *worker) importState(now time.Time, account EndpointLedger) {
	if account.OthersBytes > 0 {
		w.externalBytes, w.externalBytesAt = account.OthersBytes, now
	}
	w.slowness, w.slownessTime = max(w.slownessAt(now), account.Slowness), now
	w.margin = max(w.margin, min(maxMargin, account.Margin))
	if account.Unreached && w.running == 0 {
		w.recordFailure(now)
	}
}

// TrackResults tracks results made for another planner so that their memory is accounted for.
func (b *Batcher) TrackResults(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range results {
		s := b.services[r.Queue]
		if r.Handle == "" || s == nil || s.workers[r.Endpoint] == nil {
			continue
		}
		s.workers[r.Endpoint].held[r.Handle] = heldResult{bytes: r.Bytes, until: r.Until}
	}
}

// externalCalls is the running calls of another planner at an endpoint.
type externalCalls struct {
	count int
	until time.Time
	bytes int64
}

func (o externalCalls) running(now time.Time) int {
	if now.Before(o.until) {
		return o.count
	}
	return 0
}

func (o externalCalls) reserved(now time.Time) int64 {
	if now.Before(o.until) {
		return o.bytes
	}
	return 0
}
