package scheduling

import (
	"time"
)

const (
	// maxEjectedFraction bounds the fraction of live endpoints that are ejected at the same time.
	maxEjectedFraction = 0.5
	// slowDeviations is the number of mean deviations above the mean latency after which an
	// abandoned call counts as a failure.
	slowDeviations = 4
	// retryRatio is the number of retry tokens earned per successful call, and maxRetryTokens the
	// capacity of the retry budget.
	retryRatio     = 0.1
	maxRetryTokens = 10.0
)

// recordResult updates the health and latency statistics from a finished call.
func (p *Pool) recordResult(now time.Time, t *target, g *Grant, result Result) {
	switch result {
	case Success:
		took := now.Sub(g.start)
		p.latency.add(now, took)
		service := t.serviceTime(took)
		t.latency.add(now, service)
		p.service.add(now, service)
		p.retryTokens = min(maxRetryTokens, p.retryTokens+retryRatio)
		t.recordSuccess()
	case Failure:
		p.recordFailure(now, t)
	case Unreachable:
		p.eject(now, t)
	case Busy:
		t.reduceLimit(now)
	case Draining:
		if !t.Leaving && p.targets[t.Name] == t {
			t.Leaving = true
			p.live--
		}
	case ModelMissing:
		p.recordMissingModel(now, t, g.work.Model)
	case Abandoned:
		p.recordAbandoned(now, t, g)
	}
}

func (p *Pool) recordFailure(now time.Time, t *target) {
	t.failures++
	if t.failures >= failuresToEject || t.probation {
		p.eject(now, t)
	}
}

// recordAbandoned handles a call that was cancelled. If it had already taken much longer than
// usual, it counts as a failure, and its elapsed time is recorded as a lower bound of the latency.
func (p *Pool) recordAbandoned(now time.Time, t *target, g *Grant) {
	mean, deviation := p.latency.at(now)
	took := now.Sub(g.start)
	if p.latency.samples == 0 || took < seconds(mean+slowDeviations*deviation) {
		return
	}
	t.latency.add(now, took)
	p.recordFailure(now, t)
}

// eject ejects a target unless the ejection limit is reached.
func (p *Pool) eject(now time.Time, t *target) {
	if t.ejected() || float64(len(p.ejected)+1) > maxEjectedFraction*float64(p.live) {
		return
	}
	t.eject(now)
	p.ejected = append(p.ejected, t)
	if p.nextReadmission.IsZero() || t.ejectedUntil.Before(p.nextReadmission) {
		p.nextReadmission = t.ejectedUntil
	}
}

// readmit returns targets to service whose ejection has expired.
func (p *Pool) readmit(now time.Time) {
	if p.nextReadmission.IsZero() || now.Before(p.nextReadmission) {
		return
	}
	p.nextReadmission = time.Time{}
	kept := p.ejected[:0]
	for _, t := range p.ejected {
		if !now.Before(t.ejectedUntil) {
			t.readmit()
			p.updateAvailability(t)
			continue
		}
		kept = append(kept, t)
		if p.nextReadmission.IsZero() || t.ejectedUntil.Before(p.nextReadmission) {
			p.nextReadmission = t.ejectedUntil
		}
	}
	p.ejected = kept
}

// TryRetry takes one token from the retry budget and reports whether one was available.
func (p *Pool) TryRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryTokens < 1 {
		return false
	}
	p.retryTokens--
	return true
}
