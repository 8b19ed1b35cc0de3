package traffic

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// maxAttempts bounds the attempts of one stage.
	maxAttempts = 4
	// baselineAttempts bounds them for the baseline policies.
	baselineAttempts = 2
	// hedgeDeviations is how many mean deviations above the mean a call must take
	// before a second one is sent beside it.
	hedgeDeviations = 4
	// minHedgeDelay keeps noise on short calls from causing second ones.
	minHedgeDelay = 10 * time.Millisecond
	// cancelTimeout bounds the call that cancels an attempt.
	cancelTimeout = 500 * time.Millisecond
)

// stageRun is one stage of a run.
type stageRun struct {
	*run
	index int
	stage *config.Stage
	pool  *scheduling.Pool
	// tried endpoints are not tried again.
	tried []string
	// tokens received so far, over all attempts of a generation stage.
	tokens []endpoint.Token
	first  time.Time
}

// attemptEnd is how an attempt ended: with an answer or with why there is none.
type attemptEnd struct {
	answer endpoint.Response
	grant  *scheduling.Grant
	err    error
}

// stage runs the stage at index i to its end and keeps its output.
func (r *run) stage(ctx context.Context, i int) error {
	stage := &r.pipeline.Stages[i]
	s := &stageRun{run: r, index: i, stage: stage, pool: r.view.Pools[stage.Service], first: r.Clock.Now()}
	end := s.try(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.reports[i]
	report.Attempts = len(s.tried)
	report.Ms = float64(r.Clock.Since(s.first).Microseconds()) / 1000
	if end.err != nil {
		return end.err
	}
	report.Endpoint = end.grant.Endpoint.Name
	report.Done = true
	r.outputs[i] = end.answer.Output
	r.Ring.Add(timeline.Event{Kind: timeline.StageFinished, Request: r.request.ID, Stage: stage.Name, Endpoint: report.Endpoint})
	return nil
}

// try makes attempts until one succeeds or no more may be made. A second attempt
// runs beside a slow first one where that is allowed.
func (s *stageRun) try(ctx context.Context) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan attemptEnd, maxAttempts)
	running := 0
	launch := func(grant *scheduling.Grant) {
		running++
		s.background.Go(func() { ends <- s.call(ctx, grant) })
	}
	grant, err := s.acquire(ctx, nil)
	if err != nil {
		return attemptEnd{err: err}
	}
	launch(grant)
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case end := <-ends:
			running--
			if end.err == nil {
				return end
			}
			if running > 0 {
				continue
			}
			if !s.mayRetry(end.err) {
				return attemptEnd{err: callProblem(end.err, s.stage.Name)}
			}
			next, err := s.acquire(ctx, end.err)
			if err != nil {
				return attemptEnd{err: err}
			}
			launch(next)
		case <-hedge.C:
			if next := s.hedge(running); next != nil {
				launch(next)
			}
		case <-ctx.Done():
			return attemptEnd{err: s.ended(ctx)}
		}
	}
}

// acquire waits for an endpoint. If there is none to be had, cause, the failure of
// the attempt before, is the better explanation.
func (s *stageRun) acquire(ctx context.Context, cause error) (*scheduling.Grant, error) {
	verdict := s.pool.Acquire(s.Clock.Now(), s.stageWork())
	if verdict.Waiter != nil {
		verdict = s.wait(ctx, verdict.Waiter)
	}
	switch {
	case verdict.Grant != nil:
		s.tried = append(s.tried, verdict.Grant.Endpoint.Name)
		return verdict.Grant, nil
	case verdict.Refusal != nil && cause != nil:
		return nil, callProblem(cause, s.stage.Name)
	case verdict.Refusal != nil:
		return nil, refusalProblem(verdict.Refusal, "stage "+s.stage.Name)
	}
	return nil, s.ended(ctx)
}

// wait returns the verdict on waiting work; an empty one if ctx ends first.
func (s *stageRun) wait(ctx context.Context, w *scheduling.Waiter) scheduling.AcquireResult {
	select {
	case verdict := <-w.Done:
		return verdict
	case <-ctx.Done():
	}
	verdict, came := s.pool.Withdraw(w)
	if came && verdict.Grant != nil {
		s.pool.Finish(s.Clock.Now(), verdict.Grant, scheduling.Abandoned, nil)
	}
	return scheduling.AcquireResult{}
}

