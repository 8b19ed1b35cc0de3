package pipeline

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/bootclock"
)

// Batcher processes pieces in batches. It is implemented by batch.Batcher.
type Batcher interface {
	// Process returns a result for each piece when all are settled. If read is not nil, it is called
	// when the inputs have been read.
	Process(ctx context.Context, at batch.Queue, pieces []batch.Piece, read func()) []batch.Result
	// Free discards results.
	Free(results []batch.Result)
	// Inspect queries the endpoints of queues whose state is not known.
	Inspect(ctx context.Context, queues []batch.Queue)
	// Release stops the work of a partition and returns the state of its endpoints. Acquire starts it
	// with the state from another planner and reports whether this planner had been active
	// throughout. Resume starts it without state.
	Release(part, parts int) batch.Ledger
	Acquire(part, parts int, ledger batch.Ledger) (planned bool)
	Resume(part, parts int)
	// Split divides a ledger by the partitions of a new number of partitions.
	Split(ledger batch.Ledger, parts int) map[int]batch.Ledger
	// TrackResults tracks results made for another planner.
	TrackResults(results []batch.Result)
	// Capacity returns the capacity of the endpoints of a queue.
	Capacity(at batch.Queue) batch.Capacity
}

// Planner executes the stages of requests. It is safe for concurrent use.
type Planner struct {
	batcher Batcher
	clock   clockwork.Clock
	log     *logrus.Entry

	// admitted and refused count all plans; the other counters count some of these again.
	admitted     *metrics.Counter
	refused      *metrics.Counter
	refusedShare *metrics.Counter
	late         *metrics.Counter

	observations observationCounters

	mu       sync.Mutex
	backlogs map[batch.Queue]*backlog
	// lateness is keyed by request priority.
	lateness map[int]*lateness
	overload overload
	readers  readers
	// idleCheckedAt is when idle queues were last removed.
	idleCheckedAt time.Time
}

