package traffic_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

// requestTimeout is long enough for the stages before the one in which the deadline passes.
const requestTimeout = time.Second

var _ = Describe("a request", func() {
	var b *bench

	BeforeEach(func() { b = newBench() })

	It("runs all stages, each with the results of the previous one", func() {
		r := call("bulletin", time.Second)
		result := b.run(r)
		Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
		Expect(string(result.Output)).To(Equal(expected(r)))
		Expect(result.Stages).To(HaveLen(4))
		Expect(result.Stages).To(HaveEach(SatisfyAll(HaveField("Done", true), HaveField("Attempts", 1))))
	})

	It("runs independent stages in parallel and joins them", func() {
		b.fault("archive", standin.EndpointFaults{Slow: 30})
		start := time.Now()
		result := b.run(call("diamond", time.Second))
		Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
		Expect(time.Since(start)).To(BeNumerically("<", 115*time.Millisecond))
		Expect(b.runs("left") + b.runs("right") + b.runs("join")).To(Equal(3))
	})

	It("among many at once gets its own complete answer", func() {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				r := call("bulletin", 5*time.Second)
				r.ID = fmt.Sprintf("many-%d", i)
				r.Input = []byte(fmt.Sprintf(`{"n":%d}`, i))
				result := b.run(r)
				Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
				Expect(string(result.Output)).To(Equal(expected(r)))
			})
		}
		wg.Wait()
	})

	DescribeTable("gets its own answer though the first one is wrong",
		func(service string, f standin.EndpointFaults, dropped int) {
			b.faultNext(service, f)
			r := call("bulletin", time.Second)
			result := b.run(r)
			Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
			Expect(string(result.Output)).To(Equal(expected(r)))
			Expect(b.events(timeline.AnswerDropped)).To(Equal(dropped))
		},
		Entry("another request's", "archive", standin.EndpointFaults{Foreign: "request"}, 1),
		Entry("another stage's", "archive", standin.EndpointFaults{Foreign: "stage"}, 1),
		Entry("another attempt's", "archive", standin.EndpointFaults{Foreign: "attempt"}, 1),
		Entry("another attempt's token", "engine", standin.EndpointFaults{Foreign: "attempt"}, 1),
		Entry("sent twice", "reranker", standin.EndpointFaults{Twice: true}, 0),
		Entry("garbage", "reranker", standin.EndpointFaults{Garbage: true}, 0),
		Entry("far too long", "reranker", standin.EndpointFaults{Oversized: true}, 0),
		Entry("an error without an id", "encoder", standin.EndpointFaults{Error500: true}, 0),
		Entry("an error of the call", "encoder", standin.EndpointFaults{Error: true}, 0),
		Entry("the endpoint dies before it runs", "encoder", standin.EndpointFaults{DieBefore: true}, 0),
		Entry("the endpoint dies before the first byte", "encoder", standin.EndpointFaults{DieAfter: true}, 0),
		Entry("the endpoint dies in the middle of the answer", "encoder", standin.EndpointFaults{DieMidway: true}, 0),
		Entry("the endpoint is busy", "encoder", standin.EndpointFaults{Busy: true}, 0),
		Entry("the endpoint is leaving", "encoder", standin.EndpointFaults{Draining: true}, 0),
		Entry("the stream breaks off", "engine", standin.EndpointFaults{DieAfterTokens: 3}, 0),
		Entry("the stream freezes", "engine", standin.EndpointFaults{FreezeAfterTokens: 3}, 0),
		Entry("the stream leaves out tokens", "engine", standin.EndpointFaults{SkipTokens: 2}, 0),
	)

	It("whose answer crosses with another's gets its own answer from another endpoint", func() {
		b.useFirst("archive")
		b.fault("archive", standin.EndpointFaults{Cross: true, Slow: 50, Calls: 2})
		var wg sync.WaitGroup
		results := make([]request.Result, 2)
		requests := make([]request.Request, 2)
		for i := range results {
			requests[i] = call("bulletin", 5*time.Second)
			requests[i].ID = fmt.Sprintf("crossed-%d", i)
			wg.Go(func() { results[i] = b.run(requests[i]) })
		}
		Eventually(b.endpoint("archive", "1").Calls).Should(Equal(2))
		b.endpoint("archive", "2").SetFaults(standin.EndpointFaults{})
		b.useBoth("archive")
		wg.Wait()
		Expect(b.events(timeline.AnswerDropped)).To(Equal(2))
		for i, result := range results {
			Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
			Expect(string(result.Output)).To(Equal(expected(requests[i])))
		}
	})

	It("is answered by the second attempt when the first answers late", func() {
		for range 20 {
			b.run(call("bulletin", time.Second))
		}
		b.endpoint("archive", "1").SetFaults(standin.EndpointFaults{LateMs: 400})
		for range 4 {
			r := call("bulletin", time.Second)
			start := time.Now()
			result := b.run(r)
			Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
			Expect(string(result.Output)).To(Equal(expected(r)))
			Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		}
	})

	It("is not run, and nothing of it ran, if no endpoint of its first stage is reachable", func() {
		b.endpoint("encoder", "1").Kill()
		b.endpoint("encoder", "2").Kill()
		result := b.run(call("bulletin", time.Second))
		Expect(result.Outcome).To(Equal(request.NotRun), "%+v", result.Problem)
		Expect(b.site.Runs()).To(BeEmpty())
	})

	It("failed, and nothing of it runs any more, if no endpoint of a later stage is reachable", func() {
		b.endpoint("engine", "1").Kill()
		b.endpoint("engine", "2").Kill()
		result := b.run(call("bulletin", time.Second))
		Expect(result.Outcome).To(Equal(request.Failed))
		Expect(result.Stages[2].Done).To(BeTrue())
		Expect(result.Stages[3].Done).To(BeFalse())
	})

	// runPastDeadline runs a request while the endpoints of a service hang, and checks the time of
	// its result and the number of finished stages.
	runPastDeadline := func(ctx context.Context, service string, stagesDone int) request.Result {
		b.fault(service, standin.EndpointFaults{Freeze: true, FreezeAfterTokens: 1})
		start := time.Now()
		result := b.executor.Run(ctx, call("bulletin", requestTimeout), nil)
		Expect(time.Since(start)).To(BeNumerically("~", requestTimeout, 60*time.Millisecond))
		Expect(result.Problem.Kind).To(Or(Equal(problem.Deadline), Equal(problem.Unavailable)))
		done := 0
		for _, s := range result.Stages {
			if s.Done {
				done++
			}
		}
		Expect(done).To(Equal(stagesDone))
		return result
	}

	DescribeTable("whose deadline passes in a stage returns at the deadline: unknown while a cancellation is not confirmed",
		func(service string, stagesDone int) {
			b.caller.blockCancels.Store(true)
			result := runPastDeadline(context.Background(), service, stagesDone)
			Expect(result.Outcome).To(Equal(request.Unknown))
		},
		Entry("encoding", "encoder", 0),
		Entry("retrieval", "archive", 1),
		Entry("reranking", "reranker", 2),
		Entry("generation", "engine", 3),
	)

	DescribeTable("whose deadline passes in a stage returns at the deadline: failed once the cancellations are confirmed",
		func(service string, stagesDone int) {
			b.caller.enforceDeadlines.Store(true)
			b.clock.beforeStageEnd.Store(func() { b.executor.Close() })
			result := runPastDeadline(unenforcedDeadline{Context: context.Background(), deadline: time.Now().Add(requestTimeout)}, service, stagesDone)
			Expect(result.Outcome).To(Equal(request.Failed))
		},
		Entry("encoding", "encoder", 0),
		Entry("retrieval", "archive", 1),
		Entry("reranking", "reranker", 2),
		Entry("generation", "engine", 3),
	)

	It("is cancelled at the endpoint when the client disconnects", func() {
		b.fault("engine", standin.EndpointFaults{FreezeAfterTokens: 1})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan request.Result)
		go func() { done <- b.executor.Run(ctx, call("bulletin", 5*time.Second), nil) }()
		Eventually(func() int { return b.endpoint("engine", "1").Calls() + b.endpoint("engine", "2").Calls() }).Should(BeNumerically(">", 0))
		cancel()
		Eventually(done).Should(Receive(HaveField("Outcome", request.Unknown)))
		Eventually(func() int { return b.runs("generate") }).Should(BeNumerically(">", 0), "the engine's slot is free again")
	})

	It("streams each token once and in order over a broken stream", func() {
		b.faultNext("engine", standin.EndpointFaults{DieAfterTokens: 3})
		r := call("bulletin", time.Second)
		var tokens []endpoint.Token
		text := ""
		result := b.executor.Run(context.Background(), r, func(t endpoint.Token) error {
			tokens = append(tokens, t)
			text += t.Text
			return nil
		})
		Expect(result.Outcome).To(Equal(request.Answered), "%+v", result.Problem)
		Expect(tokens).To(HaveLen(8))
		for i, t := range tokens {
			Expect(t.Index).To(Equal(i))
		}
		Expect(string(result.Output)).To(Equal(expected(r)))
		Expect(b.events(timeline.StreamResumed)).To(Equal(1))
	})

	It("reports a draining endpoint, which gets no more calls", func() {
		b.endpoint("encoder", "1").SetFaults(standin.EndpointFaults{Draining: true})
		for range 20 {
			Expect(b.run(call("bulletin", time.Second)).Outcome).To(Equal(request.Answered))
		}
		Expect(b.endpoint("encoder", "1").Calls()).To(BeNumerically("<=", 1))
		b.mu.Lock()
		defer b.mu.Unlock()
		Expect(len(b.leaving)).To(Equal(b.endpoint("encoder", "1").Calls()))
	})

	It("stays within the retry budget when half the endpoints of a stage die", func() {
		const requests = 200
		b.endpoint("archive", "1").SetFaults(standin.EndpointFaults{DieAfter: true})
		answered := 0
		for range requests {
			if b.run(call("bulletin", time.Second)).Outcome == request.Answered {
				answered++
			}
		}
		Expect(b.events(timeline.EndpointEjected)).To(BeNumerically(">=", 1))
		attempts := b.endpoint("archive", "1").Calls() + b.endpoint("archive", "2").Calls()
		Expect(float64(attempts)).To(BeNumerically("<=", 1.1*requests))
		Expect(answered).To(BeNumerically(">=", requests*97/100))
	})

	It("is rejected over its organisation's limits", func() {
		b.fault("encoder", standin.EndpointFaults{Slow: 50})
		r := call("bulletin", time.Second)
		r.Organisation = "narrow"
		go b.run(r)
		Eventually(b.executor.InFlight).Should(Equal(1))
		refused := b.run(r)
		Expect(refused).To(SatisfyAll(HaveField("Outcome", request.NotRun), HaveField("Problem.Kind", problem.Overloaded)))
		r.Organisation = "slow"
		b.run(r)
		b.run(r)
		Expect(b.run(r)).To(SatisfyAll(HaveField("Outcome", request.NotRun), HaveField("Problem.Kind", problem.Overloaded)))
		r.Organisation = "nobody"
		Expect(b.run(r)).To(SatisfyAll(HaveField("Outcome", request.NotRun), HaveField("Problem.Kind", problem.NotFound)))
	})
})

