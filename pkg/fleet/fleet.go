// Package fleet holds the state of the endpoints in an immutable snapshot: the entries as of a
// revision of the source, the evacuated failure domains and the rollouts between versions.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Endpoint is a process that provides a service.
type Endpoint struct {
	// ID identifies one incarnation of the endpoint. It differs after each restart, so that
	// connections, results and failures recorded under it do not apply to a later incarnation.
	ID string `json:"id"`
	// Entry is the name under which the source lists the endpoint, which remains the same after a
	// restart. If empty, it equals ID.
	Entry   string `json:"entry,omitempty"`
	Service string `json:"service"`
	// Address is IP:port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Version is the software version, or empty if unknown.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	// Leaving endpoints get no new work. It is set by the entry or by a response of the endpoint.
	Leaving bool `json:"leaving"`
	// ColdMs is the remaining warm-up time in milliseconds as of when the entry was written, during
	// which the endpoint can only take little load. 0 means warm.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// ColdRevision is the revision of the entry that set ColdMs, or 0 if the endpoint is warm. It
	// distinguishes a later warm-up with the same ColdMs.
	ColdRevision revision.Revision `json:"cold_revision,omitempty"`
	// Returned is the revision as of which the evacuation of the failure domain was last known to
	// have ended, or 0 if it was never evacuated during the lifetime of this process. It is only
	// set by Ready.
	Returned revision.Revision `json:"-"`
}

// Name returns the name that the source and the endpoint itself use.
func (e Endpoint) Name() string {
	if e.Entry != "" {
		return e.Entry
	}
	return e.ID
}

// Snapshot is the set of endpoints as of a revision. It is immutable.
type Snapshot struct {
	Revision revision.Revision
	// endpoints is keyed by name, so that a new incarnation replaces the previous one. namesByID
	// maps IDs to names.
	endpoints cowMap[Endpoint]
	namesByID cowMap[string]
	// available contains the endpoints by service that are neither leaving nor in an evacuated
	// failure domain. ready contains those of them that may get new work. Both are sorted by ID,
	// and lists of unchanged services are reused.
	available map[string][]Endpoint
	ready     map[string][]Endpoint
	// evacuations contains the evacuated failure domains. returnedAt maps failure domains to the
	// revision as of which their last evacuation ended.
	evacuations Evacuations
	returnedAt  map[string]revision.Revision
	// departures contains the endpoints that have announced their departure in a response.
	departures Departures
	// rollouts contains the orders to move traffic between versions, and rolloutStates their state.
	rollouts      Rollouts
	rolloutStates RolloutStates
	versions      versionRevisions
	withdrawn     withdrawnVersions
	// trials contains the trials by service. barred contains the IDs of endpoints by service that
	// get no work because of their version.
	trials map[string]Trial
	barred map[string]map[string]bool
}

// Change is the current entry of an endpoint, or its removal.
type Change struct {
	Endpoint Endpoint `json:"endpoint"`
	// Gone is set if the entry was removed, for any incarnation.
	Gone bool `json:"gone,omitempty"`
	// Refused is the reason why the entry is invalid. The endpoint is then removed.
	Refused string `json:"refused,omitempty"`
}

// New returns a snapshot with the given endpoints and no evacuations.
func New(at revision.Revision, endpoints []Endpoint) *Snapshot {
	return (&Snapshot{}).Replace(at, endpoints)
}

// Replace returns the snapshot with all endpoints replaced as of a revision. It keeps the
// evacuations, departures and rollouts.
func (s *Snapshot) Replace(at revision.Revision, endpoints []Endpoint) *Snapshot {
	replaced := *s
	all, names := cowMap[Endpoint]{}.edit(), cowMap[string]{}.edit()
	for _, e := range endpoints {
		all.set(e.Name(), e)
		names.set(e.ID, e.Name())
		replaced.versions = replaced.versions.with(at, e)
	}
	replaced.Revision, replaced.endpoints, replaced.namesByID = at, all.freeze(), names.freeze()
	return replaced.rebuild()
}

// rebuild recomputes which endpoints are available and which of them may get new work.
func (s *Snapshot) rebuild() *Snapshot {
	s.available = map[string][]Endpoint{}
	s.endpoints.forEach(func(_ string, e Endpoint) {
		if e = s.withDeparture(e); s.isAvailable(e) {
			e.Returned = s.returnedAt[e.FailureDomain]
			s.available[e.Service] = append(s.available[e.Service], e)
		}
	})
	for _, list := range s.available {
		slices.SortFunc(list, byID)
	}
	return s.classifyAll()
}

// classifyAll recomputes which of the available endpoints may get new work.
func (s *Snapshot) classifyAll() *Snapshot {
	s.ready, s.trials, s.barred = map[string][]Endpoint{}, map[string]Trial{}, map[string]map[string]bool{}
	for service, list := range s.available {
		s.classify(service, list)
	}
	return s
}

