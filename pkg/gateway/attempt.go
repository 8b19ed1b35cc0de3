package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// attemptResult classifies the outcome of one attempt.
type attemptResult int

const (
	// resultDone: the response was sent to the client.
	resultDone attemptResult = iota
	// resultNotRun: the endpoint did not run the request; another endpoint may.
	resultNotRun
	// resultUnreachable: no connection was made and nothing was sent.
	resultUnreachable
	// resultFailed: the endpoint may have run the request, or interrupted a stream.
	resultFailed
	// resultInputGone: the endpoint no longer has one of the request's inputs.
	resultInputGone
	// resultConnBroken: like resultFailed, but the connection broke before the response was
	// complete.
	resultConnBroken
	// resultBarred: nothing was sent because the endpoint must not be used any more.
	resultBarred
	// resultAllInUse: nothing was sent because all connections that this instance may open to the endpoint
	// are in use.
	resultAllInUse
	// resultLinkLost: like resultFailed, but because the link to the endpoint was silent.
	resultLinkLost
)

const (
	// maxUnreachable limits the unreachable endpoints per request.
	maxUnreachable = 5
	// crossDomainByteCost is the assumed cost of moving one byte of input to another failure
	// domain.
	crossDomainByteCost = 40 * time.Nanosecond
)

// attempt sends the request to endpoints until one of them answers. It returns nil once the client
// has been answered.
func (u *run) attempt(ctx context.Context) *Refusal {
	unreachable := 0
	for ctx.Err() == nil {
		if u.draining() {
			return u.finalRefusal(RefuseStopping())
		}
		u.Quarantine.LoadCrashes(ctx, u.subject)
		if u.quarantined() {
			// The request may have been quarantined while its stages were running.
			return u.finalRefusal(refuseQuarantined())
		}
		call := u.pick()
		if call == nil && (u.awaitConnection(ctx) || u.awaitBackoff(ctx)) {
			continue
		}
		if call == nil {
			return u.finalRefusal(u.refuseNoneAvailable())
		}
		if u.attempts > 0 && !u.takeRetry() {
			call.End(balance.Canceled, nil)
			return u.finalRefusal(refuseNoEndpoint(u.retryAfter()))
		}
		switch u.send(ctx, call) {
		case resultDone:
			return nil
		case resultUnreachable:
			u.reportReaderFailed(ctx, call.Endpoint.ID)
			u.tried[call.Endpoint.ID] = true
			if unreachable++; unreachable >= maxUnreachable {
				return u.finalRefusal(refuseNoEndpoint(u.retryAfter()))
			}
		case resultBarred:
			// This does not count as a failure of the endpoint.
			if unreachable++; unreachable >= maxUnreachable {
				return u.finalRefusal(u.refuseNoneAvailable())
			}
		case resultAllInUse:
			u.allInUse[call.Endpoint.ID] = true
		case resultNotRun:
			u.tried[call.Endpoint.ID] = true
			if u.rejectedForRoom() {
				return u.finalRefusal(refuseNoRoom(u.retryAfter()))
			}
		case resultConnBroken:
			u.probeEndpoint(ctx, call)
			fallthrough
		case resultFailed:
			u.reportReaderFailed(ctx, call.Endpoint.ID)
			fallthrough
		case resultLinkLost:
			if !u.crash.harmless {
				u.startProbe(call, func() {})
			}
			u.tried[call.Endpoint.ID] = true
			u.mayHaveRun = true
			if !u.route.Repeatable() || u.streamBegun && !u.canContinue() {
				return refuseLostResponse()
			}
			if refusal := u.restoreFreedInputs(ctx); refusal != nil {
				return u.finalRefusal(refusal)
			}
		case resultInputGone:
			if refusal := u.rerunStages(ctx); refusal != nil {
				return u.finalRefusal(refusal)
			}
		}
	}
	return u.finalRefusal(refuseBusy(u.retryAfter()))
}

// finalRefusal returns the refusal for a request that is not retried. A refusal that reports the
// request as not run is replaced if the request may have run.
func (u *run) finalRefusal(refusal *Refusal) *Refusal {
	if u.mayHaveRun {
		return refuseLostResponse()
	}
	return refusal
}

// takeRetry reports whether the request may be sent to another endpoint, and charges the retry
// budget.
func (u *run) takeRetry() bool {
	if u.attempts >= max(1, u.route.MaxAttempts) {
		return false
	}
	return u.Budget.TryRetry(u.service.Name, 1)
}

