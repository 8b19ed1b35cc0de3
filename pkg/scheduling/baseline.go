package scheduling

import (
	"time"
)

// acquireBaseline applies a baseline policy: it selects among all live, untried endpoints without
// queueing.
func (p *Pool) acquireBaseline(now time.Time, work Work) AcquireResult {
	var candidates []*target
	for _, t := range p.order {
		if !t.Leaving && !work.excludes(t.Name) {
			candidates = append(candidates, t)
		}
	}
	if p.config.Policy == StrictLocal {
		candidates = localOnly(candidates)
	}
	if len(candidates) == 0 {
		return AcquireResult{Refusal: &Refusal{Reason: NoEndpoint}}
	}
	return AcquireResult{Grant: p.grant(now, p.pick(candidates), work)}
}

func (p *Pool) pick(candidates []*target) *target {
	switch p.config.Policy {
	case RoundRobin:
		p.roundRobinCounter++
		return candidates[p.roundRobinCounter%len(candidates)]
	case LeastInFlight:
		return p.leastInFlight(candidates)
	default:
		return candidates[p.random.IntN(len(candidates))]
	}
}

// leastInFlight returns the candidate with the fewest calls in flight from this instance. It
// starts at a random index to break ties.
func (p *Pool) leastInFlight(candidates []*target) *target {
	first := p.random.IntN(len(candidates))
	best := candidates[first]
	for i := range candidates {
		t := candidates[(first+i)%len(candidates)]
		if t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

func localOnly(candidates []*target) []*target {
	var local []*target
	for _, t := range candidates {
		if t.local {
			local = append(local, t)
		}
	}
	return local
}
