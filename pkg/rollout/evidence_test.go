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

// behaviour describes how endpoints of a version answer.
type behaviour struct {
	// failureRate is the fraction of failures; slowRate is the fraction of answers slower by
	// slowFactor.
	failureRate, slowRate, slowFactor float64
	// after is the number of normal answers before the behaviour starts.
	after int
	// route is the only affected route; -1 for all.
	route int
}

// routes are three workloads: uniform latency, uniform latency with a high failure rate, and a wide
// spread of latencies.
var routes = []struct {
	median, spread, fails float64
}{{30, 0.5, 0.004}, {30, 0.5, 0.14}, {250, 1.0, 0.004}}

// sampleOf generates a sample for a route.
func sampleOf(random *rand.Rand, route int, b behaviour, n int) rollout.Sample {
	r := routes[route]
	took := r.median * math.Exp(r.spread*random.NormFloat64())
	fails := r.fails
	if n >= b.after && (b.route < 0 || b.route == route) {
		fails = max(fails, b.failureRate)
		if random.Float64() < b.slowRate {
			took *= b.slowFactor
		}
	}
	return rollout.Sample{Route: fmt.Sprint(route), Failed: random.Float64() < fails, Duration: time.Duration(took * float64(time.Millisecond))}
}

// outcome is the result of a simulated rollout.
type outcome struct {
	// answers and bad are the numbers of answers and of bad answers until the version was found
	// bad; 0 if it was not.
	answers, bad int
	// suspicious is set if the version was suspicious at the end.
	suspicious bool
}

// simulate evaluates answers of a new version, with fifteen answers of other versions beside each,
// until the version is found bad.
func simulate(seed uint64, b behaviour, answers int) outcome {
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
		if sample.Failed || sample.Duration > 3*time.Duration(routes[route].median)*time.Millisecond {
			bad++
		}
		all.Add(sample, true)
		if n%4 > 0 && n < answers-1 {
			// Reports contain several answers.
			continue
		}
		e.Update(all)
		if e.Bad() {
			return outcome{answers: n + 1, bad: bad, suspicious: true}
		}
	}
	return outcome{suspicious: e.Suspicious()}
}

var _ = Describe("the evidence against a version", func() {
	// trial is the number of answers evaluated before full traffic, for a rollout over 12 seconds
	// at 250 requests a second.
	const trial = 120

	DescribeTable("does not condemn a version",
		func(b behaviour, mostWrong, mostDoubted int) {
			wrong, doubted := 0, 0
			for seed := range uint64(500) {
				p := simulate(seed, b, trial)
				if p.answers > 0 {
					wrong++
				}
				if p.suspicious {
					doubted++
				}
			}
			Expect(wrong).To(BeNumerically("<=", mostWrong), "of 500")
			Expect(doubted).To(BeNumerically("<=", mostDoubted), "of 500")
		},
		Entry("that is good", behaviour{route: -1}, 1, 15),
		Entry("that is a fifth slower", behaviour{slowRate: 1, slowFactor: 1.2, route: -1}, 2, 25),
		Entry("with a cold prompt cache", behaviour{slowRate: 0.7, slowFactor: 1.8, route: 2}, 2, 25),
	)

	DescribeTable("condemns a bad version before the fiftieth bad answer, and does not pass its trial",
		func(b behaviour) {
			late, trusted := 0, 0
			for seed := range uint64(100) {
				if p := simulate(seed, b, 600); p.answers == 0 || p.bad >= 50 {
					late++
				}
				if !simulate(seed, b, trial).suspicious {
					trusted++
				}
			}
			Expect(late).To(BeNumerically("<=", 1), "of 100")
			Expect(trusted).To(BeNumerically("<=", 1), "of 100")
		},
		Entry("three answers in ten fail", behaviour{failureRate: 0.3, route: -1}),
		Entry("all fail", behaviour{failureRate: 1, route: -1}),
		Entry("three in ten fail, late", behaviour{failureRate: 0.3, route: -1, after: 60}),
		Entry("half fail, on one route only", behaviour{failureRate: 0.5, route: 0}),
		Entry("all take five times as long", behaviour{slowRate: 1, slowFactor: 5, route: -1}),
		Entry("all take twenty times as long", behaviour{slowRate: 1, slowFactor: 20, route: -1}),
		Entry("a third of the answers take seconds", behaviour{slowRate: 0.33, slowFactor: 200, route: -1}),
		Entry("all take five times as long, late", behaviour{slowRate: 1, slowFactor: 5, route: -1, after: 60}),
		Entry("half take six times as long", behaviour{slowRate: 0.5, slowFactor: 6, route: -1}),
		Entry("all take four times as long, on one route only", behaviour{slowRate: 1, slowFactor: 4, route: 0}),
	)
})
