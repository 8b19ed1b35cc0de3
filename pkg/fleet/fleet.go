// Package fleet holds what is known of the endpoints: an immutable snapshot, with the
// revision of the source that it stands for, the failure domains that are evacuated, and the
// versions to which traffic is moved.
package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Endpoint is one process that does a service's work.
type Endpoint struct {
	// ID names one life of the endpoint: each start has another one, so that nothing that is known by an
	// ID (connections, kept parts, failures, results) is taken for a later life's.
	ID string `json:"id"`
	// Entry is the name under which the source lists it, where an endpoint may start again under the
	// name that it had; empty: the ID.
	Entry   string `json:"entry,omitempty"`
	Service string `json:"service"`
	// Address is IP:port.
	Address string `json:"address"`
	// FailureDomain that it stands in.
	FailureDomain string `json:"failure_domain"`
	// Version is that of its software; empty if it was not told.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	// Leaving endpoints get no new work. Their entry says so, or they themselves in an answer.
	Leaving bool `json:"leaving"`
	// ColdMs is how much longer it bears little work, in milliseconds, as of when its entry was
	// written; 0: it is warm.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// ColdRevision is that of the entry which says so, 0 while it is warm: it may say the same once
	// more when the endpoint has turned cold again.
	ColdRevision uint64 `json:"cold_revision,omitempty"`
	// Returned is the revision as of which its failure domain was last known to be no longer
	// evacuated; 0 if it was not evacuated in this process's life. It is set in Ready alone.
	Returned uint64 `json:"-"`
}

// Name is what the source and the endpoint itself call it.
func (e Endpoint) Name() string {
	if e.Entry != "" {
		return e.Entry
	}
	return e.ID
}

// Snapshot is the set of endpoints as of a revision. It is immutable.
type Snapshot struct {
	Revision uint64
	// endpoints are by name, so that a later life takes the place of the one before; names are by ID.
	endpoints table[Endpoint]
	names     table[string]
	// staying are, by service, the endpoints that neither leave nor stand in a failure domain that is evacuated,
	// and ready those of them that may get new work; both sorted by ID. A service of which nothing has changed
	// keeps its lists.
	staying map[string][]Endpoint
	ready   map[string][]Endpoint
	// evacuations are the failure domains whose endpoints get no new work, and returned has, by
	// failure domain, when others were known to have returned.
	evacuations Evacuations
	returned    map[string]uint64
	// departures are the lives that said in answers that they leave.
	departures Departures
	// rollouts are the orders to move traffic between versions, and standings how they stand.
	rollouts  Rollouts
	standings Standings
	versions  versions
	withdrawn withdrawn
	// trials are by service, and so are the IDs of endpoints that get nothing for their version's sake.
	trials map[string]Trial
	barred map[string]map[string]bool
}

// Change is one endpoint's entry as it is now, or its end.
type Change struct {
	Endpoint Endpoint `json:"endpoint"`
	// Gone says that the entry with the endpoint's name has been removed, whichever life it was of.
	Gone bool `json:"gone,omitempty"`
	// Refused says why the entry names no endpoint to use, where it is there and can't be read; the
	// endpoint is gone then.
	Refused string `json:"refused,omitempty"`
}

// New returns the snapshot with the endpoints given, and no evacuations.
func New(revision uint64, endpoints []Endpoint) *Snapshot {
	return (&Snapshot{}).Replace(revision, endpoints)
}

// Replace returns the snapshot with other endpoints, as of a revision, and the same evacuations.
func (s *Snapshot) Replace(revision uint64, endpoints []Endpoint) *Snapshot {
	replaced := *s
	all, names := table[Endpoint]{}.edit(), table[string]{}.edit()
	for _, e := range endpoints {
		all.set(e.Name(), e)
		names.set(e.ID, e.Name())
		replaced.versions = replaced.versions.with(revision, e)
	}
	replaced.Revision, replaced.endpoints, replaced.names = revision, all.table(), names.table()
	return replaced.build()
}

