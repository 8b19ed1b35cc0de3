// Package fleet holds what is known of the endpoints: an immutable snapshot, with the
// revision of the source that it stands for.
package fleet

import "slices"

// Endpoint is one process that does a service's work.
type Endpoint struct {
	// ID is the incarnation: each start of an endpoint has a new one.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is IP:port.
	Address string `json:"address"`
	// FailureDomain that it stands in.
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving"`
}

// Snapshot is the set of endpoints as of a revision. It is immutable.
type Snapshot struct {
	Revision  uint64
	endpoints map[string]Endpoint
	ready     map[string][]Endpoint
}

// Change is one endpoint's entry as it is now, or its end.
type Change struct {
	Endpoint Endpoint `json:"endpoint"`
	// Gone says that the entry with the endpoint's ID has been removed.
	Gone bool `json:"gone,omitempty"`
}

// New returns the snapshot with the endpoints given.
func New(revision uint64, endpoints []Endpoint) *Snapshot {
	all := make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		all[e.ID] = e
	}
	return build(revision, all)
}

func build(revision uint64, all map[string]Endpoint) *Snapshot {
	s := &Snapshot{Revision: revision, endpoints: all, ready: map[string][]Endpoint{}}
	for _, e := range all {
		if !e.Leaving {
			s.ready[e.Service] = append(s.ready[e.Service], e)
		}
	}
	for _, list := range s.ready {
		slices.SortFunc(list, func(a, b Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return s
}

// With returns the snapshot after changes, as of a revision; the same endpoints if
// none of the changes matters.
func (s *Snapshot) With(revision uint64, changes []Change) *Snapshot {
	if !s.differs(changes) {
		return &Snapshot{Revision: revision, endpoints: s.endpoints, ready: s.ready}
	}
	all := make(map[string]Endpoint, len(s.endpoints)+1)
	for id, e := range s.endpoints {
		all[id] = e
	}
	for _, c := range changes {
		if c.Gone {
			delete(all, c.Endpoint.ID)
			continue
		}
		all[c.Endpoint.ID] = c.Endpoint
	}
	return build(revision, all)
}

func (s *Snapshot) differs(changes []Change) bool {
	for _, c := range changes {
		known, ok := s.endpoints[c.Endpoint.ID]
		if c.Gone && ok || !c.Gone && (!ok || known != c.Endpoint) {
			return true
		}
	}
	return false
}

// Ready returns the endpoints of a service that may get new work, sorted by ID. The
// slice must not be changed.
func (s *Snapshot) Ready(service string) []Endpoint { return s.ready[service] }

// Endpoint returns an endpoint by ID.
func (s *Snapshot) Endpoint(id string) (Endpoint, bool) {
	e, ok := s.endpoints[id]
	return e, ok
}

// MayGetWork tells whether an endpoint is known and not leaving.
func (s *Snapshot) MayGetWork(id string) bool {
	e, ok := s.endpoints[id]
	return ok && !e.Leaving
}

// All returns all endpoints, in no order.
func (s *Snapshot) All() []Endpoint {
	list := make([]Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, e)
	}
	return list
}
