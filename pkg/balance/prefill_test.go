package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// firstEvent returns the time to the first event of an engine.
func firstEvent(perMillisecond, slowness float64, tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration(slowness * (55 + float64(tokens)/perMillisecond + 0.3*pairs) * float64(time.Millisecond))
}

var _ = Describe("the prefill time of a service", func() {
	const largest = 54_600
	var (
		clock  *clockwork.FakeClock
		b      *balance.Balancer
		all    []fleet.Endpoint
		random *rand.Rand
		calls  int
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, noBackoffs(clock))
		all = nil
		for i := range 140 {
			all = append(all, fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "model", FailureDomain: fmt.Sprint("zone-", i%3)})
		}
		random = rand.New(rand.NewPCG(1, 2))
		calls = 0
	})

	prompt := func(tokens int) balance.CallSpec {
		calls++
		return balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: fmt.Sprint("own", calls), Tokens: tokens}}}
	}

	// call makes a call whose first event arrives after a time.
	call := func(spec balance.CallSpec, load *balance.Load, after time.Duration) {
		c := b.Pick(all, spec)
		c.RecordLoad(load)
		clock.Advance(after)
		c.EventsReceived(1)
		c.End(balance.Succeeded, nil)
	}

	// estimate is the one for an engine that was never called.
	estimate := func(tokens int) time.Duration {
		took, _ := b.Estimate([]fleet.Endpoint{{ID: "new", Service: "model"}}, prompt(tokens))
		return took
	}

	sizes := []int{400, 2_000, 6_610, 6_610, 6_610, 11_992, 11_992, 25_000, largest}

	It("is the previous fixed estimate without samples", func() {
		Expect(estimate(largest)).To(Equal(60*time.Millisecond + 1092*time.Millisecond))
		Expect(estimate(0)).To(Equal(60 * time.Millisecond))
	})

	DescribeTable("converges within a few dozen calls to many engines, also for large prompts, although engines differ and interference is reported late",
		func(perMillisecond float64) {
			for i := range 48 {
				tokens := sizes[i%len(sizes)]
				slowness, load := 0.85+0.3*random.Float64(), &balance.Load{Slots: 12, Slowness: 1}
				switch {
				case i%6 == 1:
					slowness, load.Slowness = 2.5*slowness, 2.5
				case i%12 == 4:
					slowness *= 2.5
				}
				call(prompt(tokens), load, firstEvent(perMillisecond, slowness, tokens))
			}
			for _, tokens := range []int{0, 6_610, 25_000, largest} {
				want := firstEvent(perMillisecond, 1, tokens)
				fmt.Fprintf(GinkgoWriter, "%d tokens: estimate %v, actual %v\n", tokens, estimate(tokens), want)
				Expect(estimate(tokens)).To(BeNumerically("~", want, want*15/100), "%d tokens", tokens)
			}
		},
		Entry("at 92 tokens per ms", 92.0),
		Entry("at 140 tokens per ms", 140.0),
		Entry("at 25 tokens per ms", 25.0),
	)

	It("does not overestimate large prompts when only small ones were measured, since large ones would then be refused and never measured", func() {
		for i := range 48 {
			tokens := sizes[i%6]
			call(prompt(tokens), nil, firstEvent(92, 0.85+0.3*random.Float64(), tokens))
		}
		want := firstEvent(92, 1, largest)
		fmt.Fprintf(GinkgoWriter, "estimate %v, actual %v\n", estimate(largest), want)
		Expect(estimate(largest)).To(BeNumerically("<", want))
		Expect(estimate(largest)).To(BeNumerically(">", want/2))
	})

	It("is that of the majority where a quarter of the engines are slow", func() {
		for i := range 96 {
			tokens, slowness := sizes[i%len(sizes)], 1/1.2
			if i%4 == 0 {
				slowness = 1 / 0.55
			}
			call(prompt(tokens), nil, firstEvent(100, slowness, tokens))
		}
		fmt.Fprintf(GinkgoWriter, "estimate %v, fast %v, nominal %v\n", estimate(largest), firstEvent(100, 1/1.2, largest), firstEvent(100, 1, largest))
		Expect(estimate(largest)).To(BeNumerically(">=", firstEvent(100, 1/1.2, largest)))
		Expect(estimate(largest)).To(BeNumerically("<=", firstEvent(100, 1.1, largest)))
	})

	Describe("is not changed by", func() {
		var before, small time.Duration

		BeforeEach(func() {
			for i := range 48 {
				call(prompt(sizes[i%len(sizes)]), nil, firstEvent(100, 1, sizes[i%len(sizes)]))
			}
			before, small = estimate(largest), estimate(400)
		})

		AfterEach(func() {
			Expect(estimate(largest)).To(BeNumerically("~", before, before/20))
			Expect(estimate(400)).To(BeNumerically("~", small, small/20))
		})

		It("calls to engines with waiting requests", func() {
			for range 48 {
				call(prompt(6_610), &balance.Load{Waiting: 3, Slots: 12}, firstEvent(100, 3, 6_610))
			}
		})

		It("overdue calls", func() {
			for range 10 {
				call(prompt(6_610), nil, 3*time.Second)
			}
		})

		It("calls to an engine that fails", func() {
			for range 10 {
				b.Pick(all[:1], prompt(400)).End(balance.Failed, nil)
				c := b.Pick(all[:1], prompt(6_610))
				clock.Advance(firstEvent(100, 3, 6_610))
				c.EventsReceived(1)
				c.End(balance.Canceled, nil)
			}
		})

		It("calls that wait for the prefill of other calls of this instance", func() {
			for range 10 {
				first, second := b.Pick(all[:1], prompt(largest)), b.Pick(all[:1], prompt(400))
				clock.Advance(firstEvent(100, 1, largest))
				second.EventsReceived(1)
				first.EventsReceived(1)
				first.End(balance.Succeeded, nil)
				second.End(balance.Succeeded, nil)
			}
		})
	})

	It("follows engines that have all become slower, although their calls are overdue at first", func() {
		for range 48 {
			call(prompt(400), nil, firstEvent(100, 1, 400))
		}
		for range 64 {
			call(prompt(400), nil, 480*time.Millisecond)
		}
		Expect(estimate(400)).To(BeNumerically("~", 480*time.Millisecond, 60*time.Millisecond))
	})

	It("is learnt despite shared parts that other instances have caused to be cached", func() {
		for i := range 48 {
			own := sizes[i%len(sizes)]
			spec := prompt(own)
			spec.Parts = append([]balance.Part{{ID: fmt.Sprint("shared", i), Tokens: 5_382}}, spec.Parts...)
			call(spec, nil, firstEvent(100, 1, own))
		}
		want := firstEvent(100, 1, largest)
		fmt.Fprintf(GinkgoWriter, "estimate %v, actual %v\n", estimate(largest), want)
		Expect(estimate(largest)).To(BeNumerically("~", want, want*15/100))
	})

	It("stays within its bounds", func() {
		for range 100 {
			call(prompt(25_000), nil, 0)
		}
		Expect(estimate(0)).To(BeNumerically(">=", 10*time.Millisecond))
		Expect(estimate(10_000) - estimate(0)).To(BeNumerically(">=", 10*time.Millisecond))
	})

	It("is kept for each service", func() {
		for range 48 {
			call(prompt(largest), nil, firstEvent(140, 1, largest))
		}
		other, _ := b.Estimate([]fleet.Endpoint{{ID: "x", Service: "other"}}, prompt(largest))
		Expect(other).To(Equal(1152 * time.Millisecond))
	})
})