// NewPlanner returns an idle planner. It registers its counters in set.
func NewPlanner(batcher Batcher, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Planner {
	return &Planner{
		batcher:      batcher,
		clock:        clock,
		log:          log,
		admitted:     set.NewCounter(`cobaltcroft_plans_total{outcome="admitted"}`),
		refused:      set.NewCounter(`cobaltcroft_plans_total{outcome="refused"}`),
		refusedShare: set.NewCounter(`cobaltcroft_plans_total{outcome="refused_share"}`),
		late:         set.NewCounter(`cobaltcroft_plans_total{outcome="late"}`),
		backlogs:     map[batch.Queue]*backlog{},
		lateness:     map[int]*lateness{},
		readers:      newReaders(),

		observations: newObservationCounters(set),
	}
}

func queueOf(part Part, service string) batch.Queue {
	return batch.Queue{Service: service, Part: part.Number, Parts: part.Of}
}

// Run executes the remaining stages of a plan unless it would miss its due time. If ctx or the plan's
// deadline ends first, completed results are freed.
func (p *Planner) Run(ctx context.Context, part Part, plan Plan) Outcome {
	begin := p.clock.Now()
	if !plan.Deadline.IsZero() {
		// The instance that handed the plan over may not be able to cancel it.
		var cancel context.CancelFunc
		ctx, cancel = bootclock.WithDeadline(ctx, p.clock, plan.Deadline)
		defer cancel()
	}
	plan.dropMalformed()
	p.inspect(ctx, part, &plan)
	for _, made := range plan.Completed {
		p.batcher.TrackResults(made)
	}
	decided := p.admit(part, &plan)
	p.logDecision(part, &plan, decided)
	if decided.refused != "" {
		return Outcome{Reason: Busy, RetryAfter: p.retryAfter(&plan, decided)}
	}
	outcome := newExecution(p, part, &plan).run(ctx)
	if outcome.Reason == "" && !plan.late {
		p.recordDuration(plan.Priority, decided.forecast.total, p.clock.Since(begin))
	}
	if outcome.Reason == batch.Gone && p.clock.Now().Before(plan.Due) {
		p.log.WithFields(logrus.Fields{"event": "plan_again", "id": plan.Request}).Info()
		plan.Completed = nil
		p.addPlan(part, &plan)
		outcome = newExecution(p, part, &plan).run(ctx)
	}
	if outcome.Reason == "" {
		outcome.Reader = p.chooseReader(&plan, outcome.Results)
	}
	return outcome
}

// logDecision logs and counts the admission or refusal of a plan.
func (p *Planner) logDecision(part Part, plan *Plan, d decision) {
	p.log.WithFields(logrus.Fields{
		"event": "plan", "id": plan.Request, "part": part.Number, "forecast_ms": d.forecast.total.Milliseconds(),
		"left_ms": plan.Due.Sub(p.clock.Now()).Milliseconds(), "allowed_ms": d.allowedLateness.Milliseconds(),
		"admitted": d.refused == "", "reason": string(d.refused), "share": d.share, "late": d.late,
		"domain": plan.Domain, "priority": plan.Priority,
	}).Info()
	switch {
	case d.late:
		p.late.Inc()
	case d.refused == refusedByShare:
		p.refusedShare.Inc()
	}
	if d.refused != "" {
		p.refused.Inc()
		return
	}
	p.admitted.Inc()
}

// ReaderFailed records that a request failed at the endpoint chosen for it.
func (p *Planner) ReaderFailed(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers.recordFailure(p.clock.Now(), endpoint)
}

// chooseReader chooses the endpoint for a request whose stages are completed.
func (p *Planner) chooseReader(plan *Plan, results []batch.Result) string {
	p.mu.Lock()
	chosen, costs := p.readers.choose(p.clock.Now(), plan.Request, plan.Readers, results)
	p.mu.Unlock()
	p.logChoice(plan.Request, chosen, costs)
	return chosen
}

// execution is the state of a running plan.
type execution struct {
	*Planner
	part            Part
	plan            *Plan
	consumed        []bool
	dependencies    [][]int
	remainingStages []int
	// missing lists the indices of the pieces to be processed, by stage.
	missing [][]int
	cancel  context.CancelFunc
	done    []chan struct{}

	mu     sync.Mutex
	made   [][]batch.Result
	reason batch.Reason
	// pending counts the stages that are not completed.
	pending int
}

func newExecution(p *Planner, part Part, plan *Plan) *execution {
	e := &execution{
		Planner:         p,
		part:            part,
		plan:            plan,
		consumed:        plan.consumed(),
		dependencies:    plan.dependencies(),
		remainingStages: plan.remainingStages(),
		missing:         plan.missing(),
		done:            make([]chan struct{}, len(plan.Stages)),
		made:            make([][]batch.Result, len(plan.Stages)),
	}
	for i := range e.done {
		if len(e.missing[i]) > 0 {
			e.pending++
		}
		e.done[i] = make(chan struct{})
		e.made[i] = make([]batch.Result, plan.Stages[i].Pieces)
		if plan.Completed != nil {
			copy(e.made[i], plan.Completed[i])
		}
	}
	return e
}

func (e *execution) run(ctx context.Context) Outcome {
	ctx, e.cancel = context.WithCancel(ctx)
	defer e.cancel()
	var group sync.WaitGroup
	for i := range e.plan.Stages {
		group.Go(func() { e.runStage(ctx, i) })
	}
	group.Wait()
	if (e.reason == "" || e.reason == batch.Moved) && ctx.Err() != nil {
		e.reason = batch.Late
	}
	if e.reason == batch.Moved {
		return Outcome{Reason: batch.Moved, Completed: e.made}
	}
	if e.reason != "" {
		for _, results := range e.made {
			e.batcher.Free(results)
		}
		return Outcome{Reason: e.reason}
	}
	var outcome Outcome
	for i, results := range e.made {
		if !e.consumed[i] {
			outcome.Results = append(outcome.Results, results...)
		}
	}
	return outcome
}

// runStage executes one stage after its dependencies.
func (e *execution) runStage(ctx context.Context, i int) {
	defer close(e.done[i])
	stage := &e.plan.Stages[i]
	queue := queueOf(e.part, stage.Service)
	defer e.removePieces(queue, e.plan, len(e.missing[i]))
	e.awaitDependencies(ctx, i)
	if len(e.missing[i]) == 0 || ctx.Err() != nil || e.failed() {
		return
	}
	begin := e.clock.Now()
	results := e.batcher.Process(ctx, queue, e.stagePieces(i, stage), e.onInputsRead(i))
	reason := firstReason(results)
	e.log.WithFields(logrus.Fields{
		"event": "stage", "id": e.plan.Request, "stage": i, "service": stage.Service, "pieces": len(e.missing[i]),
		"ms": e.clock.Since(begin).Milliseconds(), "reason": string(reason), "made_in": results[0].Domain,
	}).Info()
	e.mu.Lock()
	for n, index := range e.missing[i] {
		e.made[i][index] = results[n]
	}
	e.fail(reason)
	e.mu.Unlock()
	if reason == "" {
		e.reportProgress(i)
		e.freeInputs(i)
	}
}

// awaitDependencies waits until the dependencies of a stage have ended, or ctx is done.
func (e *execution) awaitDependencies(ctx context.Context, i int) {
	for _, before := range e.dependencies[i] {
		select {
		case <-e.done[before]:
		case <-ctx.Done():
			return
		}
	}
}

// reportProgress reports a completed stage unless it was the last one.
func (e *execution) reportProgress(i int) {
	e.mu.Lock()
	results := slices.Clone(e.made[i])
	e.pending--
	last := e.pending == 0
	e.mu.Unlock()
	if e.plan.Progress != nil && !last {
		e.plan.Progress(i, results)
	}
}

// fail records why a stage failed. If the plan has moved, the other stages continue as far as they
// can.
func (e *execution) fail(reason batch.Reason) {
	if reason == "" || e.reason != "" && e.reason != batch.Moved {
		return
	}
	e.reason = reason
	if reason != batch.Moved {
		e.cancel()
	}
}

func firstReason(results []batch.Result) batch.Reason {
	for _, r := range results {
		if r.Handle == "" {
			if r.Reason == "" {
				return batch.Failed
			}
			return r.Reason
		}
	}
	return ""
}

func (e *execution) failed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reason != ""
}

