// Package traffic runs callers' requests: it takes each through admission and its
// stages, and says truthfully what became of it.
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

// Options of an Executor.
type Options struct {
	Instance string
	// View gives the newest view.
	View func() *control.View
	// Leaving is told of endpoints that say they are leaving.
	Leaving func(e control.LeavingEndpoint, from string)
	Caller  endpoint.Caller
	Clock   clockwork.Clock
	Ring    *timeline.Ring
	Log     *logrus.Entry
	Metrics *Metrics
	// Shares splits the organisations' rates over the instances.
	Shares *ratelimit.Splitter
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// Baseline makes retries as simple as the baseline policies are: one retry,
	// no hedging.
	Baseline bool
}

// Executor runs requests. Safe for concurrent use.
type Executor struct {
	Options
	usage *usage
	// background counts the attempts and cancellations that may outlive their request.
	background sync.WaitGroup
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{Options: o, usage: newUsage(o.MaxInFlight, o.Shares)}
}

// InFlight returns the number of requests that run.
func (x *Executor) InFlight() int { return x.usage.inFlight() }

// Close waits for what still goes on behind requests that have their results. It
// must be called after the last Run has returned.
func (x *Executor) Close() { x.background.Wait() }

// run is one request on its way.
type run struct {
	*Executor
	request  request.Request
	view     *control.View
	pipeline *config.Pipeline
	plan     *scheduling.Plan
	work     scheduling.Work
	place    *scheduling.Admission
	effects  *effects
	sink     func(endpoint.Token) error
	started  time.Time

	mu      sync.Mutex
	reports []request.StageReport
	outputs []json.RawMessage

	// streaming guards sink, which must not be called once the result is out.
	streaming sync.Mutex
	closed    bool
}

// closeStream ends the stream to the caller: a token that comes later is dropped.
func (r *run) closeStream() {
	r.streaming.Lock()
	defer r.streaming.Unlock()
	r.closed = true
}

// Run runs a request to its end and returns its final result. The tokens of the
// last stage go to sink as they come, if there is one. Run returns when the result
// is known, at the latest at the deadline, whatever still runs.
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

// admit checks the request against the configuration, the limits and the forecast.
func (x *Executor) admit(ctx context.Context, r request.Request, sink func(endpoint.Token) error) request.Result {
	view := x.View()
	if !view.Confirmed {
		return request.Refuse(r.ID, problem.New(problem.Unavailable, "ask another instance; nothing ran", "this instance has not yet found out which configuration is in force"))
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
	place, refusal := run.plan.Admit(x.Clock.Now(), run.work, caution(run.pipeline.Objective))
	if refusal != nil {
		return run.refused(refusal)
	}
	defer place.Close()
	run.place = place
	x.Ring.Add(timeline.Event{Kind: timeline.RequestAccepted, Request: r.ID, Detail: "pipeline " + r.Pipeline + " organisation " + r.Organisation})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	defer run.closeStream()
	return run.execute(ctx)
}

func caution(o config.Objective) scheduling.SafetyFactor {
	if o == config.Cost {
		return scheduling.CostSafetyFactor
	}
	return scheduling.AttainmentSafetyFactor
}

// prepare looks up what the request names.
func (x *Executor) prepare(view *control.View, r request.Request) (*run, *config.Organisation, error) {
	pipeline := view.Configuration.Pipeline(r.Pipeline)
	if pipeline == nil {
		return nil, nil, problem.New(problem.NotFound, "name a pipeline that is configured; nothing ran", "no pipeline %q", r.Pipeline)
	}
	organisation := view.Configuration.Organisation(r.Organisation)
	if organisation == nil {
		return nil, nil, problem.New(problem.NotFound, "name an organisation that is configured; nothing ran", "no organisation %q", r.Organisation)
	}
	rank := uint32(0)
	if r.Priority != "" {
		priority := view.Configuration.Priority(r.Priority)
		if priority == nil {
			return nil, nil, problem.New(problem.NotFound, "name a priority that is configured, or none; nothing ran", "no priority %q", r.Priority)
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

func (r *run) refused(refusal *scheduling.Refusal) request.Result {
	result := request.Refuse(r.request.ID, refusalProblem(refusal, "the request"))
	result.RetryAfterMs = refusal.RetryAfter.Milliseconds()
	return result
}

// refusalProblem explains a refusal of the decision package.
func refusalProblem(refusal *scheduling.Refusal, what string) *problem.Problem {
	switch refusal.Reason {
	case scheduling.NoEndpoint:
		return problem.New(problem.Unavailable, "check the endpoints of the service with 'cobaltcroft status'", "no endpoint is left that could run %s", what)
	case scheduling.TooLate:
		return problem.New(problem.Deadline, "ask again later, or allow more time", "%s would not end within its deadline", what)
	case scheduling.OverShare:
		return problem.New(problem.Overloaded, "ask again later, or ask less at a time", "%s waited over its organisation's share", what)
	}
	return problem.New(problem.Overloaded, "ask again later", "too much waits before %s", what)
}

// stageEnd is how a stage ended.
type stageEnd struct {
	index int
	err   error
}

// execute runs the stages, each as soon as its inputs are there, and returns the
// result as soon as it is known.
func (r *run) execute(ctx context.Context) request.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan stageEnd, len(r.pipeline.Stages))
	started := make([]bool, len(r.pipeline.Stages))
	done := make([]bool, len(r.pipeline.Stages))
	left := len(r.pipeline.Stages)
	r.startReady(ctx, started, done, ends)
	for left > 0 {
		select {
		case end := <-ends:
			if end.err != nil {
				return r.unanswered(end.err)
			}
			done[end.index] = true
			left--
			r.startReady(ctx, started, done, ends)
		case <-ctx.Done():
			return r.unanswered(r.ended(ctx))
		}
	}
	return r.answered()
}

// ended explains why the request's context has ended.
func (r *run) ended(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.Deadline, "allow more time, or ask again later", "the deadline passed")
	}
	return problem.New(problem.Unavailable, "keep the connection open until the answer", "the caller went away")
}

func (r *run) startReady(ctx context.Context, started, done []bool, ends chan<- stageEnd) {
	for i := range started {
		if started[i] || !r.ready(i, done) {
			continue
		}
		started[i] = true
		go func() {
			err := r.stage(ctx, i)
			r.place.StageDone(i)
			ends <- stageEnd{index: i, err: err}
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

// output is the result of the last stages: the value itself if there is one such
// stage, else an object by stage name.
func (r *run) output() json.RawMessage {
	finals := r.finalStages()
	if len(finals) == 1 {
		return r.outputs[finals[0]]
	}
	return r.object(finals)
}

// finalStages are those whose result no other stage reads.
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

func (r *run) object(stages []int) json.RawMessage {
	values := make(map[string]json.RawMessage, len(stages))
	for _, i := range stages {
		values[r.pipeline.Stages[i].Name] = r.outputs[i]
	}
	data, _ := json.Marshal(values)
	return data
}

// stageInput is what a stage is given: the request's input, and the results of the
// stages before it by name.
type stageInput struct {
	Input  json.RawMessage `json:"input"`
	Before json.RawMessage `json:"before,omitempty"`
}

func (r *run) input(i int) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := stageInput{Input: r.request.Input}
	if inputs := r.pipeline.Inputs(i); len(inputs) > 0 {
		in.Before = r.object(inputs)
	}
	data, _ := json.Marshal(in)
	return data
}