func (s *stageRun) stageWork() scheduling.Work {
	work := s.work
	work.Deadline = s.plan.StageDeadline(s.Clock.Now(), s.index, s.request.Deadline)
	work.Exclude = s.tried
	work.Model = modelKey(s.stage)
	return work
}

// modelKey names what a stage's endpoint must hold; empty if it names nothing.
func modelKey(s *config.Stage) string {
	if s.Model == "" {
		return ""
	}
	return s.Model + "/" + s.Adapter + "/" + s.Version
}

// call makes one attempt at a granted endpoint.
func (s *stageRun) call(ctx context.Context, grant *scheduling.Grant) attemptEnd {
	attempt := endpoint.Attempt{Request: s.request.ID, Stage: s.stage.Name, ID: uuid.NewString()}
	s.Metrics.attempts.Inc()
	s.Ring.Add(timeline.Event{Kind: timeline.StageStarted, Request: attempt.Request, Stage: attempt.Stage, Attempt: attempt.ID, Endpoint: grant.Endpoint.Name, Detail: localText(grant.Local)})
	s.effects.sent(attempt.ID)
	answer, err := s.send(ctx, grant, attempt)
	s.settle(ctx, grant, attempt, answer, err)
	if err != nil {
		return attemptEnd{grant: grant, err: err}
	}
	return attemptEnd{grant: grant, answer: answer}
}

func localText(local bool) string {
	if local {
		return "own failure domain"
	}
	return "other failure domain"
}

func (s *stageRun) send(ctx context.Context, grant *scheduling.Grant, attempt endpoint.Attempt) (endpoint.Response, error) {
	call := endpoint.Call{
		Attempt:        attempt,
		Organisation:   s.request.Organisation,
		Rank:           s.work.Rank,
		Model:          s.stage.Model,
		Adapter:        s.stage.Adapter,
		Version:        s.stage.Version,
		Input:          s.input(s.index),
		Deadline:       s.request.Deadline,
		PromptCacheKey: s.request.PromptCacheKey,
	}
	if s.stage.Kind != config.Generation {
		return s.Caller.Call(ctx, grant.Endpoint.Address, call)
	}
	return s.generate(ctx, grant, call)
}

// settle tells the pool, the effects and the time line what an attempt did.
func (s *stageRun) settle(ctx context.Context, grant *scheduling.Grant, attempt endpoint.Attempt, answer endpoint.Response, err error) {
	now := s.Clock.Now()
	if err == nil {
		s.effects.ended(attempt.ID, true)
		s.pool.Finish(now, grant, scheduling.Success, reportOf(answer.Load))
		s.noteDraining(grant, answer.Load)
		return
	}
	var e *endpoint.Error
	if !errors.As(err, &e) {
		e = &endpoint.Error{Effect: endpoint.Indeterminate, Cause: err}
	}
	s.settleEffect(grant, attempt, e)
	if s.pool.Finish(now, grant, resultOf(ctx, e), reportOf(e.Load)) {
		s.Ring.Add(timeline.Event{Kind: timeline.EndpointEjected, Request: attempt.Request, Endpoint: grant.Endpoint.Name, Detail: e.Error()})
		s.Log.WithFields(map[string]any{"event": timeline.EndpointEjected, "endpoint": grant.Endpoint.Name}).Warn(e.Error())
	}
	if e.Draining {
		s.Leaving(control.LeavingEndpoint{Name: grant.Endpoint.Name, Incarnation: grant.Endpoint.Incarnation}, "the endpoint")
	}
	kind := timeline.AttemptFailed
	if e.Mismatched {
		kind = timeline.AnswerDropped
		s.Metrics.droppedAnswers.Inc()
	}
	s.Ring.Add(timeline.Event{Kind: kind, Request: attempt.Request, Stage: attempt.Stage, Attempt: attempt.ID, Endpoint: grant.Endpoint.Name, Detail: e.Error()})
	s.Log.WithFields(map[string]any{"event": string(kind), "request": attempt.Request, "stage": attempt.Stage, "attempt": attempt.ID, "endpoint": grant.Endpoint.Name}).Debug(e.Error())
}

