package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// stageResults are the results of one stage.
type stageResults struct {
	bytes   int64
	results []batch.Result
}

func (s stageResults) handles() []string {
	handles := make([]string, len(s.results))
	for i, r := range s.results {
		handles[i] = r.Handle
	}
	return handles
}

// makeStages has the pieces of all stages made, each stage as soon as those it reads
// are done. Results that only other stages read are freed when those are done.
func (u *run) makeStages(ctx context.Context) *Refusal {
	if len(u.route.Stages) == 0 || len(u.request.Pieces) == 0 {
		return nil
	}
	p := &pipeline{run: u, done: make([]chan struct{}, len(u.route.Stages)), made: make([]stageResults, len(u.route.Stages))}
	ctx, p.cancel = context.WithCancel(ctx)
	defer p.cancel()
	for i := range p.done {
		p.done[i] = make(chan struct{})
	}
	var group sync.WaitGroup
	for i := range u.route.Stages {
		group.Go(func() { p.stage(ctx, i) })
	}
	group.Wait()
	if p.failed != "" {
		p.freeAll()
		return refusePieces(u.comeBack())
	}
	for _, i := range u.route.Final() {
		u.inputs = append(u.inputs, p.made[i])
	}
	return nil
}

// pipeline is the making of one request's stages.
type pipeline struct {
	*run
	cancel context.CancelFunc
	done   []chan struct{}

	mu     sync.Mutex
	made   []stageResults
	failed batch.Reason
}

// stage makes one stage's pieces after those that it reads.
func (p *pipeline) stage(ctx context.Context, i int) {
	defer close(p.done[i])
	stage := &p.route.Stages[i]
	for _, before := range stage.After {
		<-p.done[before]
	}
	if ctx.Err() != nil || p.hasFailed() {
		return
	}
	pieces := p.pieces(i, stage)
	if len(pieces) == 0 {
		return
	}
	p.Budget.Request(stage.Service)
	begin := p.Clock.Now()
	results := p.Pieces.Make(ctx, stage.Service, pieces)
	reason := firstReason(results)
	p.Log.WithFields(logrus.Fields{
		"event": "stage", "id": p.request.ID, "stage": i, "pieces": len(pieces),
		"ms": p.Clock.Since(begin).Milliseconds(), "outcome": string(reason), "domain": pieces[0].Domain, "made_in": results[0].Domain,
	}).Info()
	p.mu.Lock()
	p.made[i] = stageResults{bytes: stage.Bytes, results: results}
	if reason != "" && p.failed == "" {
		p.failed = reason
		p.cancel()
	}
	p.mu.Unlock()
	if reason == "" {
		p.freeRead(i)
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

func (p *pipeline) hasFailed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed != ""
}

// pieces returns the pieces of a stage, none if the request leaves it out.
func (p *pipeline) pieces(i int, stage *route.Stage) []batch.Piece {
	if i >= len(p.request.Pieces) {
		return nil
	}
	var inputs []string
	domain := p.Domain
	p.mu.Lock()
	for _, before := range stage.After {
		inputs = append(inputs, p.made[before].handles()...)
	}
	if len(stage.After) > 0 {
		domain = heaviestDomain(p.made, stage.After, domain)
	}
	p.mu.Unlock()
	pieces := make([]batch.Piece, p.request.Pieces[i])
	for n := range pieces {
		pieces[n] = batch.Piece{
			Request:  p.request.ID,
			Stage:    i,
			Index:    n,
			Inputs:   inputs,
			Bytes:    stage.Bytes,
			Due:      p.due(),
			Deadline: p.deadline,
			Priority: p.priority(),
			Domain:   domain,
		}
		if len(stage.After) == 0 {
			pieces[n].Key = p.request.PieceKey
		}
	}
	return pieces
}

// heaviestDomain returns the failure domain that holds the most bytes of the stages'
// results.
func heaviestDomain(made []stageResults, stages []int, otherwise string) string {
	weights := map[string]int64{}
	best, most := otherwise, int64(0)
	for _, i := range stages {
		for _, r := range made[i].results {
			weights[r.Domain] += made[i].bytes
			if weights[r.Domain] > most {
				best, most = r.Domain, weights[r.Domain]
			}
		}
	}
	return best
}

// freeRead frees the results that stage i has read, where no other stage reads them.
func (p *pipeline) freeRead(i int) {
	for _, before := range p.route.Stages[i].After {
		if p.readers(before) == 1 {
			p.Pieces.Free(p.made[before].results)
		}
	}
}

func (p *pipeline) readers(i int) int {
	n := 0
	for _, stage := range p.route.Stages {
		for _, before := range stage.After {
			if before == i {
				n++
			}
		}
	}
	return n
}

func (p *pipeline) freeAll() {
	for _, s := range p.made {
		p.Pieces.Free(s.results)
	}
}

// freeInputs gives up the results that the request reads.
func (u *run) freeInputs() {
	for _, s := range u.inputs {
		u.Pieces.Free(s.results)
	}
	u.inputs = nil
}

// inputHandles returns the handles that the request reads, of all final stages.
func (u *run) inputHandles() []string {
	var handles []string
	for _, s := range u.inputs {
		handles = append(handles, s.handles()...)
	}
	return handles
}

// inputDomain returns the failure domain that holds most of the inputs, and how many
// bytes they are.
func (u *run) inputDomain() (string, int64) {
	var bytes int64
	for _, s := range u.inputs {
		bytes += s.bytes * int64(len(s.results))
	}
	all := make([]int, len(u.inputs))
	for i := range all {
		all[i] = i
	}
	return heaviestDomain(u.inputs, all, u.Domain), bytes
}

// firstComeBack is the shortest time after which refused clients are told to come back.
const firstComeBack = 200 * time.Millisecond

// comeBack is when a client may come back after its request was refused.
func (u *run) comeBack() time.Duration {
	return max(firstComeBack, u.route.Objective/4)
}

// formatSeconds writes a time in seconds with fractions.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
