package pipeline_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// promptBatcher processes pieces at once and records their inputs by result.
type promptBatcher struct {
	*fakeBatcher
	inputs map[string][]string
}

func (b *promptBatcher) Process(_ context.Context, _ batch.Queue, pieces []batch.Piece, _ func()) []batch.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	results := make([]batch.Result, len(pieces))
	for i, p := range pieces {
		results[i] = batch.Result{Handle: handle(p.Stage, p.Index)}
		b.inputs[results[i].Handle] = p.Inputs
	}
	return results
}

func handle(stage, index int) string { return fmt.Sprintf("%d/%d", stage, index) }

// handles returns the handles of all pieces of some stages.
func handles(stages []pipeline.Stage, of []int) []string {
	var list []string
	for _, i := range of {
		for n := range stages[i].Pieces {
			list = append(list, handle(i, n))
		}
	}
	return list
}

// randomStages returns up to five stages, each of which reads some of those before it and has up to two
// pieces.
func randomStages(random *rand.Rand) []pipeline.Stage {
	stages := make([]pipeline.Stage, 1+random.IntN(5))
	for i := range stages {
		stages[i] = pipeline.Stage{Service: fmt.Sprint("s", random.IntN(3)), Bytes: 1, Pieces: random.IntN(3)}
		for before := range i {
			if random.IntN(3) == 0 {
				stages[i].After = append(stages[i].After, before)
			}
		}
	}
	return stages
}

// CONFIG: requests that left out a stage which another one reads were never answered.
var _ = Describe("a planner that is given any graph of stages", func() {
	var (
		b     *promptBatcher
		clock *clockwork.FakeClock
		p     *pipeline.Planner
	)

	BeforeEach(func() {
		m := &fakeBatcher{stages: make(chan *stageCall, 100), capacity: batch.Capacity{PerSecond: 1000, AtOnce: 1000, CallTime: time.Millisecond, MemoryBytes: 1000, Size: 4}}
		b = &promptBatcher{fakeBatcher: m, inputs: map[string][]string{}}
		clock = clockwork.NewFakeClock()
		p = pipeline.NewPlanner(b, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
	})

	// run runs a plan whose caller never cancels it.
	run := func(stages []pipeline.Stage) chan pipeline.Outcome {
		done := make(chan pipeline.Outcome, 1)
		plan := pipeline.Plan{Request: "r", Stages: stages, Due: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute)}
		planner := p
		go func() { done <- planner.Run(context.Background(), pipeline.Part{Of: 1}, plan) }()
		return done
	}

	// ended returns the outcome of a plan, or fails after a second.
	ended := func(done chan pipeline.Outcome, stages []pipeline.Stage) pipeline.Outcome {
		GinkgoHelper()
		select {
		case outcome := <-done:
			return outcome
		case <-time.After(time.Second):
			Fail(fmt.Sprintf("the plan does not end: %v", stages))
		}
		return pipeline.Outcome{}
	}

	DescribeTable("completes it, whichever stages are left out", func(stages []pipeline.Stage) {
		for range 2 {
			Expect(ended(run(stages), stages).Reason).To(BeEmpty())
		}
	},
		Entry("one of two that a third reads", []pipeline.Stage{{Pieces: 0}, {Pieces: 1}, {After: []int{0, 1}, Pieces: 2}}),
		Entry("the other one", []pipeline.Stage{{Pieces: 1}, {Pieces: 0}, {After: []int{0, 1}, Pieces: 2}}),
		Entry("the first of a chain", []pipeline.Stage{{Pieces: 0}, {After: []int{0}, Pieces: 1}, {After: []int{1}, Pieces: 1}}),
		Entry("the middle of a chain", []pipeline.Stage{{Pieces: 1}, {After: []int{0}, Pieces: 0}, {After: []int{1}, Pieces: 1}}),
		Entry("the last of a chain", []pipeline.Stage{{Pieces: 1}, {After: []int{0}, Pieces: 1}, {After: []int{1}, Pieces: 0}}),
		Entry("all", []pipeline.Stage{{Pieces: 0}, {After: []int{0}, Pieces: 0}}),
	)

	It("gives each piece all results that it reads", func() {
		for seed := range uint64(2000) {
			stages := randomStages(rand.New(rand.NewPCG(seed, seed)))
			b.inputs = map[string][]string{}
			Expect(ended(run(stages), stages).Reason).To(BeEmpty())
			for i, stage := range stages {
				for n := range stage.Pieces {
					Expect(b.inputs[handle(i, n)]).To(ConsistOf(handles(stages, stage.After)), "seed %d, stage %d: %v", seed, i, stages)
				}
			}
		}
	})

	It("completes it without a deadline", func() {
		plan := pipeline.Plan{Request: "r", Stages: []pipeline.Stage{{Service: "s", Pieces: 1}}, Due: clock.Now().Add(time.Minute)}
		for range 200 {
			Expect(p.Run(context.Background(), pipeline.Part{Of: 1}, plan).Reason).To(BeEmpty())
		}
	})

	It("ends at the deadline, though stages wait for each other and its caller does not cancel it", func() {
		done := run([]pipeline.Stage{{After: []int{1}, Pieces: 1}, {After: []int{0}, Pieces: 1}})
		Consistently(done).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
		clock.Advance(time.Minute)
		Eventually(done).Should(Receive(HaveField("Reason", batch.Late)))
	})
})

var _ = Describe("a planner whose piece is never settled", func() {
	It("gives the plan up at its deadline, and its place in the backlog", func() {
		m := &fakeBatcher{stages: make(chan *stageCall, 100), capacity: batch.Capacity{PerSecond: 1, AtOnce: 1, CallTime: time.Millisecond, MemoryBytes: 1000, Size: 4}}
		clock := clockwork.NewFakeClock()
		p := pipeline.NewPlanner(m, clock, metrics.NewSet(), logging.Discard().For("pipeline"))
		run := func(left time.Duration) chan pipeline.Outcome {
			done := make(chan pipeline.Outcome, 1)
			plan := pipeline.Plan{Request: "r", Stages: []pipeline.Stage{{Service: "s", Pieces: 4}}, Due: clock.Now().Add(left), Deadline: clock.Now().Add(left)}
			go func() { done <- p.Run(context.Background(), pipeline.Part{Of: 1}, plan) }()
			return done
		}
		held := run(5 * time.Second)
		Eventually(m.stages).Should(Receive())
		Eventually(run(5 * time.Second)).Should(Receive(HaveField("Reason", pipeline.Busy)))
		clock.Advance(5 * time.Second)
		Eventually(held).Should(Receive(HaveField("Reason", Not(BeEmpty()))))
		run(5 * time.Second)
		Eventually(m.stages).Should(Receive())
	})
})
