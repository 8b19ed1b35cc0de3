package pipeline_test

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

var _ = Describe("the choice of an engine", func() {
	var (
		clock *clockwork.FakeClock
		set   *metrics.Set
		p     *pipeline.Planner
		plans int
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		set = metrics.NewSet()
		p = pipeline.NewPlanner(noStages{}, clock, set, logging.Discard().For("pipeline"))
		plans = 0
	})

	option := func(id string, costMs int64) pipeline.Reader {
		return pipeline.Reader{Endpoint: id, CostMs: costMs, ReadingMs: 100, Slots: 4, Slowness: 1}
	}

	choose := func(options ...pipeline.Reader) string {
		plans++
		plan := pipeline.Plan{Request: fmt.Sprint("r", plans), Due: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute), Readers: options}
		return p.Run(context.Background(), pipeline.Part{Of: 1}, plan).Reader
	}

	observe := func(list ...balance.Observation) {
		p.Observe(list, func(id string) bool { return id != "gone" })
	}

	counted := func(outcome string) uint64 {
		return set.GetOrCreateCounter(fmt.Sprintf("cobaltcroft_observations_total{outcome=%q}", outcome)).Get()
	}

	streams := func(id string) int {
		views := p.Engines([]pipeline.Reader{option(id, 100)})
		Expect(views).To(HaveLen(1))
		return views[0].Streams
	}

	It("avoids engines that other instances found slow", func() {
		Expect(choose(option("a", 100), option("b", 110))).To(Equal("a"))
		clock.Advance(time.Second)
		observe(balance.Observation{Endpoint: "a", Sample: 2.2}, balance.Observation{Endpoint: "b", Sample: 0.8})
		Expect(choose(option("a", 100), option("b", 110))).To(Equal("b"))
	})

	// Otherwise a few streams more at an engine with large batches would outweigh its cached prompts.
	It("weighs the streams at an engine by its slots", func() {
		withSlots := func(id string, costMs int64, slots int) pipeline.Reader {
			o := option(id, costMs)
			o.Slots = slots
			return o
		}
		for _, slots := range []int{12, 64} {
			observe(balance.Observation{Endpoint: "a", Slots: slots, Slowness: 1, Running: 6})
			preferred := map[int]string{12: "b", 64: "a"}[slots]
			Expect(choose(withSlots("a", 100, slots), withSlots("b", 200, slots))).To(Equal(preferred))
			clock.Advance(time.Minute)
		}
	})

	It("avoids an engine with interference only while that lasts", func() {
		observe(balance.Observation{Endpoint: "a", Slots: 4, Slowness: 2.5}, balance.Observation{Endpoint: "b", Slots: 4, Slowness: 1, Sample: 1})
		Expect(choose(option("a", 100), option("b", 110))).To(Equal("b"))
		clock.Advance(2 * time.Second)
		observe(balance.Observation{Endpoint: "b", Slots: 4, Slowness: 1, Running: 1})
		Expect(choose(option("a", 100), option("b", 110))).To(Equal("a"))
	})

	It("places no stream beyond the slots of an engine while another has a free slot", func() {
		for range 4 {
			Expect(choose(option("a", 0))).To(Equal("a"))
			clock.Advance(time.Second)
		}
		Expect(choose(option("a", 0), option("b", 5_000))).To(Equal("b"))
	})

	It("counts the streams that an engine reports, those placed since, and not those that ended", func() {
		observe(balance.Observation{Endpoint: "a", Slots: 12, Running: 5, Waiting: 1})
		Expect(streams("a")).To(Equal(6))
		clock.Advance(time.Millisecond)
		choose(option("a", 0))
		Expect(streams("a")).To(Equal(7))
		observe(balance.Observation{Endpoint: "a", AgeMs: 500, Ended: []uint32{balance.StreamKey("r1"), 77}})
		Expect(streams("a")).To(Equal(4), "the stream that was placed here has ended, and one that was not")
	})

	It("forgets streams whose end is not reported", func() {
		choose(option("a", 0))
		clock.Advance(3 * time.Second)
		observe(balance.Observation{Endpoint: "a", Ended: []uint32{balance.StreamKey("r1")}})
		choose(option("a", 0))
		clock.Advance(5 * time.Second)
		Expect(streams("a")).To(Equal(1))
		clock.Advance(2 * time.Second)
		Expect(streams("a")).To(BeZero(), "twice the mean length of streams")
	})

	It("forgets streams after 30 s if no end was ever reported", func() {
		choose(option("a", 0))
		clock.Advance(29 * time.Second)
		Expect(streams("a")).To(Equal(1))
		clock.Advance(2 * time.Second)
		Expect(streams("a")).To(BeZero())
	})

	It("assigns an unknown engine the mean speed", func() {
		for range 300 {
			observe(balance.Observation{Endpoint: "a", Sample: 2}, balance.Observation{Endpoint: "c", Sample: 2})
		}
		Expect(choose(option("a", 100), option("unknown", 105))).To(Equal("a"), "the unknown engine is not expected to be faster")
	})

	It("uses the costs of the instance while nothing was observed, and for plans of earlier versions", func() {
		Expect(choose(option("a", 100), option("b", 90))).To(Equal("b"))
		clock.Advance(time.Second)
		observe(balance.Observation{Endpoint: "a", Sample: 1}, balance.Observation{Endpoint: "b", Sample: 5, Running: 40, Slots: 4})
		earlier := func(id string, costMs int64) pipeline.Reader {
			return pipeline.Reader{Endpoint: id, CostMs: costMs, ReadingMs: 100}
		}
		Expect(choose(earlier("a", 100), earlier("b", 90))).To(Equal("b"))
	})

	DescribeTable("drops and counts malformed observations",
		func(o balance.Observation) {
			observe(balance.Observation{Endpoint: "a", Sample: 1}, balance.Observation{Endpoint: "b", Sample: 1})
			observe(o)
			Expect(counted("malformed")).To(Equal(uint64(1)))
			Expect(counted("used")).To(Equal(uint64(2)))
			Expect(choose(option("a", 100), option("b", 110))).To(Equal("a"))
		},
		Entry("without an endpoint", balance.Observation{Sample: 5}),
		Entry("of an unknown endpoint", balance.Observation{Endpoint: "gone", Sample: 5}),
		Entry("with a negative age", balance.Observation{Endpoint: "a", AgeMs: -1, Sample: 5}),
		Entry("with a negative sample", balance.Observation{Endpoint: "a", Sample: -1}),
		Entry("with a sample that is not a number", balance.Observation{Endpoint: "a", Sample: math.NaN()}),
		Entry("with an infinite slowness", balance.Observation{Endpoint: "a", Slots: 4, Slowness: math.Inf(1)}),
		Entry("with negative counts", balance.Observation{Endpoint: "a", Slots: 4, Running: -1}),
		Entry("with impossible counts", balance.Observation{Endpoint: "a", Slots: 4, Running: 1 << 30}),
		Entry("with too many ended streams", balance.Observation{Endpoint: "a", Sample: 5, Ended: make([]uint32, 1_000)}),
	)

	It("ignores observations older than 10 s", func() {
		observe(balance.Observation{Endpoint: "a", AgeMs: 10_001, Sample: 5, Running: 4, Slots: 4})
		Expect(counted("stale")).To(Equal(uint64(1)))
		Expect(choose(option("a", 100), option("b", 110))).To(Equal("a"))
	})

	It("uses at most 16 observations of a report", func() {
		observe(make([]balance.Observation, 100)...)
		Expect(counted("malformed")).To(Equal(uint64(balance.MaxObservations)))
	})
})
