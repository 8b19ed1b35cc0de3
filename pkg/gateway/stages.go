package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// Stages has the stages of requests made.
type Stages interface {
	// Run makes the stages of a plan, or says why they are not made.
	Run(ctx context.Context, plan pipeline.Plan) pipeline.Outcome
	// Free gives the results of a plan up.
	Free(results []batch.Result)
	// ReaderFailed tells the planner of an outcome that an endpoint failed which it may
	// choose for others.
	ReaderFailed(planner, endpoint string)
}

// makeStages has the route's stages made.
func (u *run) makeStages(ctx context.Context) *Refusal {
	if len(u.route.Stages) == 0 || len(u.request.Pieces) == 0 {
		return nil
	}
	ctx, cancel := u.untilDrained(ctx)
	defer cancel()
	begin := u.Clock.Now()
	ctx, stop := u.until(ctx, u.stagesUntil())
	defer stop()
	plan := u.plan()
	outcome := u.Stages.Run(ctx, plan)
	u.Log.WithFields(logrus.Fields{
		"event": "stages", "id": u.request.ID, "ms": u.Clock.Since(begin).Milliseconds(), "reason": string(outcome.Reason),
		"left_ms": plan.Due.Sub(begin).Milliseconds(), "results": len(outcome.Results), "domain": plan.Domain,
	}).Info()
	u.inputs = outcome.Results
	u.reader, u.planner = outcome.Reader, outcome.Planner
	u.readInputs = u.readInputs || len(u.inputs) > 0
	switch {
	case outcome.Reason != "" && u.draining():
		return refuseStopping()
	case outcome.Reason == pipeline.Busy:
		return refuseBusy(outcome.RetryAfter)
	case outcome.Reason != "":
		return refusePieces(u.comeBack())
	}
	return nil
}

// heldPart is the part of a request's time for which it is held at most while its stages
// are made: then its caller still has the time to come back.
const heldPart = 0.45

// stagesUntil is when a request is given up whose stages are not made, unless its objective
// ends later.
func (u *run) stagesUntil() time.Time {
	held := time.Duration(heldPart * float64(u.limit()))
	until := u.request.Arrived.Add(held)
	if due := u.due(); due.After(until) {
		until = due
	}
	return until
}

// plan is the work of the route's stages.
func (u *run) plan() pipeline.Plan {
	candidates := u.ready(u.service.Name)
	call, domain := u.Balancer.Estimate(candidates, u.need())
	plan := pipeline.Plan{
		Request:        u.request.ID,
		Stages:         make([]pipeline.Stage, len(u.route.Stages)),
		Key:            u.request.PieceKey,
		Due:            u.due().Add(-call),
		Deadline:       u.deadline,
		Priority:       u.rank(),
		Domain:         domain,
		AllowedDomains: u.within,
		Readers:        u.readers(candidates),
	}
	for i, stage := range u.route.Stages {
		plan.Stages[i] = pipeline.Stage{Service: stage.Service, After: stage.After, Bytes: stage.Bytes}
		if i < len(u.request.Pieces) {
			plan.Stages[i].Pieces = u.request.Pieces[i]
		}
	}
	return plan
}

// maxReaders bounds the endpoints among which the planner chooses.
const maxReaders = 6

// readers are the engines where the request may run, as this instance sees them.
func (u *run) readers(candidates []fleet.Endpoint) []pipeline.Reader {
	if u.service.Engine == nil {
		return nil
	}
	var readers []pipeline.Reader
	for _, option := range u.Balancer.Options(candidates, u.need(), maxReaders) {
		readers = append(readers, pipeline.Reader{
			Endpoint:  option.Endpoint.ID,
			Domain:    option.Endpoint.FailureDomain,
			CostMs:    option.Cost.Milliseconds(),
			ReadingMs: option.Reading.Milliseconds(),
		})
	}
	return readers
}

// endpointFailed tells the planner that chose an endpoint for the request of a failure.
func (u *run) endpointFailed(ctx context.Context, endpoint string) {
	if u.reader != "" && ctx.Err() == nil {
		u.Stages.ReaderFailed(u.planner, endpoint)
	}
}

// freeInputs gives up the results that the request reads.
func (u *run) freeInputs() {
	if len(u.inputs) > 0 {
		u.Stages.Free(u.inputs)
	}
	u.inputs = nil
}

// inputHandles returns the handles that the request reads.
func (u *run) inputHandles() []string {
	handles := make([]string, len(u.inputs))
	for i, r := range u.inputs {
		handles[i] = r.Handle
	}
	return handles
}

func (u *run) inputBytes() int64 {
	var bytes int64
	for _, r := range u.inputs {
		bytes += r.Bytes
	}
	return bytes
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
