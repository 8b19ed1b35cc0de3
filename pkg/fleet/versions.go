package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Entries and rollout orders reach an instance independently. Endpoints of a version that appeared
// after the last known orders are therefore withheld: an order that concerns the version may not
// have arrived yet.

// versionRevisions maps services and versions to the revision as of which the first endpoint of the
// version was known.
type versionRevisions map[string]map[string]revision.Revision

// with returns the versions after an endpoint became known as of a revision.
func (v versionRevisions) with(at revision.Revision, e Endpoint) versionRevisions {
	if _, known := v[e.Service][e.Version]; known {
		return v
	}
	grown := maps.Clone(v)
	if grown == nil {
		grown = versionRevisions{}
	}
	grown[e.Service] = maps.Clone(v[e.Service])
	if grown[e.Service] == nil {
		grown[e.Service] = map[string]revision.Revision{}
	}
	grown[e.Service][e.Version] = at
	return grown
}

// unverified reports whether the version of an endpoint appeared after the last known orders, while
// another version of its service did not.
func (s *Snapshot) unverified(e Endpoint) bool {
	all := s.versions[e.Service]
	if all[e.Version] <= s.rollouts.Revision {
		return false
	}
	for _, first := range all {
		if first <= s.rollouts.Revision {
			return true
		}
	}
	return false
}

// withdrawnVersions contains the versions by service whose orders were withdrawn or replaced before
// they were proven.
type withdrawnVersions map[string]map[string]bool

// after returns the withdrawn versions after the orders change from before to now.
func (w withdrawnVersions) after(before, now Rollouts, states RolloutStates) withdrawnVersions {
	grown := make(withdrawnVersions, len(w))
	for service, all := range w {
		grown[service] = maps.Clone(all)
	}
	for _, order := range before.InForce() {
		next, ordered := now.ForService(order.Service)
		if states[order.Revision].Exposure == Proven || ordered && next.Version == order.Version {
			continue
		}
		if grown[order.Service] == nil {
			grown[order.Service] = map[string]bool{}
		}
		grown[order.Service][order.Version] = true
	}
	for _, order := range now.InForce() {
		delete(grown[order.Service], order.Version)
	}
	return grown
}

// WithRollouts returns the snapshot with the given rollouts. If it has newer ones, it only takes over by
// which revisions the orders are known.
func (s *Snapshot) WithRollouts(r Rollouts) *Snapshot {
	if r.Revision > s.rollouts.Revision {
		return s.ordered(r.after(s.rollouts))
	}
	if known := s.rollouts.identifiedBy(r); !known.Same(s.rollouts) {
		return s.ordered(known)
	}
	return s
}

// RetainRollouts returns the snapshot with more orders in force, for an instance that did not know the
// orders before the source was restored.
func (s *Snapshot) RetainRollouts(orders []Rollout) *Snapshot {
	r := s.rollouts
	for _, order := range orders {
		if _, known := r.ForService(order.Service); !known {
			r.Retained = append(slices.Clone(r.Retained), order)
		}
	}
	return s.ordered(r)
}

// ordered returns the snapshot with the given rollouts.
func (s *Snapshot) ordered(r Rollouts) *Snapshot {
	after := *s
	after.rollouts = r
	if r.Same(s.rollouts) && !s.anyUnverified() {
		return &after
	}
	after.withdrawn = s.withdrawn.after(s.rollouts, r, s.rolloutStates)
	return after.classifyAll()
}

func (s *Snapshot) anyUnverified() bool {
	for _, all := range s.versions {
		for _, first := range all {
			if len(all) > 1 && first > s.rollouts.Revision {
				return true
			}
		}
	}
	return false
}

// WithRolloutStates returns the snapshot with the given rollout states, or s if they are unchanged.
func (s *Snapshot) WithRolloutStates(states RolloutStates) *Snapshot {
	if maps.Equal(s.rolloutStates, states) {
		return s
	}
	after := *s
	after.rolloutStates = states
	return after.classifyAll()
}

// Rollouts returns the rollouts in force.
func (s *Snapshot) Rollouts() Rollouts { return s.rollouts }

// RolloutState returns the state of the rollout with the given order revision.
func (s *Snapshot) RolloutState(order revision.Revision) RolloutState { return s.rolloutStates[order] }

// Trial returns the trial of a service. It has no endpoints if no version is being tried.
func (s *Snapshot) Trial(service string) Trial { return s.trials[service] }

// Barred reports whether an endpoint gets no work because of its version.
func (s *Snapshot) Barred(id string) bool {
	if len(s.barred) == 0 {
		return false
	}
	e, _ := s.Endpoint(id)
	return s.barred[e.Service][id]
}

// CountVersions returns the number of available endpoints of a service that have the version of an
// order, and the number of those with other versions.
func (s *Snapshot) CountVersions(order Rollout) (of, others int) {
	for _, e := range s.available[order.Service] {
		if e.Version == order.Version {
			of++
		} else {
			others++
		}
	}
	return of, others
}

// classify determines which of the available endpoints of a service are ready, on trial or barred
// because of their version.
func (s *Snapshot) classify(service string, all []Endpoint) {
	delete(s.trials, service)
	delete(s.barred, service)
	s.ready[service] = s.eligible(service, all)
	if len(s.ready[service]) == len(all) {
		return
	}
	barred := make(map[string]bool, len(all))
	for _, e := range all {
		barred[e.ID] = true
	}
	for _, list := range [][]Endpoint{s.ready[service], s.trials[service].Endpoints} {
		for _, e := range list {
			delete(barred, e.ID)
		}
	}
	s.barred[service] = barred
}

func (s *Snapshot) eligible(service string, all []Endpoint) []Endpoint {
	kept := Exclude(all, func(e Endpoint) bool { return s.withdrawn[service][e.Version] || s.unverified(e) })
	if len(kept) == 0 {
		kept = all
	}
	order, ordered := s.rollouts.ForService(service)
	if !ordered {
		return kept
	}
	isNew := func(e Endpoint) bool { return e.Version == order.Version }
	others := Exclude(kept, isNew)
	target := Exclude(all, func(e Endpoint) bool { return !isNew(e) })
	switch state := s.rolloutStates[order.Revision]; {
	case state.Exposure == Proven && len(target) > 0:
		return target
	case state.Exposure == Tried && len(target) > 0 && len(others) > 0:
		s.trials[service] = Trial{Order: order.ListedAt(), Share: state.Share, Endpoints: trialEndpoints(order, target, state.Share, len(others))}
	case state.Exposure == Withheld && len(others) == 0 && s.versions[service][order.Version] < order.Revision:
		// The version already had all traffic before the order.
		return target
	}
	return others
}

// Exclude returns a list without the endpoints that match a predicate, or the list itself if none
// match.
func Exclude(list []Endpoint, match func(Endpoint) bool) []Endpoint {
	if !slices.ContainsFunc(list, match) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), match)
}

// trialEndpoints returns the endpoints that get a share of the requests. It selects the same ones
// on all instances that know the same endpoints.
func trialEndpoints(order Rollout, target []Endpoint, share float64, others int) []Endpoint {
	n := max(1, int(math.Ceil(share*float64(others))))
	weight := func(e Endpoint) uint64 { return hashOrder(order.ListedAt(), e.ID) }
	chosen := slices.Clone(target)
	slices.SortFunc(chosen, func(a, b Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	chosen = chosen[:min(n, len(chosen))]
	slices.SortFunc(chosen, byID)
	return chosen
}