var _ = Describe("a request that may not be repeated", func() {
	var b *bench

	BeforeEach(func() { b = newBench() })

	alert := func() request.Request {
		r := call("alert", 300*time.Millisecond)
		r.Repeatable = false
		return r
	}

	DescribeTable("is not tried again once a byte may have reached an endpoint",
		func(f standin.EndpointFaults, outcome request.Outcome) {
			// Cancellations do not complete before the outcome is determined.
			b.caller.blockCancels.Store(true)
			b.fault("alert", f)
			result := b.run(alert())
			Expect(result.Outcome).To(Equal(outcome), "%+v", result.Problem)
			Expect(result.Problem.Kind).To(Or(Equal(problem.Unavailable), Equal(problem.Deadline)))
			Expect(result.Problem.Remedy).NotTo(BeEmpty())
			Expect(b.endpoint("alert", "1").Calls() + b.endpoint("alert", "2").Calls()).To(Equal(1))
		},
		Entry("the endpoint dies after receiving it", standin.EndpointFaults{DieBefore: true}, request.Unknown),
		Entry("the endpoint dies after running it", standin.EndpointFaults{DieAfter: true}, request.Unknown),
		Entry("the answer breaks off", standin.EndpointFaults{DieMidway: true}, request.Unknown),
		Entry("the answer is another's", standin.EndpointFaults{Foreign: "request"}, request.Unknown),
		Entry("the endpoint freezes", standin.EndpointFaults{Freeze: true}, request.Unknown),
		Entry("the endpoint says that it failed", standin.EndpointFaults{Error: true}, request.Failed),
	)

	It("is retried if the endpoint refused the connection or the call", func() {
		b.endpoint("alert", "1").Kill()
		for i := range 4 {
			r := alert()
			r.ID = fmt.Sprint(i)
			Expect(b.run(r).Outcome).To(Equal(request.Answered))
		}
		b.endpoint("alert", "2").SetFaults(standin.EndpointFaults{Busy: true})
		Expect(b.run(alert()).Outcome).To(Equal(request.NotRun))
		Expect(b.runs("dispatch")).To(Equal(4))
	})
})
