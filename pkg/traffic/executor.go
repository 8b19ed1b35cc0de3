// Package traffic executes callers' requests: it admits each request, runs its
// stages and reports the outcome.
package traffic

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

// Options configure an Executor.
type Options struct {
	Instance string
	// View returns the current view of the control state.
	View func() *control.View
	// OnLeaving is called for each endpoint that reports that it is draining.
	OnLeaving func(e control.LeavingEndpoint, from string)
	Caller    endpoint.Caller
	Clock     clockwork.Clock
	Ring      *timeline.Ring
	Log       *logrus.Entry
	Metrics   *Metrics
	// Shares splits the organisations' rate limits across the instances.
	Shares *ratelimit.Splitter
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int
	// Baseline limits retries to those of the baseline policies: one retry and no
	// hedging.
	Baseline bool
}

// Executor executes requests. Safe for concurrent use.
type Executor struct {
	Options
	usage *usage
	// background tracks the attempts and cancellations that may outlive their request.
	background sync.WaitGroup
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{Options: o, usage: newUsage(o.MaxInFlight, o.Shares)}
}

// InFlight returns the number of requests in flight.
func (x *Executor) InFlight() int { return x.usage.inFlight() }

// Close waits for attempts and cancellations that outlived their requests. It must
// not be called before the last Run has returned.
func (x *Executor) Close() { x.background.Wait() }

// run is the execution of one request.
type run struct {
	*Executor
	request   request.Request
	view      *control.View
	pipeline  *config.Pipeline
	plan      *scheduling.Plan
	work      scheduling.Work
	admission *scheduling.Admission
	effects   *effects
	sink      func(endpoint.Token) error
	started   time.Time

	mu      sync.Mutex
	reports []request.StageReport
	outputs []json.RawMessage

	// streamMu serialises calls of sink, which must not be called after Run returns.
	streamMu     sync.Mutex
	streamClosed bool
}

// closeStream ends the stream to the caller. Later tokens are dropped.
func (r *run) closeStream() {
	r.streamMu.Lock()
	defer r.streamMu.Unlock()
	r.streamClosed = true
}

// Run executes a request and returns its final result. If sink is not nil, it
// receives the tokens of the last stage as they arrive. Run returns when the result
// is known, at the latest at the deadline, even if attempts are still running.
func (x *Executor) Run(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result {
	result := x.admit(ctx, r, sink)
	result.RequestID = r.ID
	result.Instance = x.Instance
	x.Metrics.finished(r.Pipeline, result.Outcome)
	x.Ring.Add(timeline.Event{Kind: timeline.RequestFinished, Request: r.ID, Detail: finishedText(result)})
	return result
}

func finishedText(result request.Result) string {
	if result.Problem == nil {
		return string(result.Outcome)
	}
	return string(result.Outcome) + ": " + result.Problem.Message
}

// admit checks the request against the configuration, the limits and the latency
// estimate, and executes it if it is admitted.
func (x *Executor) admit(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result {
	view := x.View()
	if !view.Confirmed {
		return request.Refuse(r.ID, problem.New(problem.Unavailable, "use another instance; nothing ran", "this instance has not yet confirmed the current configuration"))
	}
	run, organisation, err := x.prepare(view, r)
	if err != nil {
		return request.Refuse(r.ID, err)
	}
	run.sink = sink
	if err := x.usage.enter(organisation, view.Instances); err != nil {
		return request.Refuse(r.ID, err)
	}
	defer x.usage.exit(organisation)
	admission, refusal := run.plan.Admit(x.Clock.Now(), run.work, safetyFactor(run.pipeline.Objective))
	if refusal != nil {
		return run.refuse(refusal)
	}
	defer admission.Close()
	run.admission = admission
	x.Ring.Add(timeline.Event{Kind: timeline.RequestAccepted, Request: r.ID, Detail: "pipeline " + r.Pipeline + " organisation " + r.Organisation})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	defer run.closeStream()
	return run.execute(ctx)
}

func safetyFactor(o config.Objective) scheduling.SafetyFactor {
	if o == config.Cost {
		return scheduling.CostSafetyFactor
	}
	return scheduling.AttainmentSafetyFactor
}

// prepare resolves the objects that the request refers to.
func (x *Executor) prepare(view *control.View, r request.Request) (*run, *config.Organisation, error) {
	pipeline := view.Configuration.Pipeline(r.Pipeline)
	if pipeline == nil {
		return nil, nil, problem.New(problem.NotFound, "specify a configured pipeline; nothing ran", "pipeline %q does not exist", r.Pipeline)
	}
	organisation := view.Configuration.Organisation(r.Organisation)
	if organisation == nil {
		return nil, nil, problem.New(problem.NotFound, "specify a configured organisation; nothing ran", "organisation %q does not exist", r.Organisation)
	}
	rank := uint32(0)
	if r.Priority != "" {
		priority := view.Configuration.Priority(r.Priority)
		if priority == nil {
			return nil, nil, problem.New(problem.NotFound, "specify a configured priority, or none; nothing ran", "priority %q does not exist", r.Priority)
		}
		rank = priority.Rank
	}
	work := scheduling.Work{Organisation: r.Organisation, Weight: float64(organisation.Weight), Rank: rank, Deadline: r.Deadline}
	return &run{
		Executor: x,
		request:  r,
		view:     view,
		pipeline: pipeline,
		plan:     view.Plans[r.Pipeline],
		work:     work,
		effects:  newEffects(),
		started:  x.Clock.Now(),
		reports:  newReports(pipeline),
		outputs:  make([]json.RawMessage, len(pipeline.Stages)),
	}, organisation, nil
}

func newReports(p *config.Pipeline) []request.StageReport {
	reports := make([]request.StageReport, len(p.Stages))
	for i, stage := range p.Stages {
		reports[i].Name = stage.Name
	}
	return reports
}

func (r *run) refuse(refusal *scheduling.Refusal) request.Result {
	result := request.Refuse(r.request.ID, refusalProblem(refusal, "the request"))
	result.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	return result
}

// refusalProblem converts a scheduling refusal to a problem.
func refusalProblem(refusal *scheduling.Refusal, what string) *problem.Problem {
	switch refusal.Reason {
	case scheduling.NoEndpoint:
		return problem.New(problem.Unavailable, "check the endpoints of the service with 'cobaltcroft status'", "no endpoint available for %s", what)
	case scheduling.TooLate:
		return problem.New(problem.Deadline, "retry later, or allow more time", "%s cannot finish within its deadline", what)
	case scheduling.OverShare:
		return problem.New(problem.Overloaded, "retry later, or send fewer requests at once", "%s exceeds its organisation's share of the queue", what)
	}
	return problem.New(problem.Overloaded, "retry later", "queue is full for %s", what)
}

// stageResult is the result of a stage.
type stageResult struct {
	index int
	err   error
}

// execute runs each stage as soon as its inputs are available and returns the
// request's result.
func (r *run) execute(ctx context.Context) request.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stageResult, len(r.pipeline.Stages))
	started := make([]bool, len(r.pipeline.Stages))
	done := make([]bool, len(r.pipeline.Stages))
	remaining := len(r.pipeline.Stages)
	r.startReady(ctx, started, done, results)
	for remaining > 0 {
		select {
		case result := <-results:
			if result.err != nil {
				return r.unanswered(result.err)
			}
			done[result.index] = true
			remaining--
			r.startReady(ctx, started, done, results)
		case <-ctx.Done():
			return r.unanswered(r.contextProblem(ctx))
		}
	}
	return r.answered()
}

