package pipeline_test

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

var _ = Describe("a plan that moves", func() {
	var (
		m     *maker
		clock *clockwork.FakeClock
		p     *pipeline.Planner
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		m = &maker{stages: make(chan *making, 100), capacity: batch.Capacity{PerSecond: 10, AtOnce: 10, Call: 300 * time.Millisecond, RoomBytes: 1 << 30, Size: 10}}
		p = pipeline.NewPlanner(m, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	})

	// planOf is a plan of two stages of which the second reads the first.
	planOf := func(left time.Duration, made [][]batch.Result) pipeline.Plan {
		return pipeline.Plan{
			Request:  "r",
			Stages:   []pipeline.Stage{{Service: "s", Pieces: 2, Bytes: 1}, {Service: "t", After: []int{0}, Pieces: 3, Bytes: 1}},
			Key:      "key",
			Due:      clock.Now().Add(left),
			Deadline: clock.Now().Add(time.Minute),
			Made:     made,
		}
	}

	run := func(plan pipeline.Plan) chan pipeline.Outcome {
		done := make(chan pipeline.Outcome, 1)
		go func() { done <- p.Run(context.Background(), pipeline.Part{Of: 1}, plan) }()
		return done
	}

	next := func() *making {
		GinkgoHelper()
		var stage *making
		Eventually(m.stages).Should(Receive(&stage))
		return stage
	}

	outcomeOf := func(done chan pipeline.Outcome) pipeline.Outcome {
		GinkgoHelper()
		var outcome pipeline.Outcome
		Eventually(done).Should(Receive(&outcome))
		return outcome
	}

	result := func(handle string) batch.Result { return batch.Result{Handle: handle, Domain: "made", Bytes: 1} }

	It("tells what was made of it, and gives nothing up", func() {
		done := run(planOf(time.Minute, nil))
		first := next()
		first.done <- []batch.Result{result("a"), {Reason: batch.Moved}}
		outcome := outcomeOf(done)
		Expect(outcome.Reason).To(Equal(batch.Moved))
		Expect(outcome.Made).To(HaveLen(2))
		Expect(outcome.Made[0]).To(Equal([]batch.Result{result("a"), {Reason: batch.Moved}}))
		Expect(m.Freed()).To(BeEmpty())
	})

	It("goes on elsewhere with the pieces that are missing, though it would be late", func() {
		done := run(planOf(0, [][]batch.Result{{result("a"), {}}, nil}))
		first := next()
		Expect(first.pieces).To(HaveLen(1))
		Expect(first.pieces[0]).To(SatisfyAll(HaveField("Index", 1), HaveField("Key", "key")))
		first.done <- []batch.Result{result("b")}
		second := next()
		Expect(second.pieces).To(HaveLen(3))
		Expect(second.pieces[0].Inputs).To(Equal([]string{"a", "b"}))
		second.finish("")
		outcome := outcomeOf(done)
		Expect(outcome.Reason).To(BeEmpty())
		Expect(outcome.Results).To(HaveLen(3))
		Expect(m.Freed()).To(ConsistOf("a", "b"))
	})

	It("does not make what was read and given up again", func() {
		made := [][]batch.Result{nil, {result("x"), result("y"), result("z")}}
		outcome := outcomeOf(run(planOf(time.Minute, made)))
		Expect(outcome.Results).To(Equal(made[1]))
		Consistently(m.stages).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
	})

	It("makes inputs again that were given up though not all was made of them", func() {
		run(planOf(time.Minute, [][]batch.Result{nil, {result("x"), {}, result("z")}}))
		first := next()
		Expect(first.pieces).To(HaveLen(2))
		first.finish("")
		Expect(next().pieces).To(ConsistOf(HaveField("Index", 1)))
	})

	It("of which nothing was made is refused like any other", func() {
		Expect(outcomeOf(run(planOf(0, [][]batch.Result{{{}, {}}, nil}))).Reason).To(Equal(pipeline.Busy))
	})

	DescribeTable("is made from the start where what a peer tells does not fit it",
		func(made [][]batch.Result) {
			run(planOf(time.Minute, made))
			Expect(next().pieces).To(HaveLen(2))
		},
		Entry("too few stages", [][]batch.Result{{{Handle: "a"}, {Handle: "b"}}}),
		Entry("too many pieces", [][]batch.Result{{{Handle: "a"}, {Handle: "b"}, {Handle: "c"}}, nil}),
	)

	It("counts in only what is missing", func() {
		var made []batch.Result
		for n := range 60 {
			made = append(made, result(fmt.Sprint(n)))
		}
		plan := planOf(time.Minute, [][]batch.Result{made, nil})
		plan.Stages[0].Pieces = 60
		run(plan)
		next()
		other := planOf(time.Second, nil)
		other.Stages = other.Stages[:1]
		run(other)
		Expect(next().pieces).To(HaveLen(2))
	})
})