// restoreFreedInputs reruns the stages if their results were freed at the first event: the endpoint
// that resumes the stream needs them too.
func (u *run) restoreFreedInputs(ctx context.Context) *Refusal {
	if len(u.inputs) > 0 || !u.readInputs || u.attempts >= max(1, u.route.MaxAttempts) {
		return nil
	}
	return u.rerunStages(ctx)
}

// rerunStages runs the stages a second time with a fresh objective.
func (u *run) rerunStages(ctx context.Context) *Refusal {
	if u.rerun {
		return refusePieces(u.retryAfter())
	}
	u.rerun = true
	u.freeInputs()
	u.rerunAt = u.Clock.Now()
	return u.runStages(ctx)
}

func (u *run) pick() *balance.Call {
	need := u.constraints()
	need.Prefer = u.reader
	if suspect, found := u.Quarantine.Suspected(u.subject); found {
		need.IsolationKey = suspect.String()
	}
	if len(u.inputs) > 0 {
		need.Domain = pipeline.LargestDomain(u.inputs)
		need.DomainCost = time.Duration(u.inputBytes()) * crossDomainByteCost
	}
	if call := u.pickCanary(need); call != nil {
		return call
	}
	return u.Balancer.Pick(u.ready(u.service.Name), need)
}

// constraints returns the requirements on the endpoint.
func (u *run) constraints() balance.CallSpec {
	return balance.CallSpec{
		Domain:  u.Domain,
		Exclude: u.excluded(),
		Engine:  u.service.Engine != nil,
		Request: u.request.ID,
		Parts:   u.request.Parts,
		Cold:    balance.ColdLimit{PerSecond: u.service.ColdPerSecond, IsOwner: u.Sponsors},
		Fetch:   u.fetch(),
	}
}

// fetch returns how engines fetch shared prompt parts from each other. Only the first endpoint tried
// fetches any, so that a transfer that fails or hangs affects a request once at most.
func (u *run) fetch() balance.Fetch {
	engine := u.service.Engine
	if engine == nil || u.attempts > 0 || len(u.tried) > 0 {
		return balance.Fetch{}
	}
	return balance.Fetch{TokenBytes: engine.TokenBytes, LinkMbps: engine.LinkMbps}
}

// outbound returns the request metadata for the endpoint.
func (u *run) outbound(call *balance.Call) Outbound {
	o := Outbound{
		Endpoint:     call.Endpoint.Name(),
		Remaining:    u.deadline.Sub(u.Clock.Now()),
		Organisation: u.caller(),
		Urgency:      -1,
		Inputs:       u.inputHandles(),
	}
	if u.service.Engine != nil {
		o.Urgency = u.priority()
	}
	if call.Source != nil {
		o.FetchFrom = call.Source.Address
	}
	if u.events > 0 {
		o.LastEvent = u.lastEvent
	}
	return o
}

func (u *run) maxIdle() time.Duration {
	if u.route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleNonRepeatable
}

func (u *run) target(call *balance.Call) httpconn.Target {
	e := call.Endpoint
	return httpconn.Target{ID: e.ID, Address: e.Address, FailureDomain: e.FailureDomain}
}

// send makes one attempt at an endpoint.
func (u *run) send(ctx context.Context, call *balance.Call) attemptResult {
	o := u.outbound(call)
	if o.Remaining < minRemaining {
		call.End(balance.Canceled, nil)
		return resultNotRun
	}
	if outcome, confirmed := u.confirmEndpoint(ctx, call); !confirmed {
		return outcome
	}
	begin := u.Clock.Now()
	u.crash = crashCheck{}
	u.versionSample = u.beginSample(call, begin)
	answer, err := u.Conns.Do(ctx, httpconn.Call{
		Target:   u.target(call),
		Method:   u.request.Method,
		URI:      u.request.URI,
		Host:     u.request.Host,
		Header:   u.Dialect.Outbound(u.request, o),
		Body:     u.request.Body,
		ID:       u.request.ID,
		IDHeader: u.Dialect.IDHeader(),
		MaxIdle:  u.maxIdle(),
		// A repeatable call goes on elsewhere when its link falls silent.
		Repeatable: u.route.Repeatable(),
	})
	if err != nil {
		outcome := u.sendFailed(ctx, call, begin, err)
		u.endSample(ctx, outcome, 0)
		return outcome
	}
	u.recordSent(call)
	defer answer.Body.Close()
	verdict := u.Dialect.Verdict(answer.Status, answer.Header)
	outcome := u.handleResponse(ctx, call, answer, verdict)
	u.endSample(ctx, outcome, answer.Status)
	u.logAttempt(call, begin, answer.Status, outcome, nil)
	return outcome
}

