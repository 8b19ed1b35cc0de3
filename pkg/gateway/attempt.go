package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// next is what follows an attempt.
type next int

const (
	// finished: the client has its answer.
	finished next = iota
	// elsewhere: the endpoint has not run the request; another may.
	elsewhere
	// unreached: nothing was sent.
	unreached
	// again: the endpoint may have run the request, or broke a stream off.
	again
	// redo: an input of the request is gone.
	redo
	// broken: as again, since the connection broke before the answer was whole.
	broken
	// barred: nothing was sent, since the endpoint may not be used any more.
	barred
)

const (
	// maxUnreached bounds the endpoints that are tried without reaching one.
	maxUnreached = 5
	// bytesCost is the time that moving a byte of input to another failure domain
	// is taken to cost.
	bytesCost = 40 * time.Nanosecond
)

// attempt sends the request to endpoints until one has answered it, and returns nil
// then.
func (u *run) attempt(ctx context.Context) *Refusal {
	unreachedCount := 0
	for ctx.Err() == nil {
		if u.draining() {
			return u.giveUp(refuseStopping())
		}
		u.Quarantine.Recall(ctx, u.digest)
		if u.Quarantine.Holds(u.digest) {
			// It was found meanwhile, here or elsewhere: stages take longer than the news.
			return u.giveUp(refuseQuarantined())
		}
		call := u.pick()
		if call == nil && u.awaitRest(ctx) {
			continue
		}
		if call == nil {
			return u.giveUp(u.refuseAway())
		}
		if u.attempts > 0 && !u.mayRepeat() {
			call.End(balance.Canceled, nil)
			return u.giveUp(refuseNoEndpoint(u.comeBack()))
		}
		switch u.send(ctx, call) {
		case finished:
			return nil
		case unreached:
			u.endpointFailed(ctx, call.Endpoint.ID)
			u.tried[call.Endpoint.ID] = true
			if unreachedCount++; unreachedCount >= maxUnreached {
				return u.giveUp(refuseNoEndpoint(u.comeBack()))
			}
		case barred:
			// It says nothing against the endpoint; only the choices are bounded.
			if unreachedCount++; unreachedCount >= maxUnreached {
				return u.giveUp(u.refuseAway())
			}
		case elsewhere:
			u.tried[call.Endpoint.ID] = true
		case broken:
			u.examine(ctx, call)
			fallthrough
		case again:
			u.endpointFailed(ctx, call.Endpoint.ID)
			u.tried[call.Endpoint.ID] = true
			u.mayHaveRun = true
			if !u.route.Repeatable() {
				return failLost()
			}
			if refusal := u.restoreInputs(ctx); refusal != nil {
				return u.giveUp(refusal)
			}
		case redo:
			if refusal := u.remakeInputs(ctx); refusal != nil {
				return u.giveUp(refusal)
			}
		}
	}
	return u.giveUp(refuseBusy(u.comeBack()))
}

// giveUp returns the refusal of a request that is not tried again: one that promises
// that it has not run only if that is certain.
func (u *run) giveUp(refusal *Refusal) *Refusal {
	if u.mayHaveRun {
		return failLost()
	}
	return refusal
}

// mayRepeat tells whether the request may go to one more endpoint, and counts it in.
func (u *run) mayRepeat() bool {
	if u.attempts >= max(1, u.route.MaxAttempts) {
		return false
	}
	return u.Budget.TryRetry(u.service.Name, 1)
}

// restoreInputs makes the stages once more if their results were given up when the first
// event came: the engine that takes the stream up reads them too.
func (u *run) restoreInputs(ctx context.Context) *Refusal {
	if len(u.inputs) > 0 || !u.readInputs || u.attempts >= max(1, u.route.MaxAttempts) {
		return nil
	}
	return u.remakeInputs(ctx)
}

// remakeInputs makes the stages once more, as for a request that came now.
func (u *run) remakeInputs(ctx context.Context) *Refusal {
	if u.redone {
		return refusePieces(u.comeBack())
	}
	u.redone = true
	u.freeInputs()
	u.restarted = u.Clock.Now()
	return u.makeStages(ctx)
}

// pick chooses the endpoint of the next attempt.
func (u *run) pick() *balance.Call {
	need := u.need()
	need.Prefer = u.reader
	if u.Quarantine.Suspects(u.digest) {
		need.IsolationKey = u.digest.String()
	}
	if len(u.inputs) > 0 {
		need.Domain = pipeline.LargestDomain(u.inputs)
		need.DomainCost = time.Duration(u.inputBytes()) * bytesCost
	}
	if call := u.pickOnTrial(need); call != nil {
		return call
	}
	return u.Balancer.Pick(u.ready(u.service.Name), need)
}

// need is what the request needs of its endpoint.
func (u *run) need() balance.CallSpec {
	return balance.CallSpec{
		Domain:  u.Domain,
		Exclude: u.tried,
		Engine:  u.service.Engine != nil,
		Parts:   u.request.Parts,
		Cold:    balance.ColdLimit{PerSecond: u.service.ColdPerSecond, IsOwner: u.Sponsors},
	}
}

// outbound is what the endpoint of an attempt is told.
func (u *run) outbound(call *balance.Call) Outbound {
	o := Outbound{
		Endpoint:  call.Endpoint.Name(),
		Remaining: u.deadline.Sub(u.Clock.Now()),
		Urgency:   -1,
		Inputs:    u.inputHandles(),
	}
	if u.organisation != nil {
		o.Organisation = u.organisation.Name
	}
	if u.service.Engine != nil {
		o.Urgency = u.priority()
	}
	if u.events > 0 {
		o.LastEvent = u.lastEvent
	}
	return o
}

