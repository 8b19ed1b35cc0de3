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
)

// Pieces has pieces made.
type Pieces interface {
	// Make returns a result for each piece, when all are settled.
	// If read is not nil, it is called when the pieces' inputs have been read.
	Make(ctx context.Context, at batch.Queue, pieces []batch.Piece, read func()) []batch.Result
	// Free gives results up.
	Free(results []batch.Result)
	// Inspect asks the endpoints of queues what they do, where that is not known.
	Inspect(ctx context.Context, queues []batch.Queue)
	// Release stops the work of a part of so many, and returns what is known of its endpoints;
	// Take begins it with what another knew, and tells whether it had gone on all the while; Resume
	// begins it with nothing.
	Release(part, parts int) batch.Ledger
	Take(part, parts int, ledger batch.Ledger) (planned bool)
	Resume(part, parts int)
	// Split returns what a ledger tells by the parts of another division into so many.
	Split(ledger batch.Ledger, parts int) map[int]batch.Ledger
	// Adopt counts results in that another planner had made.
	Adopt(results []batch.Result)
	// Capacity returns what the endpoints of a queue can do.
	Capacity(at batch.Queue) batch.Capacity
}

// Planner makes the stages of requests. Safe for concurrent use.
type Planner struct {
	pieces Pieces
	clock  clockwork.Clock
	log    *logrus.Entry

	admitted *metrics.Counter
	refused  *metrics.Counter

	mu sync.Mutex
	// backlogs are what each queue is asked for.
	backlogs map[batch.Queue]*backlog
	// lateness is by the requests' priority.
	lateness map[int]*lateness
	overload overload
	readers  readers
}

// NewPlanner returns a planner without work. Counters are made in set.
func NewPlanner(pieces Pieces, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Planner {
	return &Planner{
		pieces:   pieces,
		clock:    clock,
		log:      log,
		admitted: set.NewCounter(`cobaltcroft_plans_total{outcome="admitted"}`),
		refused:  set.NewCounter(`cobaltcroft_plans_total{outcome="refused"}`),
		backlogs: map[batch.Queue]*backlog{},
		lateness: map[int]*lateness{},
		readers:  newReaders(),
	}
}

func queueOf(part Part, service string) batch.Queue {
	return batch.Queue{Service: service, Part: part.Number, Parts: part.Of}
}

// Run makes the stages of a plan, or what is missing of them, unless they would not be done in
// time. If ctx ends before, what was made is freed.
func (p *Planner) Run(ctx context.Context, part Part, plan Plan) Outcome {
	begin := p.clock.Now()
	plan.dropMalformed()
	p.inspect(ctx, part, &plan)
	for _, made := range plan.Made {
		p.pieces.Adopt(made)
	}
	forecast, admitted := p.admit(part, &plan)
	p.log.WithFields(logrus.Fields{
		"event": "plan", "id": plan.Request, "part": part.Number, "forecast_ms": forecast.Milliseconds(),
		"left_ms": plan.Due.Sub(p.clock.Now()).Milliseconds(), "allowed_ms": p.allowed(plan.Priority).Milliseconds(), "admitted": admitted, "domain": plan.Domain, "priority": plan.Priority,
	}).Info()
	if !admitted {
		p.refused.Inc()
		return Outcome{Reason: Busy, RetryAfter: p.comeBack(&plan, forecast)}
	}
	p.admitted.Inc()
	outcome := newWork(p, part, &plan).run(ctx)
	if outcome.Reason == "" {
		p.learn(plan.Priority, forecast, p.clock.Since(begin))
	}
	if outcome.Reason == batch.Gone && p.clock.Now().Before(plan.Due) {
		p.log.WithFields(logrus.Fields{"event": "plan_again", "id": plan.Request}).Info()
		plan.Made = nil
		p.count(part, &plan)
		outcome = newWork(p, part, &plan).run(ctx)
	}
	if outcome.Reason == "" {
		outcome.Reader = p.chooseReader(&plan, outcome.Results)
	}
	return outcome
}

// ReaderFailed notes that a request failed at the endpoint that was chosen for it.
func (p *Planner) ReaderFailed(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers.failed(p.clock.Now(), endpoint)
}

// allowed is by how much plans may last longer than forecast.
func (p *Planner) allowed(priority int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latenessLocked(priority).allowed
}

// chooseReader chooses where a request runs whose stages are made.
func (p *Planner) chooseReader(plan *Plan, results []batch.Result) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers.choose(p.clock.Now(), plan.Readers, results)
}

// work is a plan under way.
type work struct {
	*Planner
	part  Part
	plan  *Plan
	read  []bool
	waits [][]int
	tails []int
	// missing are the pieces of each stage that are to be made.
	missing [][]int
	cancel  context.CancelFunc
	done    []chan struct{}

	mu     sync.Mutex
	made   [][]batch.Result
	reason batch.Reason
	// left counts the stages that are not made yet.
	left int
}

func newWork(p *Planner, part Part, plan *Plan) *work {
	w := &work{
		Planner: p,
		part:    part,
		plan:    plan,
		read:    plan.read(),
		waits:   plan.waits(),
		tails:   plan.tails(),
		missing: plan.missing(),
		done:    make([]chan struct{}, len(plan.Stages)),
		made:    make([][]batch.Result, len(plan.Stages)),
	}
	for i := range w.done {
		if len(w.missing[i]) > 0 {
			w.left++
		}
		w.done[i] = make(chan struct{})
		w.made[i] = make([]batch.Result, plan.Stages[i].Pieces)
		if plan.Made != nil {
			copy(w.made[i], plan.Made[i])
		}
	}
	return w
}

