package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Option is a candidate endpoint for a call.
type Option struct {
	Endpoint fleet.Endpoint
	// Cost is the expected latency of the call including penalties.
	Cost time.Duration
	// Reading is the share of Cost that is prompt prefill or the transfer of prompt parts.
	Reading time.Duration
}

// Options returns up to most endpoints in order of cost: the best ones overall and the best of
// each other failure domain. Ejected endpoints are omitted.
func (b *Balancer) Options(candidates []fleet.Endpoint, spec CallSpec, most int) []Option {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates, spec = b.prepare(now, candidates, spec)
	affinity := b.affinityTarget(now, candidates, spec)
	averages := b.averages(now, candidates)
	var best topPerDomain
	for i := range candidates {
		e := &candidates[i]
		if spec.Exclude[e.ID] || now.Before(b.peek(e.ID).ejectedUntil) {
			continue
		}
		best.add(e, b.cost(now, e, spec, averages, e.ID == affinity))
	}
	chosen := diversify(best.sorted(), most)
	options := make([]Option, len(chosen))
	for i, k := range chosen {
		s := b.peek(k.endpoint.ID)
		work := s.promptWork(spec, k.endpoint)
		options[i] = Option{Endpoint: *k.endpoint, Cost: time.Duration(k.cost * float64(time.Millisecond)), Reading: prefillTime(work.prefill, s.slowness) + work.transfer}
	}
	return options
}

type candidate struct {
	endpoint *fleet.Endpoint
	cost     float64
}

// topPerDomain keeps the topOptions cheapest endpoints of each failure domain, which avoids
// sorting all candidates.
type topPerDomain map[string][]candidate

func (o *topPerDomain) add(e *fleet.Endpoint, cost float64) {
	if *o == nil {
		*o = topPerDomain{}
	}
	list := (*o)[e.FailureDomain]
	at := len(list)
	for at > 0 && cost < list[at-1].cost {
		at--
	}
	if at == topOptions {
		return
	}
	list = slices.Insert(list, at, candidate{e, cost})
	(*o)[e.FailureDomain] = list[:min(len(list), topOptions)]
}

// sorted returns the kept endpoints in order of cost.
func (o *topPerDomain) sorted() []candidate {
	var all []candidate
	for _, list := range *o {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// topOptions is the number of options that are returned regardless of their failure domain.
const topOptions = 2

// diversify returns the best options and the best of each other failure domain, up to most.
func diversify(options []candidate, most int) []candidate {
	var selected []candidate
	domains := map[string]bool{}
	for _, option := range options {
		domain := option.endpoint.FailureDomain
		if len(selected) < most && (len(selected) < topOptions || !domains[domain]) {
			selected = append(selected, option)
			domains[domain] = true
		}
	}
	return selected
}

// pickPreferred registers the call with the preferred endpoint, or returns nil if that is
// excluded, ejected or has an overdue call.
func (b *Balancer) pickPreferred(now time.Time, candidates []fleet.Endpoint, spec CallSpec) *Call {
	for _, e := range candidates {
		if e.ID != spec.Prefer {
			continue
		}
		s := b.peek(e.ID)
		if spec.Exclude[e.ID] || now.Before(s.ejectedUntil) || s.overdue(now) {
			return nil
		}
		return b.begin(now, e, spec)
	}
	return nil
}