// build sorts out anew which endpoints stay, and of these which may get new work.
func (s *Snapshot) build() *Snapshot {
	s.staying = map[string][]Endpoint{}
	s.endpoints.each(func(_ string, e Endpoint) {
		if e = s.marked(e); s.stays(e) {
			e.Returned = s.returned[e.FailureDomain]
			s.staying[e.Service] = append(s.staying[e.Service], e)
		}
	})
	for _, list := range s.staying {
		slices.SortFunc(list, byID)
	}
	return s.admitAll()
}

// admitAll sorts out anew which of the endpoints that stay may get new work.
func (s *Snapshot) admitAll() *Snapshot {
	s.ready, s.trials, s.barred = map[string][]Endpoint{}, map[string]Trial{}, map[string]map[string]bool{}
	for service, list := range s.staying {
		s.admit(service, list)
	}
	return s
}

func byID(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// stays tells whether an endpoint neither leaves nor stands in a failure domain that is evacuated.
func (s *Snapshot) stays(e Endpoint) bool {
	return !e.Leaving && !s.evacuations.Has(e.FailureDomain)
}

// With returns the snapshot after changes, as of a revision; the same endpoints if
// none of the changes matters.
func (s *Snapshot) With(revision uint64, changes []Change) *Snapshot {
	after := *s
	after.Revision = revision
	if !s.differs(changes) {
		return &after
	}
	e := newEditing(&after)
	for _, c := range changes {
		e.apply(c)
	}
	e.done()
	return &after
}

func (s *Snapshot) differs(changes []Change) bool {
	for _, c := range changes {
		known, ok := s.endpoints.get(c.Endpoint.Name())
		if c.Gone && ok || !c.Gone && (!ok || known != c.Endpoint) {
			return true
		}
	}
	return false
}

// Evacuate returns the snapshot with the failure domains of the evacuations left out; itself if
// it knows newer ones.
func (s *Snapshot) Evacuate(e Evacuations) *Snapshot {
	if e.Revision <= s.evacuations.Revision {
		return s
	}
	after := *s
	after.evacuations = e
	if e.Same(s.evacuations) {
		return &after
	}
	_, returned := e.Changed(s.evacuations)
	after.returned = make(map[string]uint64, len(s.returned)+len(returned))
	maps.Copy(after.returned, s.returned)
	for _, domain := range returned {
		after.returned[domain] = e.Revision
	}
	return after.build()
}

// Evacuations are the failure domains that are left out, as of a revision.
func (s *Snapshot) Evacuations() Evacuations { return s.evacuations }

// Ready returns the endpoints of a service that may get new work, sorted by ID. The
// slice must not be changed.
func (s *Snapshot) Ready(service string) []Endpoint { return s.ready[service] }

// Endpoint returns an endpoint by ID: false if that life is over.
func (s *Snapshot) Endpoint(id string) (Endpoint, bool) {
	name, ok := s.names.get(id)
	e, _ := s.endpoints.get(name)
	return s.marked(e), ok
}

// Lists tells whether the source lists any life of an endpoint.
func (s *Snapshot) Lists(name string) bool {
	_, ok := s.endpoints.get(name)
	return ok
}

// MayGetWork tells whether an endpoint is known, not leaving, not in an evacuated failure domain, and of
// a version that may get work.
func (s *Snapshot) MayGetWork(id string) bool {
	e, ok := s.Endpoint(id)
	return ok && s.stays(e) && !s.barred[e.Service][id]
}

// Any tells whether there are endpoints.
func (s *Snapshot) Any() bool { return s.endpoints.size > 0 }

// All returns all endpoints, in no order.
func (s *Snapshot) All() []Endpoint {
	list := make([]Endpoint, 0, s.endpoints.size)
	s.endpoints.each(func(_ string, e Endpoint) { list = append(list, s.marked(e)) })
	return list
}

// In returns how many endpoints stand in a failure domain.
func (s *Snapshot) In(domain string) int {
	n := 0
	s.endpoints.each(func(_ string, e Endpoint) {
		if e.FailureDomain == domain {
			n++
		}
	})
	return n
}
