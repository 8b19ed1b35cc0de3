package scheduling

import (
	"time"
)

const (
	// sampleSize is the number of eligible targets compared per selection. Two random choices
	// avoid herding on the target with the best score (Mitzenmacher, 2001).
	sampleSize = 2
	// maxSamples bounds the random draws, including ineligible targets.
	maxSamples = 8
	// maxScan bounds the linear scan that follows when no draw was eligible.
	maxScan = 64
)

// choose returns the target for work, or nil if none is available. It prefers local targets and
// uses remote ones when no local target is eligible.
func (p *Pool) choose(now time.Time, work *Work) *target {
	poolMean, _ := p.service.at(now)
	if t := p.sample(now, p.local, work, poolMean); t != nil {
		return t
	}
	return p.sample(now, p.remote, work, poolMean)
}

// sample returns the best of a few randomly drawn targets.
func (p *Pool) sample(now time.Time, list []*target, work *Work, poolMean float64) *target {
	if len(list) == 0 {
		return nil
	}
	if len(list) <= sampleSize {
		return p.scan(now, list, work, poolMean)
	}
	var best *target
	bestScore := 0.0
	found := 0
	for range maxSamples {
		t := list[p.random.IntN(len(list))]
		if t == best || !p.eligible(now, t, work, poolMean) {
			continue
		}
		score := t.score(now, poolMean)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
		if found++; found == sampleSize {
			break
		}
	}
	if best != nil {
		return best
	}
	return p.scan(now, list, work, poolMean)
}

// scan returns the best target of a linear scan from a random index.
func (p *Pool) scan(now time.Time, list []*target, work *Work, poolMean float64) *target {
	var best *target
	bestScore := 0.0
	first := p.random.IntN(len(list))
	for i := range min(len(list), maxScan) {
		t := list[(first+i)%len(list)]
		if !p.eligible(now, t, work, poolMean) {
			continue
		}
		score := t.score(now, poolMean)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// eligible reports whether a target may run the work and is expected to meet the deadline. The
// deadline check is skipped while nothing is in flight; see infeasible.
func (p *Pool) eligible(now time.Time, t *target, work *Work, poolMean float64) bool {
	if work.excludes(t.Name) || now.Before(p.missing[work.Model][t]) {
		return false
	}
	if t.latency.samples == 0 || p.inFlight == 0 {
		return true
	}
	return seconds(t.mean(now, poolMean)) <= work.Deadline.Sub(now)
}
