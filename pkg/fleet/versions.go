package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Endpoints of a version that an order concerns get what the order's standing allows. Entries and orders reach an
// instance on two ways. So an endpoint of a version that turned up later than the orders are known for waits:
// the order that concerns it may be on its way, and its version bad.

// versions has, by service and version, the revision as of which endpoints of the version were first known.
type versions map[string]map[string]uint64

// with returns the versions after an endpoint became known as of a revision.
func (v versions) with(revision uint64, e Endpoint) versions {
	if _, known := v[e.Service][e.Version]; known {
		return v
	}
	grown := maps.Clone(v)
	if grown == nil {
		grown = versions{}
	}
	grown[e.Service] = maps.Clone(v[e.Service])
	if grown[e.Service] == nil {
		grown[e.Service] = map[string]uint64{}
	}
	grown[e.Service][e.Version] = revision
	return grown
}

// unsure tells whether the version of an endpoint turned up later than the orders are known for, while others of
// its service did not.
func (s *Snapshot) unsure(e Endpoint) bool {
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

// withdrawn are the versions, by service, whose orders were taken back or replaced before they were proven.
type withdrawn map[string]map[string]bool

// after returns the versions that are withdrawn when other orders take the place of those that were known.
func (w withdrawn) after(before, now Rollouts, standings Standings) withdrawn {
	grown := make(withdrawn, len(w))
	for service, all := range w {
		grown[service] = maps.Clone(all)
	}
	for _, order := range before.Orders {
		next, ordered := now.Of(order.Service)
		if standings[order.Revision].Exposure == Proven || ordered && next.Version == order.Version {
			continue
		}
		if grown[order.Service] == nil {
			grown[order.Service] = map[string]bool{}
		}
		grown[order.Service][order.Version] = true
	}
	for _, order := range now.Orders {
		delete(grown[order.Service], order.Version)
	}
	return grown
}

// Roll returns the snapshot with the orders of rollouts; itself if it knows newer ones.
func (s *Snapshot) Roll(r Rollouts) *Snapshot {
	if r.Revision <= s.rollouts.Revision {
		return s
	}
	after := *s
	after.rollouts = r
	if r.Same(s.rollouts) && !s.anyUnsure() {
		return &after
	}
	after.withdrawn = s.withdrawn.after(s.rollouts, r, s.standings)
	return after.admitAll()
}

func (s *Snapshot) anyUnsure() bool {
	for _, all := range s.versions {
		for _, first := range all {
			if len(all) > 1 && first > s.rollouts.Revision {
				return true
			}
		}
	}
	return false
}

// Stand returns the snapshot with how rollouts stand; itself if that is so.
func (s *Snapshot) Stand(standings Standings) *Snapshot {
	if maps.Equal(s.standings, standings) {
		return s
	}
	after := *s
	after.standings = standings
	return after.admitAll()
}

// Rollouts are the orders in force, as of a revision.
func (s *Snapshot) Rollouts() Rollouts { return s.rollouts }

// Standing returns how the rollout of an order stands.
func (s *Snapshot) Standing(order uint64) Standing { return s.standings[order] }

// Trial returns what a version of a service gets that is tried; no endpoints if none is.
func (s *Snapshot) Trial(service string) Trial { return s.trials[service] }

// Barred tells whether an endpoint gets nothing for its version's sake.
func (s *Snapshot) Barred(id string) bool {
	if len(s.barred) == 0 {
		return false
	}
	e, _ := s.Endpoint(id)
	return s.barred[e.Service][id]
}

// Versions counts the endpoints of a service that may get new work but for their version: those of the version
// of an order, and the others.
func (s *Snapshot) Versions(order Rollout) (of, others int) {
	for _, e := range s.staying[order.Service] {
		if e.Version == order.Version {
			of++
		} else {
			others++
		}
	}
	return of, others
}

// admit sorts out which endpoints of a service, all of which may get new work but for their version, get it. The
// others are barred but for those on trial.
func (s *Snapshot) admit(service string, all []Endpoint) {
	delete(s.trials, service)
	delete(s.barred, service)
	s.ready[service] = s.admittedOf(service, all)
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

func (s *Snapshot) admittedOf(service string, all []Endpoint) []Endpoint {
	kept := Except(all, func(e Endpoint) bool { return s.withdrawn[service][e.Version] || s.unsure(e) })
	if len(kept) == 0 {
		kept = all
	}
	order, ordered := s.rollouts.Of(service)
	if !ordered {
		return kept
	}
	isNew := func(e Endpoint) bool { return e.Version == order.Version }
	others := Except(kept, isNew)
	target := Except(all, func(e Endpoint) bool { return !isNew(e) })
	switch standing := s.standings[order.Revision]; {
	case standing.Exposure == Proven && len(target) > 0:
		return target
	case standing.Exposure == Tried && len(target) > 0 && len(others) > 0:
		s.trials[service] = Trial{Order: order.Revision, Share: standing.Share, Endpoints: sample(order, target, standing.Share, len(others))}
	case standing.Exposure == Withheld && len(others) == 0 && s.versions[service][order.Version] < order.Revision:
		// The version had all of the traffic before the order.
		return target
	}
	return others
}

// Except returns a list without the endpoints of which a function is true; the list itself if there is none.
func Except(list []Endpoint, leaves func(Endpoint) bool) []Endpoint {
	if !slices.ContainsFunc(list, leaves) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), leaves)
}

// sample returns the endpoints that get a share of the requests which so many others get now: the same at all
// instances that know the same endpoints.
func sample(order Rollout, target []Endpoint, share float64, others int) []Endpoint {
	n := max(1, int(math.Ceil(share*float64(others))))
	weight := func(e Endpoint) uint64 { return draw(order.Revision, e.ID) }
	chosen := slices.Clone(target)
	slices.SortFunc(chosen, func(a, b Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	chosen = chosen[:min(n, len(chosen))]
	slices.SortFunc(chosen, byID)
	return chosen
}
