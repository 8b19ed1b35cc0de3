// Package rollout decides how a service's traffic moves from one version to another: the share of
// the new version, whether it is as good as the old one, and when the old endpoints may stop. Apart
// from its manager, which uses narrow interfaces, it does no I/O.
package rollout

import "time"

// Latency histogram buckets: firstBound is the first upper bound in milliseconds, boundFactor the
// ratio between bounds.
const (
	firstBound  = 5.0
	boundFactor = 1.5
	// bounds is the number of bounds; the last bucket contains all values over 3.3 s.
	bounds = 17
)

// boundOf returns the bucket of a duration.
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

// Side counts the answers of one side of the comparison.
type Side struct {
	// Answers counts all expected answers, Failures those that were missing or reported a failure.
	Answers  int `json:"answers,omitempty"`
	Failures int `json:"failures,omitempty"`
	// Times is the latency histogram; empty if nothing was timed.
	Times []int `json:"times,omitempty"`
}

// Timed returns the number of timed answers.
func (s Side) Timed() int {
	n := 0
	for _, times := range s.Times {
		n += times
	}
	return n
}

func countAt(times []int, at int) int {
	if at < len(times) {
		return times[at]
	}
	return 0
}

// Pair contains the counts of the new version and of the others.
type Pair struct {
	New Side `json:"new,omitzero"`
	Old Side `json:"old,omitzero"`
}

// Tally contains the counts by measure: a route, or the pauses between events of its streams.
type Tally map[string]Pair

// NewTally returns an empty tally.
func NewTally() Tally { return Tally{} }

// merge adds another tally without sharing memory with it.
func (t Tally) merge(other Tally) {
	for measure, pair := range other {
		sum := t[measure]
		sum.New.add(pair.New)
		sum.Old.add(pair.Old)
		t[measure] = sum
	}
}

// clone returns a deep copy.
func (t Tally) clone() Tally {
	c := NewTally()
	c.merge(t)
	return c
}

// newAnswers returns the number of answers of the new version over all routes.
func (t Tally) newAnswers() int {
	n := 0
	for _, pair := range t {
		n += pair.New.Answers
	}
	return n
}

// pauseMeasure returns the measure for pauses between the events of a route's streams.
func pauseMeasure(route string) string { return route + " pauses" }

// Sample is the outcome of one call.
type Sample struct {
	Route  string
	Failed bool
	// Duration is the time to the response or to the first event; 0 if unknown.
	Duration time.Duration
	// Pause is the mean pause between events; 0 if unknown.
	Pause time.Duration
}

// Add counts a sample.
func (t Tally) Add(s Sample, isNew bool) {
	one := Side{Answers: 1}
	if s.Failed {
		one.Failures = 1
	}
	if s.Duration > 0 {
		one.Times = singleTime(s.Duration)
	}
	t.addSide(s.Route, one, isNew)
	if s.Pause > 0 {
		t.addSide(pauseMeasure(s.Route), Side{Times: singleTime(s.Pause)}, isNew)
	}
}

func singleTime(took time.Duration) []int {
	times := make([]int, bounds+1)
	times[boundOf(took)] = 1
	return times
}

func (t Tally) addSide(measure string, one Side, isNew bool) {
	pair := t[measure]
	if isNew {
		pair.New.add(one)
	} else {
		pair.Old.add(one)
	}
	t[measure] = pair
}

// add adds the counts of another side. The histogram of another build may have more buckets; the
// excess goes to the last one.
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
