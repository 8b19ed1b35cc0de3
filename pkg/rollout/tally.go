// Package rollout decides how the traffic of a service moves from the endpoints of one version to those of
// another: what share the new version gets, whether it is as good as the old one, and when the old endpoints may
// stop. It does no I/O but for the keeper, which asks and tells through narrow interfaces.
package rollout

import "time"

// Bounds of the times that are told apart: the first, in milliseconds, and how much longer each next one is.
const (
	firstBound  = 5.0
	boundFactor = 1.5
	// bounds is how many there are: the last is 3.3 s, and all that is longer counts alike.
	bounds = 17
)

// boundOf returns the number of the least bound that a time does not pass.
func boundOf(took time.Duration) int {
	bound := firstBound * float64(time.Millisecond)
	for n := range bounds {
		if float64(took) <= bound {
			return n
		}
		bound *= boundFactor
	}
	return bounds
}

// Side is what endpoints of one version answered.
type Side struct {
	// Answers are all that came, or that should have come; Failures those that were none, or said that the
	// endpoint failed.
	Answers  int `json:"answers,omitempty"`
	Failures int `json:"failures,omitempty"`
	// Times counts the answers by how long they took: those of Times[n] did not pass bound n, and did pass the
	// one before. It is empty if none was timed.
	Times []int `json:"times,omitempty"`
}

// Timed is how many answers were timed.
func (s Side) Timed() int {
	n := 0
	for _, times := range s.Times {
		n += times
	}
	return n
}

func nth(times []int, at int) int {
	if at < len(times) {
		return times[at]
	}
	return 0
}

// Pair is what endpoints of the new version and of the others answered.
type Pair struct {
	New Side `json:"new,omitzero"`
	Old Side `json:"old,omitzero"`
}

// Tally is what was answered by measure: a route, or the pauses of its streams. A version may be bad on one
// route only.
type Tally map[string]Pair

// NewTally returns an empty tally.
func NewTally() Tally { return Tally{} }

// include adds another tally to this one, which shares nothing with any other.
func (t Tally) include(other Tally) {
	for measure, pair := range other {
		sum := t[measure]
		sum.New.add(pair.New)
		sum.Old.add(pair.Old)
		t[measure] = sum
	}
}

// clone returns a tally that shares nothing with this one.
func (t Tally) clone() Tally {
	c := NewTally()
	c.include(t)
	return c
}

// answers is how many answers of the new version count, over all routes.
func (t Tally) answers() int {
	n := 0
	for _, pair := range t {
		n += pair.New.Answers
	}
	return n
}

// pauses is the measure of the pauses of a route's streams.
func pauses(route string) string { return route + " pauses" }

// Sample is what became of one call.
type Sample struct {
	Route  string
	Failed bool
	// Took is the time to the answer, or to the first event of a stream; 0: not known.
	Took time.Duration
	// Pause is the mean pause between a stream's events; 0: not known.
	Pause time.Duration
}

// Add counts a sample, of the new version or of another.
func (t Tally) Add(s Sample, isNew bool) {
	one := Side{Answers: 1}
	if s.Failed {
		one.Failures = 1
	}
	if s.Took > 0 {
		one.Times = timed(s.Took)
	}
	t.count(s.Route, one, isNew)
	if s.Pause > 0 {
		t.count(pauses(s.Route), Side{Times: timed(s.Pause)}, isNew)
	}
}

func timed(took time.Duration) []int {
	times := make([]int, bounds+1)
	times[boundOf(took)] = 1
	return times
}

func (t Tally) count(measure string, one Side, isNew bool) {
	pair := t[measure]
	if isNew {
		pair.New.add(one)
	} else {
		pair.Old.add(one)
	}
	t[measure] = pair
}

// add adds another side to this one, whose times nobody else has. That of another build may tell more times apart.
func (s *Side) add(other Side) {
	s.Answers += other.Answers
	s.Failures += other.Failures
	if s.Times == nil && other.Times != nil {
		s.Times = make([]int, bounds+1)
	}
	for at, n := range other.Times {
		s.Times[min(at, bounds)] += n
	}
}
