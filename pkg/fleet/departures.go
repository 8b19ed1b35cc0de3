package fleet

import (
	"maps"
	"slices"
)

// An endpoint that leaves says so in its entry and in its answers. The entry may come late, while the source
// is silent or the store of it slow, or never; the answers are heard by whoever calls the endpoint. Both are
// kept apart, so that an entry that is read anew and still calls the endpoint ready takes nothing back: a life
// that has said that it leaves leaves, also while the source is silent.

// Departures are the lives, by ID, that have said in answers that they leave.
type Departures map[string]bool

// Depart returns the snapshot in which just these lives have said that they leave; itself if that is so. The
// map must not be changed afterwards.
func (s *Snapshot) Depart(departures Departures) *Snapshot {
	if maps.Equal(s.departures, departures) {
		return s
	}
	after := *s
	after.departures = departures
	return after.build()
}

// Departures is how many lives have said in answers that they leave.
func (s *Snapshot) Departures() int { return len(s.departures) }

// Departing tells whether a life has said in an answer that it leaves.
func (s *Snapshot) Departing(id string) bool { return s.departures[id] }

// Departed returns the lives that have said in answers that they leave, sorted.
func (s *Snapshot) Departed() []string { return slices.Sorted(maps.Keys(s.departures)) }

// Undeclared returns the lives that have said in answers that they leave, and that the source lists as if
// they did not.
func (s *Snapshot) Undeclared() []string {
	var undeclared []string
	for id := range s.departures {
		name, _ := s.names.get(id)
		if e, listed := s.endpoints.get(name); listed && !e.Leaving {
			undeclared = append(undeclared, id)
		}
	}
	return undeclared
}

// marked returns the endpoint of an entry as it is known: leaving too if it said so in an answer.
func (s *Snapshot) marked(e Endpoint) Endpoint {
	e.Leaving = e.Leaving || s.departures[e.ID]
	return e
}