// connections is this instance's part of the connections to one endpoint.
func (u *run) connections() int {
	if u.service.MaxConnections <= 0 {
		return 0
	}
	return max(2, u.service.MaxConnections*2/(u.Instances()+1))
}

func (u *run) maxRest() time.Duration {
	if u.route.Repeatable() {
		return restOthers
	}
	return restAtMostOnce
}

// target is where a call goes.
func (u *run) target(call *balance.Call) httpconn.Target {
	e := call.Endpoint
	return httpconn.Target{ID: e.ID, Address: e.Address, FailureDomain: e.FailureDomain, MaxConnections: u.connections()}
}

// send makes one attempt.
func (u *run) send(ctx context.Context, call *balance.Call) next {
	o := u.outbound(call)
	if o.Remaining < lateMargin {
		call.End(balance.Canceled, nil)
		return elsewhere
	}
	begin := u.Clock.Now()
	u.survival = survival{}
	u.observed = u.observe(call, begin)
	answer, err := u.Conns.Do(ctx, httpconn.Call{
		Target:   u.target(call),
		Method:   u.request.Method,
		URI:      u.request.URI,
		Host:     u.request.Host,
		Header:   u.Dialect.Outbound(u.request, o),
		Body:     u.request.Body,
		ID:       u.request.ID,
		IDHeader: u.Dialect.IDHeader(),
		MaxRest:  u.maxRest(),
	})
	if err != nil {
		outcome := u.sendFailed(ctx, call, begin, err)
		u.tellObserved(ctx, outcome, 0)
		return outcome
	}
	u.attempts++
	defer answer.Body.Close()
	verdict := u.Dialect.Verdict(answer.Status, answer.Header)
	outcome := u.take(ctx, call, answer, verdict)
	u.tellObserved(ctx, outcome, answer.Status)
	u.logAttempt(call, begin, answer.Status, outcome, nil)
	return outcome
}

func (u *run) sendFailed(ctx context.Context, call *balance.Call, begin time.Time, err error) next {
	outcome := brokenUnless(ctx)
	result := balance.Failed
	switch {
	case httpconn.Barred(err):
		outcome, result = barred, balance.Canceled
	case httpconn.NotSent(err):
		outcome, result = unreached, balance.Unreachable
	default:
		u.attempts++
	}
	if ctx.Err() != nil && u.Clock.Since(begin) < u.route.Objective {
		result = balance.Canceled
	}
	call.End(result, nil)
	u.logAttempt(call, begin, 0, outcome, err)
	return outcome
}

func (u *run) logAttempt(call *balance.Call, begin time.Time, status int, outcome next, err error) {
	fields := logrus.Fields{
		"event": "attempt", "id": u.request.ID, "endpoint": call.Endpoint.ID, "address": call.Endpoint.Address, "status": status,
		"ms": u.Clock.Since(begin).Milliseconds(), "next": int(outcome), "events": u.events, "domain": call.Endpoint.FailureDomain,
	}
	if call.Ejected {
		fields["left_out"] = true
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	u.Log.WithFields(fields).Info()
}

// take deals with an answer whose head has come.
func (u *run) take(ctx context.Context, call *balance.Call, answer *httpconn.Answer, verdict Verdict) next {
	switch {
	case verdict.Wrong:
		call.End(balance.Unreachable, nil)
		return elsewhere
	case verdict.NotRun:
		call.End(balance.Refused, verdict.Load)
		if answer.Status == http.StatusConflict || answer.Status == http.StatusBadRequest && len(u.inputs) > 0 {
			return redo
		}
		return elsewhere
	case !verdict.Sealed:
		call.End(balance.Failed, nil)
		return again
	case answer.Status >= http.StatusInternalServerError && u.worthRepeating():
		call.End(balance.Failed, verdict.Load)
		return again
	case answer.Status < http.StatusMultipleChoices && u.route.Kind == route.Stream:
		call.RecordLoad(verdict.Load)
		return u.relayStream(ctx, call, answer)
	}
	return u.relayWhole(ctx, call, answer, verdict)
}

// worthRepeating tells whether a request that an endpoint answered with a failure may go
// to another one.
func (u *run) worthRepeating() bool {
	return u.route.Repeatable() && u.attempts < u.route.MaxAttempts
}

// relayWhole reads an answer whole and sends it on.
func (u *run) relayWhole(ctx context.Context, call *balance.Call, answer *httpconn.Answer, verdict Verdict) next {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	// It is held until its client has read it, which may take seconds.
	u.Held.Reserve(int64(len(body)))
	defer u.Held.Release(int64(len(body)))
	if err != nil || len(body) > maxAnswer {
		call.End(choose(ctx.Err() == nil, balance.Failed, balance.Canceled), nil)
		return choose(err != nil, brokenUnless(ctx), again)
	}
	u.survived()
	call.ResponseStarted()
	call.End(choose(answer.Status < http.StatusInternalServerError, balance.Succeeded, balance.Failed), verdict.Load)
	if u.begun {
		// A stream that was begun can't become a failure now.
		return again
	}
	u.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError {
		u.endpointFailed(ctx, call.Endpoint.ID)
	}
	u.logEnd(answer.Status, "answered")
	u.responder.Whole(answer.Status, httpconn.EndToEnd(answer.Header), body)
	return finished
}
