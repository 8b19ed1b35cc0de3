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
		m     *fakeBatcher
		clock *clockwork.FakeClock
		p     *pipeline.Planner
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		m = &fakeBatcher{stages: make(chan *stageCall, 100), capacity: batch.Capacity{PerSecond: 10, AtOnce: 10, CallTime: 300 * time.Millisecond, MemoryBytes: 1 << 30, Size: 10}}
		p = pipeline.NewPlanner(m, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	})

	// planOf returns a plan of two stages; the second reads the first.
	planOf := func(left time.Duration, made [][]batch.Result) pipeline.Plan {
		return pipeline.Plan{
			Request:   "r",
			Stages:    []pipeline.Stage{{Service: "s", Pieces: 2, Bytes: 1}, {Service: "t", After: []int{0}, Pieces: 3, Bytes: 1}},
			Key:       "key",
			Due:       clock.Now().Add(left),
			Deadline:  clock.Now().Add(time.Minute),
			Completed: made,
		}
	}

	run := func(plan pipeline.Plan) chan pipeline.Outcome {
		done := make(chan pipeline.Outcome, 1)
		go func() { done <- p.Run(context.Background(), pipeline.Part{Of: 1}, plan) }()
		return done
	}

	nextStage := func() *stageCall {
		GinkgoHelper()
		var stage *stageCall
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

	It("returns completed results without freeing them", func() {
		done := run(planOf(time.Minute, nil))
		first := nextStage()
		first.done <- []batch.Result{result("a"), {Reason: batch.Moved}}
		outcome := outcomeOf(done)
		Expect(outcome.Reason).To(Equal(batch.Moved))
		Expect(outcome.Completed).To(HaveLen(2))
		Expect(outcome.Completed[0]).To(Equal([]batch.Result{result("a"), {Reason: batch.Moved}}))
		Expect(m.Freed()).To(BeEmpty())
	})

	It("resumes with the missing pieces even if it would be late", func() {
		done := run(planOf(0, [][]batch.Result{{result("a"), {}}, nil}))
		first := nextStage()
		Expect(first.pieces).To(HaveLen(1))
		Expect(first.pieces[0]).To(SatisfyAll(HaveField("Index", 1), HaveField("Key", "key")))
		first.done <- []batch.Result{result("b")}
		second := nextStage()
		Expect(second.pieces).To(HaveLen(3))
		Expect(second.pieces[0].Inputs).To(Equal([]string{"a", "b"}))
		second.finish("")
		outcome := outcomeOf(done)
		Expect(outcome.Reason).To(BeEmpty())
		Expect(outcome.Results).To(HaveLen(3))
		Expect(m.Freed()).To(ConsistOf("a", "b"))
	})

	It("does not repeat stages whose results were read and freed", func() {
		made := [][]batch.Result{nil, {result("x"), result("y"), result("z")}}
		outcome := outcomeOf(run(planOf(time.Minute, made)))
		Expect(outcome.Results).To(Equal(made[1]))
		Consistently(m.stages).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
	})

	It("repeats freed inputs that a remaining piece needs", func() {
		run(planOf(time.Minute, [][]batch.Result{nil, {result("x"), {}, result("z")}}))
		first := nextStage()
		Expect(first.pieces).To(HaveLen(2))
		first.finish("")
		Expect(nextStage().pieces).To(ConsistOf(HaveField("Index", 1)))
	})

	It("is subject to admission control if nothing is completed", func() {
		plan := planOf(0, [][]batch.Result{{{}, {}}, nil})
		plan.Deadline = plan.Due
		Expect(outcomeOf(run(plan)).Reason).To(Equal(pipeline.Busy))
	})

	DescribeTable("starts from scratch if the results from a peer do not match it",
		func(made [][]batch.Result) {
			run(planOf(time.Minute, made))
			Expect(nextStage().pieces).To(HaveLen(2))
		},
		Entry("too few stages", [][]batch.Result{{{Handle: "a"}, {Handle: "b"}}}),
		Entry("too many pieces", [][]batch.Result{{{Handle: "a"}, {Handle: "b"}, {Handle: "c"}}, nil}),
	)

	It("adds only missing pieces to the backlog", func() {
		var made []batch.Result
		for n := range 60 {
			made = append(made, result(fmt.Sprint(n)))
		}
		plan := planOf(time.Minute, [][]batch.Result{made, nil})
		plan.Stages[0].Pieces = 60
		run(plan)
		nextStage()
		other := planOf(time.Second, nil)
		other.Stages = other.Stages[:1]
		run(other)
		Expect(nextStage().pieces).To(HaveLen(2))
	})
})
