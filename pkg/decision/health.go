package decision

import (
	"time"
)

const (
	// ejectableShare bounds the share of endpoints that are ejected at a time.
	ejectableShare = 0.5
	// slowDeviations is how many mean deviations above the mean a call must take to
	// count as failed when it is broken off.
	slowDeviations = 4
	// retryShare is the share of retries in successful calls that the budget grants,
	// and maxRetries what it saves up at most.
	retryShare = 0.1
	maxRetries = 10.0
)

// learn takes in what a call told about its endpoint.
func (p *Pool) learn(now time.Time, t *target, g *Grant, result Result) {
	switch result {
	case Success:
		took := now.Sub(g.start)
		p.latency.add(now, took)
		service := t.uncontended(took)
		t.latency.add(now, service)
		p.service.add(now, service)
		p.retries = min(maxRetries, p.retries+retryShare)
		t.succeeded()
	case Failure:
		p.failed(now, t)
	case Unreachable:
		p.eject(now, t)
	case Busy:
		t.lower(now)
	case Draining:
		if !t.Leaving && p.targets[t.Name] == t {
			t.Leaving = true
			p.live--
		}
	case Lacking:
		p.lacks(now, t, g.work.Model)
	case Abandoned:
		p.abandoned(now, t, g)
	}
}

func (p *Pool) failed(now time.Time, t *target) {
	t.failures++
	if t.failures >= failuresToEject || t.probation {
		p.eject(now, t)
	}
}

// abandoned learns from a call that was broken off. One that had already taken far
// longer than usual counts as failed, with the time it took as a lower bound.
func (p *Pool) abandoned(now time.Time, t *target, g *Grant) {
	mean, deviation := p.latency.at(now)
	took := now.Sub(g.start)
	if p.latency.samples == 0 || took < seconds(mean+slowDeviations*deviation) {
		return
	}
	t.latency.add(now, took)
	p.failed(now, t)
}

// eject takes a target out, unless too many are out.
func (p *Pool) eject(now time.Time, t *target) {
	if t.ejected() || float64(len(p.ejected)+1) > ejectableShare*float64(p.live) {
		return
	}
	t.eject(now)
	p.ejected = append(p.ejected, t)
	if p.nextReturn.IsZero() || t.ejectedUntil.Before(p.nextReturn) {
		p.nextReturn = t.ejectedUntil
	}
}

// readmit ends the ejections whose time is up.
func (p *Pool) readmit(now time.Time) {
	if p.nextReturn.IsZero() || now.Before(p.nextReturn) {
		return
	}
	p.nextReturn = time.Time{}
	kept := p.ejected[:0]
	for _, t := range p.ejected {
		if !now.Before(t.ejectedUntil) {
			t.readmit()
			p.settle(t)
			continue
		}
		kept = append(kept, t)
		if p.nextReturn.IsZero() || t.ejectedUntil.Before(p.nextReturn) {
			p.nextReturn = t.ejectedUntil
		}
	}
	p.ejected = kept
}

// TryRetry takes one retry from the budget, which successful calls fill, and tells
// whether there was one.
func (p *Pool) TryRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retries < 1 {
		return false
	}
	p.retries--
	return true
}
