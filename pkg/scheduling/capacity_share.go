package scheduling

import (
	"time"
)

const (
	// shareIncrease and shareDecrease are the relative changes of the share per mean call latency
	// (multiplicative increase and decrease).
	shareIncrease = 0.25
	shareDecrease = 0.25
	// shortageWindow is how long a rejection for lack of capacity keeps the share growing.
	shortageWindow = 100 * time.Millisecond
)

// SetInstances sets the number of instances that share the endpoints.
func (p *Pool) SetInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.instances {
		return
	}
	p.instances = max(n, 1)
	p.share = 1 / float64(p.instances)
}

// adaptShare adjusts the share between an equal split and the whole capacity: down when calls
// queue at the endpoints, up when work queues here only.
func (p *Pool) adaptShare(now time.Time, r Report) {
	least := 1 / float64(p.instances)
	// Each call in flight sends one report, so a step of 1/inFlight per report adds up to one
	// change per call latency, the delay after which the effect is visible.
	step := 1 / float64(max(p.inFlight, 1))
	switch {
	case r.Waiting > 0:
		p.share = max(least, p.share*(1-shareDecrease*step))
	case p.queue.length > 0 || now.Sub(p.lastShortage) < shortageWindow:
		p.share = min(1, p.share*(1+shareIncrease*step))
	}
}

// noteShortage records that a request was rejected for lack of capacity.
func (p *Pool) noteShortage(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastShortage = now
}