func (e *execution) stagePieces(i int, stage *Stage) []batch.Piece {
	var inputs []string
	var inputBytes int64
	var until time.Time
	domain := e.plan.Domain
	e.mu.Lock()
	for _, before := range stage.After {
		for _, r := range e.made[before] {
			inputs = append(inputs, r.Handle)
			inputBytes += r.Bytes
			if until.IsZero() || r.Until.Before(until) {
				until = r.Until
			}
		}
	}
	if len(stage.After) > 0 {
		if heaviest := LargestDomain(e.results(stage.After)); heaviest != "" {
			domain = heaviest
		}
	}
	e.mu.Unlock()
	offset := time.Duration(0)
	if e.remainingStages[i] > 1 {
		offset = time.Duration(e.remainingStages[i]-1) * e.batcher.Capacity(queueOf(e.part, stage.Service)).CallTime
	}
	due := e.plan.Due.Add(-offset)
	if now := e.clock.Now(); e.plan.late && due.After(now) {
		// Pieces that miss their due time run after all others.
		due = now
	}
	pieces := make([]batch.Piece, len(e.missing[i]))
	for n, index := range e.missing[i] {
		pieces[n] = batch.Piece{
			Request:        e.plan.Request,
			Stage:          i,
			Index:          index,
			Inputs:         inputs,
			InputBytes:     inputBytes,
			InputsUntil:    until,
			Bytes:          stage.Bytes,
			Due:            due,
			Deadline:       e.plan.Deadline,
			Priority:       e.plan.Priority,
			Domain:         domain,
			AllowedDomains: e.plan.AllowedDomains,
		}
		if len(stage.After) == 0 {
			pieces[n].Key = e.plan.Key
		}
	}
	return pieces
}

func (e *execution) results(stages []int) []batch.Result {
	var all []batch.Result
	for _, i := range stages {
		all = append(all, e.made[i]...)
	}
	return all
}

// LargestDomain returns the failure domain that holds the most bytes of results; empty if there
// are none.
func LargestDomain(results []batch.Result) string {
	weights := map[string]int64{}
	best, most := "", int64(-1)
	for _, r := range results {
		weights[r.Domain] += r.Bytes
		if weights[r.Domain] > most {
			best, most = r.Domain, weights[r.Domain]
		}
	}
	return best
}

// onInputsRead returns the function to call when stage i has read its inputs. If memory is scarce
// it frees them at once; otherwise it is nil and the inputs are kept until the stage completes, so
// that pieces can be retried.
func (e *execution) onInputsRead(i int) func() {
	stage := &e.plan.Stages[i]
	scarce := false
	for _, before := range stage.After {
		read := &e.plan.Stages[before]
		scarce = scarce || e.batcher.Capacity(queueOf(e.part, read.Service)).MemoryScarce(read.Bytes)
	}
	if !scarce {
		return nil
	}
	return func() { e.freeInputs(i) }
}

// freeInputs frees the inputs of stage i that no other stage reads.
func (e *execution) freeInputs(i int) {
	for _, before := range e.plan.Stages[i].After {
		if e.consumers(before) > 1 {
			continue
		}
		e.mu.Lock()
		results := e.made[before]
		e.made[before] = nil
		e.mu.Unlock()
		e.batcher.Free(results)
	}
}

func (e *execution) consumers(i int) int {
	n := 0
	for _, stage := range e.plan.Stages {
		for _, before := range stage.After {
			if before == i && stage.Pieces > 0 {
				n++
			}
		}
	}
	return n
}
