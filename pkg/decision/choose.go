package decision

import (
	"time"
)

const (
	// draws is how many available targets are drawn before the best is taken. Two
	// avoid herding on the one that looks best to everyone (Mitzenmacher, 2001).
	draws = 2
	// maxDraws bounds the draws when some prove unfit.
	maxDraws = 8
	// maxScan bounds the targets looked at in turn when no draw was fit.
	maxScan = 64
)

// choose returns the target for work, or nil if none is free. Local targets go
// first; the others take what the local ones have no room for.
func (p *Pool) choose(now time.Time, work *Work) *target {
	poolMean, _ := p.service.at(now)
	if t := p.sample(now, p.local, work, poolMean); t != nil {
		return t
	}
	return p.sample(now, p.remote, work, poolMean)
}

// sample returns the best of a few targets drawn at random.
func (p *Pool) sample(now time.Time, list []*target, work *Work, poolMean float64) *target {
	if len(list) == 0 {
		return nil
	}
	if len(list) <= draws {
		return p.scan(now, list, work, poolMean)
	}
	var best *target
	bestScore := 0.0
	fit := 0
	for range maxDraws {
		t := list[p.random.IntN(len(list))]
		if t == best || !p.fit(now, t, work, poolMean) {
			continue
		}
		score := t.score(now, poolMean)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
		if fit++; fit == draws {
			break
		}
	}
	if best != nil {
		return best
	}
	return p.scan(now, list, work, poolMean)
}

// scan returns the best of the targets from a random place on.
func (p *Pool) scan(now time.Time, list []*target, work *Work, poolMean float64) *target {
	var best *target
	bestScore := 0.0
	first := p.random.IntN(len(list))
	for i := range min(len(list), maxScan) {
		t := list[(first+i)%len(list)]
		if !p.fit(now, t, work, poolMean) {
			continue
		}
		score := t.score(now, poolMean)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// fit tells whether a target may do the work and would usually be in time. While
// nothing is in flight all would be: see hopeless.
func (p *Pool) fit(now time.Time, t *target, work *Work, poolMean float64) bool {
	if work.excludes(t.Name) || now.Before(p.lacking[work.Model][t]) {
		return false
	}
	if t.latency.samples == 0 || p.inFlight == 0 {
		return true
	}
	return seconds(t.mean(now, poolMean)) <= work.Deadline.Sub(now)
}
