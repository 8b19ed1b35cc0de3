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
	// maxAttempts is the maximum number of attempts per stage.
	maxAttempts = 4
	// baselineMaxAttempts is maxAttempts for the baseline policies.
	baselineMaxAttempts = 2
	// hedgeDeviations is the number of mean deviations above the mean latency after
	// which a call is hedged.
	hedgeDeviations = 4
	// minHedgeDelay prevents hedging due to jitter on short calls.
	minHedgeDelay = 10 * time.Millisecond
	// cancelTimeout is the timeout of a call that cancels an attempt.
	cancelTimeout = 500 * time.Millisecond
)

// stageRun is the execution of one stage.
type stageRun struct {
	*run
	index int
	stage *config.Stage
	pool  *scheduling.Pool
	// tried holds the names of endpoints already used, which are not tried again.
	tried []string
	// tokens holds the tokens received over all attempts of a generation stage.
	tokens  []endpoint.Token
	started time.Time
}

// attemptResult is the result of an attempt: an answer or an error.
type attemptResult struct {
	answer endpoint.Response
	grant  *scheduling.Grant
	err    error
}

// runStage runs the stage at index i and stores its output.
func (r *run) runStage(ctx context.Context, i int) error {
	stage := &r.pipeline.Stages[i]
	s := &stageRun{run: r, index: i, stage: stage, pool: r.view.Pools[stage.Service], started: r.Clock.Now()}
	result := s.runAttempts(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.reports[i]
	report.Attempts = len(s.tried)
	report.Ms = float64(r.Clock.Since(s.started).Microseconds()) / 1000
	if result.err != nil {
		return result.err
	}
	report.Endpoint = result.grant.Endpoint.Name
	report.Done = true
	r.outputs[i] = result.answer.Output
	r.Ring.Add(timeline.Event{Kind: timeline.StageFinished, Request: r.request.ID, Stage: stage.Name, Endpoint: report.Endpoint})
	return nil
}

// runAttempts makes attempts until one succeeds or no more are allowed. A slow first
// attempt is hedged if possible.
func (s *stageRun) runAttempts(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxAttempts)
	running := 0
	launch := func(grant *scheduling.Grant) {
		running++
		s.background.Go(func() { results <- s.call(ctx, grant) })
	}
	grant, err := s.acquire(ctx, nil)
	if err != nil {
		return attemptResult{err: err}
	}
	launch(grant)
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			running--
			if result.err == nil {
				return result
			}
			if running > 0 {
				continue
			}
			if !s.mayRetry(result.err) {
				return attemptResult{err: callProblem(result.err, s.stage.Name)}
			}
			next, err := s.acquire(ctx, result.err)
			if err != nil {
				return attemptResult{err: err}
			}
			launch(next)
		case <-hedge.C:
			if next := s.hedge(running); next != nil {
				launch(next)
			}
		case <-ctx.Done():
			return attemptResult{err: s.contextProblem(ctx)}
		}
	}
}

// acquire waits for an endpoint. If none is available, it returns cause, the error of
// the previous attempt, if there is one.
func (s *stageRun) acquire(ctx context.Context, cause error) (*scheduling.Grant, error) {
	result := s.pool.Acquire(s.Clock.Now(), s.stageWork())
	if result.Waiter != nil {
		result = s.wait(ctx, result.Waiter)
	}
	switch {
	case result.Grant != nil:
		s.tried = append(s.tried, result.Grant.Endpoint.Name)
		return result.Grant, nil
	case result.Refusal != nil && cause != nil:
		return nil, callProblem(cause, s.stage.Name)
	case result.Refusal != nil:
		return nil, refusalProblem(result.Refusal, "stage "+s.stage.Name)
	}
	return nil, s.contextProblem(ctx)
}

