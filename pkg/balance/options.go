package balance

import (
	"cmp"
	"math/rand/v2"
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
	// Slowness is the slowness of an engine that Cost and Reading assume, relative to its service.
	Slowness float64
}

// Options returns up to most endpoints: in order of cost, the best ones overall and the best of
// each other failure domain. Ejected endpoints are omitted. For engines, random ones follow: those
// that seem best to one instance are not much better than others, and the planner, which knows the
// streams of all instances, would have to place too many requests on them.
func (b *Balancer) Options(candidates []fleet.Endpoint, spec CallSpec, most int) []Option {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates, spec = b.prepare(now, candidates, spec)
	affinity := b.affinityTarget(now, candidates, spec)
	averages := b.averages(now, candidates)
	var best topPerDomain
	var others randomSample
	for i := range candidates {
		e := &candidates[i]
		if spec.Exclude[e.ID] || now.Before(b.peek(e.ID).ejectedUntil) {
			continue
		}
		k := candidate{e, b.cost(now, e, spec, averages, e.ID == affinity)}
		best.add(k)
		if spec.Engine {
			others.add(k, most)
		}
	}
	chosen := fill(diversify(best.sorted(), most), others.kept, most)
	options := make([]Option, len(chosen))
	for i, k := range chosen {
		options[i] = Option{Endpoint: *k.endpoint, Cost: milliseconds(k.cost)}
		b.describePrefill(now, &options[i], spec, averages)
	}
	return options
}

// describePrefill sets the figures of an option that depend on the speed of the engine.
func (b *Balancer) describePrefill(now time.Time, o *Option, spec CallSpec, averages averages) {
	s := b.peek(o.Endpoint.ID)
	work := s.promptWork(spec, &o.Endpoint)
	o.Slowness = s.costSlowness(now, averages)
	o.Reading = scale(b.modelOf(o.Endpoint.Service).prefill(work.prefill), o.Slowness) + work.transfer
}

type candidate struct {
	endpoint *fleet.Endpoint
	cost     float64
}

// topPerDomain keeps the topOptions cheapest endpoints of each failure domain, which avoids
// sorting all candidates.
type topPerDomain map[string][]candidate

func (o *topPerDomain) add(k candidate) {
	if *o == nil {
		*o = topPerDomain{}
	}
	domain := k.endpoint.FailureDomain
	list := (*o)[domain]
	at := len(list)
	for at > 0 && k.cost < list[at-1].cost {
		at--
	}
	if at == topOptions {
		return
	}
	list = slices.Insert(list, at, k)
	(*o)[domain] = list[:min(len(list), topOptions)]
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

// randomSample keeps a random sample of the candidates.
type randomSample struct {
	kept []candidate
	seen int
}

func (r *randomSample) add(k candidate, most int) {
	r.seen++
	if len(r.kept) < most {
		r.kept = append(r.kept, k)
	} else if at := rand.IntN(r.seen); at < most {
		r.kept[at] = k
	}
}

// fill appends others to the selected candidates, up to most.
func fill(selected, others []candidate, most int) []candidate {
	for _, k := range others {
		same := func(s candidate) bool { return s.endpoint == k.endpoint }
		if len(selected) < most && !slices.ContainsFunc(selected, same) {
			selected = append(selected, k)
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
