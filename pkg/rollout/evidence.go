package rollout

import (
	"math"
	"slices"
)

// A version is compared with the others side by side: on the same route, in the same time, at the same load. Two
// things speak against it: that a greater part of its answers are failures, and that all or a part of them take
// several times as long. For each the answers are weighed one after the other, by how much likelier they are of a
// bad version than of one that is as good as the others. What speaks for the version is forgotten once it outweighs
// what speaks against it, since it may turn bad late; so each moment may be the one at which it did.

const (
	// verdictWeight is the weight (a natural logarithm) at which a version is bad. That of a good one passes it in
	// at most one of e^12 = 160,000 answers for each thing that is weighed.
	verdictWeight = 12.0
	// suspicionWeight is the weight at which a version isn't taken for good.
	suspicionWeight = 5.0
	// leastFailing is the part of failures that is taken for usual at least, and firstFailing that while no other
	// version has answered.
	leastFailing = 0.01
	firstFailing = 0.1
	// leastTimed is how many answers of the others it takes to know how long they usually take.
	leastTimed = 30
	// unseen is how many answers of each length are added to those that were seen: a length that
	// was never seen is not impossible.
	unseen = 0.5
	// somewhat is by how many bounds a version may be slower, as one is that has read none of the prompts
	// which the others keep.
	somewhat = 1
)

// excesses are by how much more often a bad version is taken to fail than the others: one that fails seldom is
// found late, one that fails often at once.
var excesses = [...]float64{0.1, 0.3, 0.6}

// slowness is a way in which a version may be slow: a part of its answers takes from so many up to so many bounds more,
// each half as long again, any number of them alike.
type slowness struct {
	part     float64
	from, to int
}

// slow are the ways that a version is taken to be slow in: from three and a half to five times as long, all or half
// of its answers, and by any factor from three and a half on.
var slow = [...]slowness{{1, 3, 4}, {0.5, 3, 5}, {1, 3, bounds}, {0.3, 3, bounds}}

// greatestPart bounds the part of its answers that a version is taken to fail.
const greatestPart = 0.98

// weighed is what speaks against a version in one thing, by how it may be bad.
type weighed [max(len(excesses), len(slow))]float64

// failed weighs answers of which some were failures, where a part of the others' is.
func (w *weighed) failed(failures, successes int, usual float64) {
	for i, excess := range excesses {
		part := min(greatestPart, usual+excess)
		if part <= usual {
			continue
		}
		w.add(i, float64(failures)*math.Log(part/usual)+float64(successes)*math.Log((1-part)/(1-usual)))
	}
}

// took weighs times, by how often the others' answers took as long.
func (w *weighed) took(times []int, usual [bounds + 1]float64) {
	for i, way := range slow {
		weight := 0.0
		for at, n := range times {
			bad := (1-way.part)*usual[at] + way.part*way.times(usual, at)
			weight += float64(n) * math.Log(bad/max(usual[at], shifted(usual, at, somewhat)))
		}
		w.add(i, weight)
	}
}

func (w *weighed) add(i int, weight float64) { w[i] = max(0, w[i]+weight) }

func (w *weighed) most() float64 { return slices.Max(w[:]) }

// times is the part of answers that passes just so many bounds if all are slow in this way.
func (s slowness) times(usual [bounds + 1]float64, at int) float64 {
	sum := 0.0
	for by := s.from; by <= s.to; by++ {
		sum += shifted(usual, at, by)
	}
	return sum / float64(s.to-s.from+1)
}

// shifted is the part of answers that passes just so many bounds if all take so many more than usual.
func shifted(usual [bounds + 1]float64, at, by int) float64 {
	if at < bounds {
		if at < by {
			return never
		}
		return usual[at-by]
	}
	rest := 0.0
	for from := bounds - by; from <= bounds; from++ {
		rest += usual[from]
	}
	return rest
}

// never is the part that is taken for what can't be.
const never = 1e-3

// against is what speaks against a version by one measure.
type against struct {
	failures weighed
	slowness weighed
}

// Evidence is what speaks against a version. The zero value is empty.
type Evidence struct {
	seen    Tally
	against map[string]*against
}

// Weigh takes in all that was answered until now; what it has weighed before is not weighed again.
func (e *Evidence) Weigh(all Tally) {
	if e.against == nil {
		e.against = map[string]*against{}
	}
	for measure, pair := range all {
		if e.against[measure] == nil {
			e.against[measure] = &against{}
		}
		e.against[measure].add(e.seen[measure].New, pair)
	}
	e.seen = all.clone()
}

func (a *against) add(seen Side, pair Pair) {
	answers, failures := pair.New.Answers-seen.Answers, pair.New.Failures-seen.Failures
	if answers > 0 {
		a.failures.failed(failures, answers-failures, usuallyFail(pair.Old))
	}
	if pair.Old.Timed() < leastTimed {
		return
	}
	times := make([]int, bounds+1)
	for at := range times {
		times[at] = nth(pair.New.Times, at) - nth(seen.Times, at)
	}
	a.slowness.took(times, usualTimes(pair.Old))
}

// usuallyFail is the part of the others' answers that is taken to fail usually: what was seen and a standard
// error, and no less than a floor.
func usuallyFail(old Side) float64 {
	if old.Answers == 0 {
		return firstFailing
	}
	seen := float64(old.Failures) / float64(old.Answers)
	return min(greatestPart, max(leastFailing, seen+math.Sqrt(seen*(1-seen)/float64(old.Answers))))
}

// usualTimes is the part of the others' answers that passes just so many bounds.
func usualTimes(old Side) [bounds + 1]float64 {
	var usual [bounds + 1]float64
	all := float64(old.Timed()) + unseen*float64(len(usual))
	for at := range usual {
		usual[at] = (float64(nth(old.Times, at)) + unseen) / all
	}
	return usual
}

// weight is the greatest weight of all that speaks against the version, and the measure that it is of.
func (e *Evidence) weight() (float64, string) {
	most, of := 0.0, ""
	for measure, a := range e.against {
		if w := max(a.failures.most(), a.slowness.most()); w > most {
			most, of = w, measure
		}
	}
	return most, of
}

// Bad tells whether the version is bad.
func (e *Evidence) Bad() bool {
	weight, _ := e.weight()
	return weight >= verdictWeight
}

// Suspicious tells whether the version can't be taken for good.
func (e *Evidence) Suspicious() bool {
	weight, _ := e.weight()
	return weight >= suspicionWeight
}

// Answers is how many answers of the version were weighed.
func (e *Evidence) Answers() int { return e.seen.answers() }
