package decision

import (
	"time"
)

const (
	// shareIncrease and shareDecrease are the parts by which the share of the capacity
	// grows and shrinks in the usual time of a call.
	shareIncrease = 0.25
	shareDecrease = 0.25
	// pressedFor is how long a refusal for lack of capacity counts as a reason to grow.
	pressedFor = 100 * time.Millisecond
)

// SetSharers sets the number of instances that use the same endpoints.
func (p *Pool) SetSharers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.sharers {
		return
	}
	p.sharers = max(n, 1)
	p.share = 1 / float64(p.sharers)
}

// adaptShare moves the share of the capacity between an equal part and the whole:
// up while work waits here but none at the endpoints, down when some waits there.
func (p *Pool) adaptShare(now time.Time, r Report) {
	least := 1 / float64(p.sharers)
	// Each call in flight reports once, so that this is the part of one change for
	// each usual time of a call: the effect shows only after that.
	part := 1 / float64(max(p.inFlight, 1))
	switch {
	case r.Waiting > 0:
		p.share = max(least, p.share*(1-shareDecrease*part))
	case p.queue.length > 0 || now.Sub(p.pressed) < pressedFor:
		p.share = min(1, p.share*(1+shareIncrease*part))
	}
}

// press says that a request was refused for lack of the pool's capacity.
func (p *Pool) press(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pressed = now
}
