package batch

import (
	"time"
)

// Ledger is what one planner knows of the endpoints of a part, for the next one.
type Ledger struct {
	Endpoints []EndpointLedger `json:"endpoints,omitempty"`
}

// EndpointLedger is what is known of one endpoint. Times are told as times left, since the
// clocks of two instances differ.
type EndpointLedger struct {
	Queue    Queue  `json:"queue"`
	Endpoint string `json:"endpoint"`
	// Calls is how many are under way, BusyMs the time in milliseconds that they are expected to
	// last, and ReservedBytes the room for their results.
	Calls         int   `json:"calls,omitempty"`
	BusyMs        int64 `json:"busy_ms,omitempty"`
	ReservedBytes int64 `json:"reserved_bytes,omitempty"`
	// Held are the results that it keeps; OthersBytes is the room of results that nobody has
	// an account of.
	Held        []HeldResult `json:"held,omitempty"`
	OthersBytes int64        `json:"others_bytes,omitempty"`
	// Slowness is the time of its calls as a multiple of the configured time; Margin the part of
	// its room that is left free.
	Slowness float64 `json:"slowness"`
	Margin   float64 `json:"margin,omitempty"`
	// Unreached says that its last call failed, and that it was not reached since.
	Unreached bool `json:"unreached,omitempty"`
}

// HeldResult is a result that an endpoint keeps.
type HeldResult struct {
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	// LeftMs is when the endpoint gives it up by itself, in milliseconds from now.
	LeftMs int64 `json:"left_ms"`
}

// in tells whether a queue is one of a part of so many.
func (q Queue) in(part, parts int) bool { return q.Part == part && q.Parts == parts }

// Release stops the work of a part: what waits is settled as moved, no call begins, and those
// under way go on. It returns what is known of the part's endpoints.
func (b *Batcher) Release(part, parts int) Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var ledger Ledger
	for at, s := range b.services {
		if !at.in(part, parts) {
			continue
		}
		s.released = true
		b.dispatch(s)
		for _, w := range s.workers {
			ledger.Endpoints = append(ledger.Endpoints, s.account(w, now, b))
		}
	}
	return ledger
}

// account is what is known of one endpoint.
func (s *service) account(w *worker, now time.Time, b *Batcher) EndpointLedger {
	account := EndpointLedger{
		Queue:         s.at,
		Endpoint:      w.endpoint.ID,
		Calls:         w.running + w.others.running(now),
		BusyMs:        max(0, w.busyAt(now).Sub(now).Milliseconds()),
		ReservedBytes: w.reserved + w.others.reserved(now),
		Slowness:      w.slow(now),
		Margin:        w.margin,
		Unreached:     w.out(),
	}
	if batching := b.known.Batching(s.at.Service); batching != nil {
		account.OthersBytes = w.othersRoom(now, batching)
	}
	for handle, r := range w.held {
		if r.until.After(now) {
			account.Held = append(account.Held, HeldResult{Handle: handle, Bytes: r.bytes, LeftMs: r.until.Sub(now).Milliseconds()})
		}
	}
	return account
}

// Take begins the work of a part, with what another planner knew of its endpoints. Where this
// one knows something itself, the worse of the two counts. Of an endpoint at which a call of this planner
// has ended lately, only what is at work and held there is taken over: the other may have been cut off
// from it, and it would rest though this one reaches it. Take tells whether there is such an endpoint.
func (b *Batcher) Take(part, parts int, ledger Ledger) (planned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.resume(part, parts)
	for _, account := range ledger.Endpoints {
		if !account.Queue.in(part, parts) || b.known.Batching(account.Queue.Service) == nil {
			continue
		}
		s := b.service(account.Queue)
		s.lookedAt = now
		s.update(b.known.Ready(s.at.Service))
		w := s.workers[account.Endpoint]
		if w == nil {
			continue
		}
		w.takeWork(now, account)
		if w.endedLately(now) {
			planned = true
			continue
		}
		w.takeOver(now, account)
	}
	return planned
}

// Resume begins the work of a part of which nothing is known: its endpoints are asked before
// the first forecast.
func (b *Batcher) Resume(part, parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resume(part, parts)
}

func (b *Batcher) resume(part, parts int) {
	for at, s := range b.services {
		if at.in(part, parts) && s.released {
			s.released = false
			s.lookedAt = time.Time{}
		}
	}
}

// takeWork takes in which calls of another planner an endpoint works on, and what it holds of them.
func (w *worker) takeWork(now time.Time, account EndpointLedger) {
	if account.Calls > 0 {
		w.others = othersWork{calls: account.Calls, until: now.Add(time.Duration(account.BusyMs) * time.Millisecond), bytes: account.ReservedBytes}
	}
	for _, r := range account.Held {
		w.held[r.Handle] = heldResult{bytes: r.Bytes, until: now.Add(time.Duration(r.LeftMs) * time.Millisecond)}
	}
}

// endedLately tells whether a call of this planner has ended at the endpoint as it should, not long ago.
func (w *worker) endedLately(now time.Time) bool {
	return !w.endedAt.IsZero() && now.Sub(w.endedAt) <= inspectAfter
}

// takeOver takes in what another planner saw of an endpoint.
func (w *worker) takeOver(now time.Time, account EndpointLedger) {
	if account.OthersBytes > 0 {
		w.unaccounted, w.unaccountedAt = account.OthersBytes, now
	}
	w.slowness, w.learntAt = max(w.slow(now), account.Slowness), now
	w.margin = max(w.margin, min(maxMargin, account.Margin))
	if account.Unreached && w.running == 0 {
		w.failed(now)
	}
}

// Adopt takes results in that another planner had made, so that their room is counted.
func (b *Batcher) Adopt(results []Result) {
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

// othersWork is the calls under way at an endpoint that another planner sent.
type othersWork struct {
	calls int
	until time.Time
	bytes int64
}

func (o othersWork) running(now time.Time) int {
	if now.Before(o.until) {
		return o.calls
	}
	return 0
}

func (o othersWork) reserved(now time.Time) int64 {
	if now.Before(o.until) {
		return o.bytes
	}
	return 0
}
