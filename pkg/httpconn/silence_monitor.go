package httpconn

import (
	"context"
	"time"
)

const (
	// silenceCheckAfter is how long a call may be without a response before its link is checked.
	silenceCheckAfter = 250 * time.Millisecond
	// recentlyHeard is how long a response of any endpoint of a failure domain shows that the links to
	// that domain are not silent.
	recentlyHeard = 500 * time.Millisecond
	// silenceCheckTimeout bounds a check.
	silenceCheckTimeout = time.Second
)

// silenceMonitor records when the endpoints of each failure domain last responded over a direct
// connection. The mutex of the pool protects it.
type silenceMonitor struct {
	heardAt  map[string]time.Time
	checking map[string]bool
}

func newSilenceMonitor() silenceMonitor {
	return silenceMonitor{heardAt: map[string]time.Time{}, checking: map[string]bool{}}
}

// begin registers a call that may be broken off.
func (p *Pool) begin(x *exchange) {
	if !x.call.Repeatable || x.conn.tunneled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[x.conn.target.ID]; e != nil {
		e.calls[x] = struct{}{}
	}
}

// end unregisters a call.
func (p *Pool) end(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[x.conn.target.ID]; e != nil {
		delete(e.calls, x)
	}
}

// heard records a response.
func (p *Pool) heard(x *exchange) {
	if x.conn.tunneled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence.heardAt[x.conn.target.FailureDomain] = p.clock.Now()
}

// checkSilence connects to the endpoint of a call that has no response yet, unless other endpoints of
// its failure domain have responded lately. The dialer draws the conclusions.
func (p *Pool) checkSilence(x *exchange) {
	domain := x.conn.target.FailureDomain
	if x.conn.tunneled() || !p.beginCheck(domain) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()
	_ = p.CheckConnect(ctx, x.conn.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silence.checking, domain)
}

// beginCheck reports whether the links to a failure domain should be checked now.
func (p *Pool) beginCheck(domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.silence.checking[domain] || p.clock.Since(p.silence.heardAt[domain]) < recentlyHeard {
		return false
	}
	p.silence.checking[domain] = true
	return true
}

// DropDirect closes the idle direct connections to the endpoints that match. If the links are silent,
// it also breaks off the calls on direct connections that may be repeated.
func (p *Pool) DropDirect(match func(Target) bool, silent bool) {
	p.closeIdle(func(c *conn) bool { return match(c.target) })
	if !silent {
		return
	}
	for _, x := range p.directCalls(match) {
		x.linkLost.Store(true)
		x.conn.reset()
	}
}

// directCalls returns the calls in progress on direct connections that may be repeated.
func (p *Pool) directCalls(match func(Target) bool) []*exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []*exchange
	for _, e := range p.endpoints {
		for x := range e.calls {
			if match(x.conn.target) {
				calls = append(calls, x)
			}
		}
	}
	return calls
}