// wait waits for the result of queued work. The result is empty if ctx is done first.
func (s *stageRun) wait(ctx context.Context, w *scheduling.Waiter) scheduling.AcquireResult {
	select {
	case result := <-w.Done:
		return result
	case <-ctx.Done():
	}
	result, decided := s.pool.Withdraw(w)
	if decided && result.Grant != nil {
		s.pool.Finish(s.Clock.Now(), result.Grant, scheduling.Abandoned, nil)
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

// modelKey identifies the model that the stage's endpoint must have loaded; empty if
// the stage has none.
func modelKey(s *config.Stage) string {
	if s.Model == "" {
		return ""
	}
	return s.Model + "/" + s.Adapter + "/" + s.Version
}

// call makes one attempt at the granted endpoint.
func (s *stageRun) call(ctx context.Context, grant *scheduling.Grant) attemptResult {
	attempt := endpoint.Attempt{Request: s.request.ID, Stage: s.stage.Name, ID: uuid.NewString()}
	s.Metrics.attempts.Inc()
	s.Ring.Add(timeline.Event{Kind: timeline.StageStarted, Request: attempt.Request, Stage: attempt.Stage, Attempt: attempt.ID, Endpoint: grant.Endpoint.Name, Detail: localText(grant.Local)})
	s.effects.sent(attempt.ID)
	answer, err := s.send(ctx, grant, attempt)
	s.recordAttempt(ctx, grant, attempt, answer, err)
	if err != nil {
		return attemptResult{grant: grant, err: err}
	}
	return attemptResult{grant: grant, answer: answer}
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

// recordAttempt reports an attempt's result to the pool, the effects and the timeline.
func (s *stageRun) recordAttempt(ctx context.Context, grant *scheduling.Grant, attempt endpoint.Attempt, answer endpoint.Response, err error) {
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
	s.recordEffect(grant, attempt, e)
	if s.pool.Finish(now, grant, resultOf(ctx, e), reportOf(e.Load)) {
		s.Ring.Add(timeline.Event{Kind: timeline.EndpointEjected, Request: attempt.Request, Endpoint: grant.Endpoint.Name, Detail: e.Error()})
		s.Log.WithFields(map[string]any{"event": timeline.EndpointEjected, "endpoint": grant.Endpoint.Name}).Warn(e.Error())
	}
	if e.Draining {
		s.OnLeaving(control.LeavingEndpoint{Name: grant.Endpoint.Name, Incarnation: grant.Endpoint.Incarnation}, "the endpoint")
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
	s.OnLeaving(control.LeavingEndpoint{Name: grant.Endpoint.Name, Incarnation: grant.Endpoint.Incarnation}, "the endpoint")
}

// recordEffect marks a failed attempt as ended, immediately if it is known to have
// ended, otherwise once the endpoint has confirmed its cancellation.
func (s *stageRun) recordEffect(grant *scheduling.Grant, attempt endpoint.Attempt, e *endpoint.Error) {
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

// resultOf classifies a failed call for the endpoint's health tracking.
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
		// An expired deadline is not the endpoint's fault: the call may have started late.
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

// mayRetry reports whether a failed attempt may be retried. An attempt that certainly
// did not run may always be retried; one that may have run only if the request is
// repeatable and the retry budget allows it.
func (s *stageRun) mayRetry(err error) bool {
	var e *endpoint.Error
	if !errors.As(err, &e) || len(s.tried) >= s.attemptLimit() {
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

func (s *stageRun) attemptLimit() int {
	if s.Baseline {
		return baselineMaxAttempts
	}
	return maxAttempts
}

// hedgeDelay returns the delay after which an attempt is hedged.
func (s *stageRun) hedgeDelay() time.Duration {
	mean, deviation := s.pool.Latency(s.Clock.Now())
	if mean == 0 {
		return time.Until(s.request.Deadline)
	}
	return max(minHedgeDelay, mean+hedgeDeviations*deviation)
}

// hedge returns a grant for a hedged attempt, or nil. Only repeatable requests are
// hedged, if there is free capacity and retry budget. Streams are resumed instead, see
// generate.
func (s *stageRun) hedge(running int) *scheduling.Grant {
	if s.Baseline || !s.request.Repeatable || s.stage.Kind == config.Generation {
		return nil
	}
	if running != 1 || len(s.tried) >= maxAttempts || !s.pool.HasFreeCapacity() || !s.pool.TryRetry() {
		return nil
	}
	result := s.pool.Acquire(s.Clock.Now(), s.stageWork())
	if result.Waiter != nil {
		result, _ = s.pool.Withdraw(result.Waiter)
	}
	if result.Grant == nil {
		return nil
	}
	s.tried = append(s.tried, result.Grant.Endpoint.Name)
	s.Metrics.hedges.Inc()
	return result.Grant
}

// callProblem returns the problem for a stage whose call failed.
func callProblem(err error, stage string) error {
	return problem.Wrap(err, problem.Unavailable, "see the request's timeline; retry if the outcome permits it", "stage %s failed", stage)
}