func byID(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// isAvailable reports whether an endpoint is neither leaving nor in an evacuated failure domain.
func (s *Snapshot) isAvailable(e Endpoint) bool {
	return !e.Leaving && !s.evacuations.Has(e.FailureDomain)
}

// With returns the snapshot with changes applied as of a revision. It shares the endpoints if no
// change has an effect.
func (s *Snapshot) With(at revision.Revision, changes []Change) *Snapshot {
	after := *s
	after.Revision = at
	if !s.changedBy(changes) {
		return &after
	}
	e := newSnapshotEdit(&after)
	for _, c := range changes {
		e.apply(c)
	}
	e.finish()
	return &after
}

func (s *Snapshot) changedBy(changes []Change) bool {
	for _, c := range changes {
		known, ok := s.endpoints.get(c.Endpoint.Name())
		if c.Gone && ok || !c.Gone && (!ok || known != c.Endpoint) {
			return true
		}
	}
	return false
}

// WithEvacuations returns the snapshot with the given evacuations, or s if it has newer ones.
func (s *Snapshot) WithEvacuations(e Evacuations) *Snapshot {
	if e.Revision <= s.evacuations.Revision {
		return s
	}
	return s.evacuated(e.after(s.evacuations))
}

// RetainEvacuations returns the snapshot with more failure domains evacuated, for an instance that did
// not know the orders before the source was restored.
func (s *Snapshot) RetainEvacuations(domains []string) *Snapshot {
	e := s.evacuations
	for _, domain := range domains {
		if !e.Has(domain) {
			e.Retained = with(e.Retained, domain)
		}
	}
	return s.evacuated(e)
}

// evacuated returns the snapshot with the given evacuations.
func (s *Snapshot) evacuated(e Evacuations) *Snapshot {
	after := *s
	after.evacuations = e
	evacuated, returned := e.Changed(s.evacuations)
	if len(evacuated) == 0 && len(returned) == 0 {
		return &after
	}
	after.returnedAt = make(map[string]revision.Revision, len(s.returnedAt)+len(returned))
	maps.Copy(after.returnedAt, s.returnedAt)
	for _, domain := range returned {
		after.returnedAt[domain] = e.Revision
	}
	return after.rebuild()
}

// WithoutRetained returns the snapshot without orders that only remained in force because a restored
// source lacked them.
func (s *Snapshot) WithoutRetained() *Snapshot {
	e, r := s.evacuations, s.rollouts
	e.Retained, r.Retained = nil, nil
	return s.evacuated(e).ordered(r)
}

// Evacuations returns the evacuated failure domains.
func (s *Snapshot) Evacuations() Evacuations { return s.evacuations }

// Ready returns the endpoints of a service that may get new work, sorted by ID. The caller must not
// modify the slice.
func (s *Snapshot) Ready(service string) []Endpoint { return s.ready[service] }

// Endpoint returns the endpoint with an ID, or false if that incarnation is gone.
func (s *Snapshot) Endpoint(id string) (Endpoint, bool) {
	name, ok := s.namesByID.get(id)
	e, _ := s.endpoints.get(name)
	return s.withDeparture(e), ok
}

// ByName returns the endpoint that the source lists under a name, in any incarnation.
func (s *Snapshot) ByName(name string) (Endpoint, bool) {
	e, ok := s.endpoints.get(name)
	return s.withDeparture(e), ok
}

// HasName reports whether the source lists an endpoint under a name, in any incarnation.
func (s *Snapshot) HasName(name string) bool {
	_, ok := s.endpoints.get(name)
	return ok
}

// MayGetWork reports whether an endpoint may get new work: it is known, not leaving, not in an
// evacuated failure domain and not barred because of its version.
func (s *Snapshot) MayGetWork(id string) bool {
	e, ok := s.Endpoint(id)
	return ok && s.isAvailable(e) && !s.barred[e.Service][id]
}

// HasEndpoints reports whether the snapshot contains any endpoints.
func (s *Snapshot) HasEndpoints() bool { return s.endpoints.size > 0 }

// All returns all endpoints in unspecified order.
func (s *Snapshot) All() []Endpoint {
	list := make([]Endpoint, 0, s.endpoints.size)
	s.endpoints.forEach(func(_ string, e Endpoint) { list = append(list, s.withDeparture(e)) })
	return list
}

// CountInDomain returns the number of endpoints in a failure domain.
func (s *Snapshot) CountInDomain(domain string) int {
	n := 0
	s.endpoints.forEach(func(_ string, e Endpoint) {
		if e.FailureDomain == domain {
			n++
		}
	})
	return n
}