func (w *work) run(ctx context.Context) Outcome {
	ctx, w.cancel = context.WithCancel(ctx)
	defer w.cancel()
	var group sync.WaitGroup
	for i := range w.plan.Stages {
		group.Go(func() { w.stage(ctx, i) })
	}
	group.Wait()
	if (w.reason == "" || w.reason == batch.Moved) && ctx.Err() != nil {
		w.reason = batch.Late
	}
	if w.reason == batch.Moved {
		return Outcome{Reason: batch.Moved, Made: w.made}
	}
	if w.reason != "" {
		for _, results := range w.made {
			w.pieces.Free(results)
		}
		return Outcome{Reason: w.reason}
	}
	var outcome Outcome
	for i, results := range w.made {
		if !w.read[i] {
			outcome.Results = append(outcome.Results, results...)
		}
	}
	return outcome
}

// stage makes one stage when those that it waits for are done.
func (w *work) stage(ctx context.Context, i int) {
	defer close(w.done[i])
	stage := &w.plan.Stages[i]
	queue := queueOf(w.part, stage.Service)
	defer w.finished(queue, w.plan, len(w.missing[i]))
	for _, before := range w.waits[i] {
		<-w.done[before]
	}
	if len(w.missing[i]) == 0 || ctx.Err() != nil || w.failed() {
		return
	}
	begin := w.clock.Now()
	results := w.pieces.Make(ctx, queue, w.stagePieces(i, stage), w.whenRead(i))
	reason := firstReason(results)
	w.log.WithFields(logrus.Fields{
		"event": "stage", "id": w.plan.Request, "stage": i, "service": stage.Service, "pieces": len(w.missing[i]),
		"ms": w.clock.Since(begin).Milliseconds(), "reason": string(reason), "made_in": results[0].Domain,
	}).Info()
	w.mu.Lock()
	for n, index := range w.missing[i] {
		w.made[i][index] = results[n]
	}
	w.fail(reason)
	w.mu.Unlock()
	if reason == "" {
		w.tell(i)
		w.freeRead(i)
	}
}

// tell tells of a stage that is made, unless it was the last one.
func (w *work) tell(i int) {
	w.mu.Lock()
	results := slices.Clone(w.made[i])
	w.left--
	last := w.left == 0
	w.mu.Unlock()
	if w.plan.Progress != nil && !last {
		w.plan.Progress(i, results)
	}
}

// fail notes why a stage was not made. Stages of a plan that moves are not given up: what can be
// made of them is.
func (w *work) fail(reason batch.Reason) {
	if reason == "" || w.reason != "" && w.reason != batch.Moved {
		return
	}
	w.reason = reason
	if reason != batch.Moved {
		w.cancel()
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

func (w *work) failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason != ""
}

func (w *work) stagePieces(i int, stage *Stage) []batch.Piece {
	var inputs []string
	var inputBytes int64
	var until time.Time
	domain := w.plan.Domain
	w.mu.Lock()
	for _, before := range stage.After {
		for _, r := range w.made[before] {
			inputs = append(inputs, r.Handle)
			inputBytes += r.Bytes
			if until.IsZero() || r.Until.Before(until) {
				until = r.Until
			}
		}
	}
	if len(stage.After) > 0 {
		if heaviest := HeaviestDomain(w.results(stage.After)); heaviest != "" {
			domain = heaviest
		}
	}
	w.mu.Unlock()
	later := time.Duration(0)
	if w.tails[i] > 1 {
		later = time.Duration(w.tails[i]-1) * w.pieces.Capacity(queueOf(w.part, stage.Service)).Call
	}
	pieces := make([]batch.Piece, len(w.missing[i]))
	for n, index := range w.missing[i] {
		pieces[n] = batch.Piece{
			Request:     w.plan.Request,
			Stage:       i,
			Index:       index,
			Inputs:      inputs,
			InputBytes:  inputBytes,
			InputsUntil: until,
			Bytes:       stage.Bytes,
			Due:         w.plan.Due.Add(-later),
			Deadline:    w.plan.Deadline,
			Priority:    w.plan.Priority,
			Domain:      domain,
			Within:      w.plan.Within,
		}
		if len(stage.After) == 0 {
			pieces[n].Key = w.plan.Key
		}
	}
	return pieces
}

func (w *work) results(stages []int) []batch.Result {
	var all []batch.Result
	for _, i := range stages {
		all = append(all, w.made[i]...)
	}
	return all
}

// HeaviestDomain returns the failure domain that holds the most bytes of results; empty
// if there are none.
func HeaviestDomain(results []batch.Result) string {
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

// whenRead returns what is done when stage i has read its inputs. They are given up at once
// where they take up room that is scarce, and kept until the stage is done elsewhere, so
// that a piece that fails can be made again.
func (w *work) whenRead(i int) func() {
	stage := &w.plan.Stages[i]
	scarce := false
	for _, before := range stage.After {
		read := &w.plan.Stages[before]
		scarce = scarce || w.pieces.Capacity(queueOf(w.part, read.Service)).Scarce(read.Bytes)
	}
	if !scarce {
		return nil
	}
	return func() { w.freeRead(i) }
}

// freeRead frees the results that stage i has read, where no other stage reads them.
func (w *work) freeRead(i int) {
	for _, before := range w.plan.Stages[i].After {
		if w.readers(before) > 1 {
			continue
		}
		w.mu.Lock()
		results := w.made[before]
		w.made[before] = nil
		w.mu.Unlock()
		w.pieces.Free(results)
	}
}

func (w *work) readers(i int) int {
	n := 0
	for _, stage := range w.plan.Stages {
		for _, before := range stage.After {
			if before == i && stage.Pieces > 0 {
				n++
			}
		}
	}
	return n
}
