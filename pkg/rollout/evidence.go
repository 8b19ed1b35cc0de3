package rollout

import (
	"math"
	"slices"
)

// A new version is compared with the others on the same routes at the same time. Each measure is a
// sequential test (CUSUM): it sums the log-likelihood ratios of the answers between a bad version
// and one that is as good as the others, for failures and for latencies. The sums do not fall below
// zero, so that a version that turns bad late is still detected.

const (
	// badThreshold is the log-likelihood ratio at which a version is bad. A good version exceeds it
	// once in e^12 (160,000) answers at most, for each measure.
	badThreshold = 12.0
	// suspicionThreshold is the log-likelihood ratio at which a version is no longer considered
	// good.
	suspicionThreshold = 5.0
	// minFailureRate is the least baseline failure rate, initialFailureRate the baseline until
	// another version has answered.
	minFailureRate     = 0.01
	initialFailureRate = 0.1
	// minTimedAnswers is the number of answers needed for a latency baseline.
	minTimedAnswers = 30
	// pseudoCount is added to each histogram bucket (additive smoothing), so that empty buckets
	// have a positive probability.
	pseudoCount = 0.5
	// toleratedSlowdown is the tolerated slowdown in buckets, for example because of a cold prompt
	// cache.
	toleratedSlowdown = 1
)

// excessFailureRates are the tested increases of the failure rate. Several are tested because a
// small increase is detected more slowly.
var excessFailureRates = [...]float64{0.1, 0.3, 0.6}

// slowdown is a tested hypothesis: a fraction of the answers is slower by from to to buckets, with
// equal probability. Each bucket is half as long again as the one before.
type slowdown struct {
	fraction float64
	from, to int
}

// slowdowns are the tested hypotheses, from three buckets (a factor of about 3.4) up.
var slowdowns = [...]slowdown{{1, 3, 4}, {0.5, 3, 5}, {1, 3, bounds}, {0.3, 3, bounds}}

// maxFailureRate limits the failure rate of a hypothesis.
const maxFailureRate = 0.98

// cusum contains one sum of log-likelihood ratios per hypothesis.
type cusum [max(len(excessFailureRates), len(slowdowns))]float64

// addFailures adds answers, given the baseline failure rate.
func (w *cusum) addFailures(failures, successes int, baseline float64) {
	for i, excess := range excessFailureRates {
		part := min(maxFailureRate, baseline+excess)
		if part <= baseline {
			continue
		}
		w.add(i, float64(failures)*math.Log(part/baseline)+float64(successes)*math.Log((1-part)/(1-baseline)))
	}
}

// addTimes adds a latency histogram, given the baseline distribution.
func (w *cusum) addTimes(times []int, baseline [bounds + 1]float64) {
	for i, way := range slowdowns {
		weight := 0.0
		for at, n := range times {
			bad := (1-way.fraction)*baseline[at] + way.fraction*way.probability(baseline, at)
			weight += float64(n) * math.Log(bad/max(baseline[at], shiftedProbability(baseline, at, toleratedSlowdown)))
		}
		w.add(i, weight)
	}
}

func (w *cusum) add(i int, weight float64) { w[i] = max(0, w[i]+weight) }

func (w *cusum) highest() float64 { return slices.Max(w[:]) }

// probability returns the probability of a bucket if all answers are slowed down.
func (s slowdown) probability(baseline [bounds + 1]float64, at int) float64 {
	sum := 0.0
	for by := s.from; by <= s.to; by++ {
		sum += shiftedProbability(baseline, at, by)
	}
	return sum / float64(s.to-s.from+1)
}

// shiftedProbability returns the probability of a bucket if all answers are slower by the given
// number of buckets.
func shiftedProbability(baseline [bounds + 1]float64, at, by int) float64 {
	if at < bounds {
		if at < by {
			return minProbability
		}
		return baseline[at-by]
	}
	rest := 0.0
	for from := bounds - by; from <= bounds; from++ {
		rest += baseline[from]
	}
	return rest
}

// minProbability replaces a probability of zero.
const minProbability = 1e-3

// measureEvidence is the evidence against a version for one measure.
type measureEvidence struct {
	failures cusum
	slow     cusum
}

// Evidence accumulates the evidence against a version. The zero value is ready to use.
type Evidence struct {
	seen     Tally
	measures map[string]*measureEvidence
}

// Update evaluates a cumulative tally; answers already evaluated are not counted again.
func (e *Evidence) Update(all Tally) {
	if e.measures == nil {
		e.measures = map[string]*measureEvidence{}
	}
	for measure, pair := range all {
		if e.measures[measure] == nil {
			e.measures[measure] = &measureEvidence{}
		}
		e.measures[measure].add(e.seen[measure].New, pair)
	}
	e.seen = all.clone()
}

func (a *measureEvidence) add(seen Side, pair Pair) {
	answers, failures := pair.New.Answers-seen.Answers, pair.New.Failures-seen.Failures
	if answers > 0 {
		a.failures.addFailures(failures, answers-failures, baselineFailureRate(pair.Old))
	}
	if pair.Old.Timed() < minTimedAnswers {
		return
	}
	times := make([]int, bounds+1)
	for at := range times {
		times[at] = countAt(pair.New.Times, at) - countAt(seen.Times, at)
	}
	a.slow.addTimes(times, baselineTimes(pair.Old))
}

// baselineFailureRate returns the failure rate of the other versions plus one standard error, at
// least minFailureRate.
func baselineFailureRate(old Side) float64 {
	if old.Answers == 0 {
		return initialFailureRate
	}
	seen := float64(old.Failures) / float64(old.Answers)
	return min(maxFailureRate, max(minFailureRate, seen+math.Sqrt(seen*(1-seen)/float64(old.Answers))))
}

// baselineTimes returns the smoothed latency distribution of the other versions.
func baselineTimes(old Side) [bounds + 1]float64 {
	var baseline [bounds + 1]float64
	all := float64(old.Timed()) + pseudoCount*float64(len(baseline))
	for at := range baseline {
		baseline[at] = (float64(countAt(old.Times, at)) + pseudoCount) / all
	}
	return baseline
}

// weight returns the highest weight over all measures, and its measure.
func (e *Evidence) weight() (float64, string) {
	most, of := 0.0, ""
	for measure, a := range e.measures {
		if w := max(a.failures.highest(), a.slow.highest()); w > most {
			most, of = w, measure
		}
	}
	return most, of
}

// Bad reports whether the version is bad.
func (e *Evidence) Bad() bool {
	weight, _ := e.weight()
	return weight >= badThreshold
}

// Suspicious reports whether the version may be bad.
func (e *Evidence) Suspicious() bool {
	weight, _ := e.weight()
	return weight >= suspicionThreshold
}

// Answers returns the number of answers of the new version that were evaluated.
func (e *Evidence) Answers() int { return e.seen.newAnswers() }