// recordSent counts an attempt that may have reached the endpoint.
func (u *run) recordSent(call *balance.Call) {
	u.attempts++
	if call.Source != nil {
		u.promptFetches.Inc()
	}
}

func (u *run) sendFailed(ctx context.Context, call *balance.Call, begin time.Time, err error) attemptResult {
	outcome := connBrokenResult(ctx, err)
	result := balance.Failed
	switch {
	case httpconn.IsLinkLost(err):
		u.recordSent(call)
		result = balance.Canceled
	case httpconn.IsAllInUse(err):
		outcome, result = resultAllInUse, balance.Canceled
	case httpconn.IsBlocked(err):
		outcome, result = resultBarred, balance.Canceled
	case httpconn.NotSent(err):
		outcome, result = resultUnreachable, balance.Unreachable
	default:
		u.recordSent(call)
	}
	if ctx.Err() != nil && u.Clock.Since(begin) < u.route.Objective {
		result = balance.Canceled
	}
	call.End(result, nil)
	if errors.Is(err, syscall.ECONNREFUSED) {
		u.noteRefused(call.Endpoint)
	}
	u.logAttempt(call, begin, 0, outcome, err)
	return outcome
}

func (u *run) logAttempt(call *balance.Call, begin time.Time, status int, outcome attemptResult, err error) {
	fields := logrus.Fields{
		"event": "attempt", "id": u.request.ID, "endpoint": call.Endpoint.ID, "address": call.Endpoint.Address, "status": status,
		"ms": u.Clock.Since(begin).Milliseconds(), "next": int(outcome), "events": u.events, "domain": call.Endpoint.FailureDomain,
		"software": call.Endpoint.Version,
	}
	if call.Ejected {
		fields["left_out"] = true
	}
	if call.Source != nil {
		fields["fetched_from"] = call.Source.ID
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	u.Log.WithFields(fields).Info()
}

// handleResponse handles a response whose header has been received.
func (u *run) handleResponse(ctx context.Context, call *balance.Call, answer *httpconn.Response, verdict Verdict) attemptResult {
	switch {
	case verdict.WrongEndpoint:
		call.End(balance.Unreachable, nil)
		return resultNotRun
	case verdict.NotRun:
		call.End(balance.Refused, verdict.Load)
		if answer.Status == http.StatusConflict || answer.Status == http.StatusBadRequest && len(u.inputs) > 0 {
			return resultInputGone
		}
		return resultNotRun
	case !verdict.Sealed:
		call.End(balance.Failed, nil)
		return resultFailed
	case answer.Status >= http.StatusInternalServerError && u.mayRetryFailure():
		call.End(balance.Failed, verdict.Load)
		return resultFailed
	case answer.Status < http.StatusMultipleChoices && u.route.Kind == route.Stream:
		call.RecordLoad(verdict.Load)
		return u.relayStream(ctx, call, answer)
	}
	return u.relayBuffered(ctx, call, answer, verdict)
}

// mayRetryFailure reports whether a request that failed with a server error may be retried.
func (u *run) mayRetryFailure() bool {
	return u.route.Repeatable() && u.attempts < u.route.MaxAttempts
}

// relayBuffered reads the complete response and forwards it.
func (u *run) relayBuffered(ctx context.Context, call *balance.Call, answer *httpconn.Response, verdict Verdict) attemptResult {
	held := u.Held.NewYieldingReservation()
	// The body counts as held until the client has read it.
	defer held.Release()
	body, err := readBody(answer, held)
	if err != nil {
		return u.endBroken(ctx, call, err)
	}
	if answer.Status < http.StatusMultipleChoices {
		u.answerComplete(call, answer)
	} else {
		u.markHarmless()
	}
	call.ResponseStarted()
	call.End(either(answer.Status < http.StatusInternalServerError, balance.Succeeded, balance.Failed), verdict.Load)
	if u.streamBegun {
		// A stream that has started cannot be turned into an error response.
		return resultFailed
	}
	u.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError {
		u.reportReaderFailed(ctx, call.Endpoint.ID)
	}
	u.logEnd(answer.Status, "answered")
	u.responder.Respond(answer.Status, httpconn.EndToEnd(answer.Header), body)
	return resultDone
}