func (s *stageRun) noteDraining(grant *scheduling.Grant, load *endpoint.Load) {
	if load == nil || !load.Draining {
		return
	}
	s.pool.MarkLeaving(grant.Endpoint.Name, grant.Endpoint.Incarnation)
	s.Leaving(control.LeavingEndpoint{Name: grant.Endpoint.Name, Incarnation: grant.Endpoint.Incarnation}, "the endpoint")
}

// settleEffect ends the account of an attempt, at once if its end is certain, else
// once the endpoint has confirmed that it was cancelled.
func (s *stageRun) settleEffect(grant *scheduling.Grant, attempt endpoint.Attempt, e *endpoint.Error) {
	switch e.Effect {
	case endpoint.NotSent, endpoint.Refused:
		s.effects.ended(attempt.ID, false)
		return
	case endpoint.Failed:
		s.effects.ended(attempt.ID, true)
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if s.Caller.Cancel(ctx, grant.Endpoint.Address, attempt) == nil {
			s.effects.ended(attempt.ID, true)
		}
	})
}

// resultOf is what a failed call tells about the endpoint.
func resultOf(ctx context.Context, e *endpoint.Error) scheduling.Result {
	switch {
	case e.Effect == endpoint.NotSent && ctx.Err() == nil:
		return scheduling.Unreachable
	case e.Effect == endpoint.Refused && e.Draining:
		return scheduling.Draining
	case e.Effect == endpoint.Refused && e.ModelMissing:
		return scheduling.ModelMissing
	case e.Effect == endpoint.Refused:
		return scheduling.Busy
	case e.Effect == endpoint.Stopped || ctx.Err() != nil:
		// A deadline that passes says nothing by itself: the call may have begun late.
		return scheduling.Abandoned
	}
	return scheduling.Failure
}

func reportOf(load *endpoint.Load) *scheduling.Report {
	if load == nil {
		return nil
	}
	return &scheduling.Report{Running: load.Running, Waiting: load.Waiting}
}

// mayRetry tells whether another attempt may follow one that failed with err. What
// surely did not run may be tried again for any request; what may have run only for
// a repeatable one, and within the budget.
func (s *stageRun) mayRetry(err error) bool {
	var e *endpoint.Error
	if !errors.As(err, &e) || len(s.tried) >= s.attemptBound() {
		return false
	}
	switch e.Effect {
	case endpoint.NotSent, endpoint.Refused:
		return true
	case endpoint.Stopped:
		return false
	}
	if !s.request.Repeatable || !s.pool.TryRetry() {
		return false
	}
	s.Metrics.retries.Inc()
	return true
}

func (s *stageRun) attemptBound() int {
	if s.Baseline {
		return baselineAttempts
	}
	return maxAttempts
}

// hedgeDelay is how long an attempt may take before a second is sent beside it.
func (s *stageRun) hedgeDelay() time.Duration {
	mean, deviation := s.pool.Latency(s.Clock.Now())
	if mean == 0 {
		return time.Until(s.request.Deadline)
	}
	return max(minHedgeDelay, mean+hedgeDeviations*deviation)
}

// hedge returns a grant for a second attempt beside a slow one, or nil. Only work
// that may be repeated is, while endpoints are free, and within the retry budget.
// Streams are not hedged but resumed, see generate.
func (s *stageRun) hedge(running int) *scheduling.Grant {
	if s.Baseline || !s.request.Repeatable || s.stage.Kind == config.Generation {
		return nil
	}
	if running != 1 || len(s.tried) >= maxAttempts || !s.pool.HasFreeCapacity() || !s.pool.TryRetry() {
		return nil
	}
	verdict := s.pool.Acquire(s.Clock.Now(), s.stageWork())
	if verdict.Waiter != nil {
		verdict, _ = s.pool.Withdraw(verdict.Waiter)
	}
	if verdict.Grant == nil {
		return nil
	}
	s.tried = append(s.tried, verdict.Grant.Endpoint.Name)
	s.Metrics.hedges.Inc()
	return verdict.Grant
}

// callProblem explains a failed call to the caller.
func callProblem(err error, stage string) error {
	return problem.Wrap(err, problem.Unavailable, "see the time line of the request; ask again if the outcome allows it", "stage %s got no answer", stage)
}
