package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// behaviour is how endpoints of a version answer.
type behaviour struct {
	// fails is the part of failures, slows that of answers which take times as long.
	fails, slows, times float64
	// after is how many answers are as the others' before.
	after int
	// only is the number of the one route that it is about; -1: all.
	only int
}

// routes are three kinds of work: short and alike, with a tail and failures of its own, and prompts of any length.
var routes = []struct {
	median, spread, fails float64
}{{30, 0.5, 0.004}, {30, 0.5, 0.14}, {250, 1.0, 0.004}}

// sampleOf draws an answer on a route.
func sampleOf(random *rand.Rand, route int, b behaviour, n int) rollout.Sample {
	r := routes[route]
	took := r.median * math.Exp(r.spread*random.NormFloat64())
	fails := r.fails
	if n >= b.after && (b.only < 0 || b.only == route) {
		fails = max(fails, b.fails)
		if random.Float64() < b.slows {
			took *= b.times
		}
	}
	return rollout.Sample{Route: fmt.Sprint(route), Failed: random.Float64() < fails, Took: time.Duration(took * float64(time.Millisecond))}
}

// played is what became of a rollout.
type played struct {
	// answers and bad are how many of the new version's had come, and how many of those were as they should not
	// be, when it was found bad; 0: it was not.
	answers, bad int
	// doubted says that at the end the version was not taken for good.
	doubted bool
}

// judge plays so many answers of a new version, each beside fifteen of others, until the version is found bad.
func judge(seed uint64, b behaviour, answers int) played {
	random := rand.New(rand.NewPCG(seed, 1))
	all := rollout.NewTally()
	var e rollout.Evidence
	bad := 0
	for n := range answers {
		for range 15 {
			all.Add(sampleOf(random, random.IntN(len(routes)), behaviour{}, n), false)
		}
		route := random.IntN(len(routes))
		sample := sampleOf(random, route, b, n)
		if sample.Failed || sample.Took > 3*time.Duration(routes[route].median)*time.Millisecond {
			bad++
		}
		all.Add(sample, true)
		if n%4 > 0 && n < answers-1 {
			// Reports bring several answers at once.
			continue
		}
		e.Weigh(all)
		if e.Bad() {
			return played{answers: n + 1, bad: bad, doubted: true}
		}
	}
	return played{doubted: e.Suspicious()}
}

var _ = Describe("the evidence against a version", func() {
	// trial is how many answers of a version are weighed before it gets all of the traffic, in a rollout over
	// twelve seconds of a service with 250 requests a second.
	const trial = 120

	DescribeTable("is not enough for one",
		func(b behaviour, mostWrong, mostDoubted int) {
			wrong, doubted := 0, 0
			for seed := range uint64(500) {
				p := judge(seed, b, trial)
				if p.answers > 0 {
					wrong++
				}
				if p.doubted {
					doubted++
				}
			}
			Expect(wrong).To(BeNumerically("<=", mostWrong), "of 500")
			Expect(doubted).To(BeNumerically("<=", mostDoubted), "of 500")
		},
		Entry("that is good", behaviour{only: -1}, 1, 15),
		Entry("that is a fifth slower", behaviour{slows: 1, times: 1.2, only: -1}, 2, 25),
		Entry("that keeps no prompts yet", behaviour{slows: 0.7, times: 1.8, only: 2}, 2, 25),
	)

	DescribeTable("is enough for a bad one before the fiftieth bad answer, and it is not taken for good",
		func(b behaviour) {
			late, trusted := 0, 0
			for seed := range uint64(100) {
				if p := judge(seed, b, 600); p.answers == 0 || p.bad >= 50 {
					late++
				}
				if !judge(seed, b, trial).doubted {
					trusted++
				}
			}
			Expect(late).To(BeNumerically("<=", 1), "of 100")
			Expect(trusted).To(BeNumerically("<=", 1), "of 100")
		},
		Entry("three answers in ten fail", behaviour{fails: 0.3, only: -1}),
		Entry("all fail", behaviour{fails: 1, only: -1}),
		Entry("three in ten fail, late", behaviour{fails: 0.3, only: -1, after: 60}),
		Entry("half fail, on one route only", behaviour{fails: 0.5, only: 0}),
		Entry("all take five times as long", behaviour{slows: 1, times: 5, only: -1}),
		Entry("all take twenty times as long", behaviour{slows: 1, times: 20, only: -1}),
		Entry("a third is not answered for seconds", behaviour{slows: 0.33, times: 200, only: -1}),
		Entry("all take five times as long, late", behaviour{slows: 1, times: 5, only: -1, after: 60}),
		Entry("half take six times as long", behaviour{slows: 0.5, times: 6, only: -1}),
		Entry("all take four times as long, on one route only", behaviour{slows: 1, times: 4, only: 0}),
	)
})
