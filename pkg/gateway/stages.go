package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/bootclock"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// Stages runs the stages of requests.
type Stages interface {
	// Run runs the stages of a plan, or returns the reason why it did not.
	Run(ctx context.Context, plan pipeline.Plan) pipeline.Outcome
	// Free releases the results of a plan.
	Free(results []batch.Result)
	// ReaderFailed reports a failed endpoint to the planner, which may otherwise choose it for
	// other requests.
	ReaderFailed(planner, endpoint string)
}

// checkPieces refuses a request with too many pieces, or one that leaves out all stages that another one
// reads. The endpoint that runs the request needs no results if the request has none.
func (u *run) checkPieces() *Refusal {
	if u.tooManyPieces() {
		return refuseTooManyPieces(u.MaxPieces)
	}
	plan := pipeline.Plan{Stages: u.stages()}
	if stage := plan.StageWithoutInput(); stage >= 0 {
		return refuseStageWithoutInput(stage)
	}
	return nil
}

// tooManyPieces reports whether the request has more pieces than one may have. It adds no numbers before it
// has compared them, so that the sum cannot overflow.
func (u *run) tooManyPieces() bool {
	if u.MaxPieces <= 0 {
		return false
	}
	left := u.MaxPieces
	for _, n := range u.request.Pieces {
		if n > left {
			return true
		}
		left -= n
	}
	return false
}

// runStages runs the route's stages.
func (u *run) runStages(ctx context.Context) *Refusal {
	if len(u.route.Stages) == 0 || len(u.request.Pieces) == 0 {
		return nil
	}
	ctx, cancel := until(ctx, u.drained)
	defer cancel()
	begin := u.Clock.Now()
	ctx, stop := bootclock.WithDeadline(ctx, u.Clock, u.stagesDeadline())
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
		return RefuseStopping()
	case outcome.Reason == pipeline.Busy:
		return refuseBusy(outcome.RetryAfter)
	case outcome.Reason != "":
		return refusePieces(u.retryAfter())
	}
	return nil
}

// maxStageTimeRatio is the largest part of a request's time that its stages may take, so that the
// client still has time to retry.
const maxStageTimeRatio = 0.45

// stagesDeadline returns when unfinished stages are abandoned; not before the latency objective
// ends.
func (u *run) stagesDeadline() time.Time {
	maxWait := time.Duration(maxStageTimeRatio * float64(u.timeLimit()))
	until := u.request.Arrived.Add(maxWait)
	if due := u.objectiveEnd(); due.After(until) {
		until = due
	}
	return until
}

// plan returns the plan for the route's stages.
func (u *run) plan() pipeline.Plan {
	candidates := u.ready(u.service.Name)
	call, domain := u.Balancer.Estimate(candidates, u.constraints())
	plan := pipeline.Plan{
		Request:        u.request.ID,
		Stages:         u.stages(),
		Key:            u.request.PieceKey,
		Due:            u.objectiveEnd().Add(-call),
		Deadline:       u.deadline,
		Priority:       u.stagePriority(),
		Domain:         domain,
		AllowedDomains: u.allowedDomains,
		Readers:        u.readers(candidates),
	}
	return plan
}

// stages returns the route's stages with the request's pieces.
func (u *run) stages() []pipeline.Stage {
	stages := make([]pipeline.Stage, len(u.route.Stages))
	for i, stage := range u.route.Stages {
		stages[i] = pipeline.Stage{Service: stage.Service, After: stage.After, Bytes: stage.Bytes}
		if i < len(u.request.Pieces) {
			stages[i].Pieces = u.request.Pieces[i]
		}
	}
	return stages
}

// maxReaders limits the endpoints offered to the planner.
const maxReaders = 8

// readers returns the engines that may run the request, as estimated by this instance.
func (u *run) readers(candidates []fleet.Endpoint) []pipeline.Reader {
	if u.service.Engine == nil {
		return nil
	}
	var readers []pipeline.Reader
	for _, option := range u.Balancer.Options(candidates, u.constraints(), maxReaders) {
		readers = append(readers, pipeline.Reader{
			Endpoint:  option.Endpoint.ID,
			Domain:    option.Endpoint.FailureDomain,
			CostMs:    option.Cost.Milliseconds(),
			ReadingMs: option.Reading.Milliseconds(),
			Slots:     max(u.service.Engine.Slots, option.Endpoint.Slots),
			Slowness:  option.Slowness,
		})
	}
	return readers
}

// reportReaderFailed reports a failed endpoint to the planner that chose it.
func (u *run) reportReaderFailed(ctx context.Context, endpoint string) {
	if u.reader != "" && ctx.Err() == nil {
		u.Stages.ReaderFailed(u.planner, endpoint)
	}
}

// freeInputs releases the stage results that the request reads.
func (u *run) freeInputs() {
	if len(u.inputs) > 0 {
		u.Stages.Free(u.inputs)
	}
	u.inputs = nil
}

// inputHandles returns the handles of the stage results.
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

// minRetryAfter is the shortest retry delay sent to refused clients.
const minRetryAfter = 200 * time.Millisecond

// retryAfter returns the retry delay for a refused request.
func (u *run) retryAfter() time.Duration {
	return max(minRetryAfter, u.route.Objective/4)
}

// formatSeconds formats a duration as fractional seconds.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
