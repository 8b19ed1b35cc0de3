package fleet

import (
	"maps"
	"slices"
)

// An endpoint announces its departure in its entry and in its responses. The entry may arrive late
// or never while the source is unavailable, so departures announced in responses are recorded
// separately. An entry that still lists the endpoint as ready does not revoke them.

// Departures is the set of endpoint IDs that have announced their departure in a response.
type Departures map[string]bool

// WithDepartures returns the snapshot with the given departures, or s if they are unchanged. The caller
// must not modify the map afterwards.
func (s *Snapshot) WithDepartures(departures Departures) *Snapshot {
	if maps.Equal(s.departures, departures) {
		return s
	}
	after := *s
	after.departures = departures
	return after.rebuild()
}

// Departures returns the number of endpoints that have announced their departure in a response.
func (s *Snapshot) Departures() int { return len(s.departures) }

// IsDeparting reports whether an endpoint has announced its departure in a response.
func (s *Snapshot) IsDeparting(id string) bool { return s.departures[id] }

// Departed returns the sorted IDs of the endpoints that have announced their departure in a
// response.
func (s *Snapshot) Departed() []string { return slices.Sorted(maps.Keys(s.departures)) }

// Undeclared returns the IDs of departing endpoints that the source does not list as leaving yet.
func (s *Snapshot) Undeclared() []string {
	var undeclared []string
	for id := range s.departures {
		name, _ := s.namesByID.get(id)
		if e, listed := s.endpoints.get(name); listed && !e.Leaving {
			undeclared = append(undeclared, id)
		}
	}
	return undeclared
}

// withDeparture returns the endpoint with Leaving set if it has announced its departure in a
// response.
func (s *Snapshot) withDeparture(e Endpoint) Endpoint {
	e.Leaving = e.Leaving || s.departures[e.ID]
	return e
}