// contextProblem returns the problem for a request whose context is done.
func (r *run) contextProblem(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.Deadline, "allow more time, or retry later", "deadline exceeded")
	}
	return problem.New(problem.Unavailable, "keep the connection open until the response arrives", "client disconnected")
}

func (r *run) startReady(ctx context.Context, started, done []bool, results chan<- stageResult) {
	for i := range started {
		if started[i] || !r.ready(i, done) {
			continue
		}
		started[i] = true
		go func() {
			err := r.runStage(ctx, i)
			r.admission.StageDone(i)
			results <- stageResult{index: i, err: err}
		}()
	}
}

func (r *run) ready(i int, done []bool) bool {
	for _, input := range r.pipeline.Inputs(i) {
		if !done[input] {
			return false
		}
	}
	return true
}

func (r *run) unanswered(err error) request.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return request.Result{
		Outcome: r.effects.outcome(),
		Problem: request.ProblemOf(err),
		Stages:  append([]request.StageReport(nil), r.reports...),
	}
}

func (r *run) answered() request.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return request.Result{
		Outcome: request.Answered,
		Output:  r.output(),
		Stages:  append([]request.StageReport(nil), r.reports...),
	}
}

// output returns the result of the final stage, or an object of results by stage
// name if there are several final stages.
func (r *run) output() json.RawMessage {
	finals := r.finalStages()
	if len(finals) == 1 {
		return r.outputs[finals[0]]
	}
	return r.resultsByName(finals)
}

// finalStages returns the indices of the stages whose results no other stage reads.
func (r *run) finalStages() []int {
	read := make([]bool, len(r.pipeline.Stages))
	for i := range r.pipeline.Stages {
		for _, input := range r.pipeline.Inputs(i) {
			read[input] = true
		}
	}
	var finals []int
	for i := range read {
		if !read[i] {
			finals = append(finals, i)
		}
	}
	return finals
}

func (r *run) resultsByName(stages []int) json.RawMessage {
	values := make(map[string]json.RawMessage, len(stages))
	for _, i := range stages {
		values[r.pipeline.Stages[i].Name] = r.outputs[i]
	}
	data, _ := json.Marshal(values)
	return data
}

// stageInput is the input of a stage: the request's input, and the results of the
// preceding stages by name.
type stageInput struct {
	Input  json.RawMessage `json:"input"`
	Before json.RawMessage `json:"before,omitempty"`
}

func (r *run) input(i int) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := stageInput{Input: r.request.Input}
	if inputs := r.pipeline.Inputs(i); len(inputs) > 0 {
		in.Before = r.resultsByName(inputs)
	}
	data, _ := json.Marshal(in)
	return data
}
