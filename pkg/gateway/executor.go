package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/bootclock"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/retry"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// staleViewAfter is the age from which a view is too old to reject a request on its basis.
	staleViewAfter = 2500 * time.Millisecond
	// defaultTimeout applies when neither the route nor the client sets a timeout.
	defaultTimeout = time.Minute
	// maxIdleNonRepeatable limits the idle time of connections reused for requests that must not be
	// repeated: the longer a connection is idle, the likelier the peer is closing it.
	maxIdleNonRepeatable = 300 * time.Millisecond
	maxIdleRepeatable    = 3 * time.Second
	// minRemaining is the least time before the deadline at which an attempt is started.
	minRemaining = 5 * time.Millisecond
)

// Options configures an Executor.
type Options struct {
	View     func() *discovery.View
	Dialect  Dialect
	Conns    *httpconn.Pool
	Balancer *balance.Balancer
	Budget   *retry.Budget
	Stages   Stages
	Clock    clockwork.Clock
	Log      *logrus.Entry
	Metrics  *metrics.Set
	Domain   string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Sponsors reports whether this instance is the only one that may use an endpoint while all
	// endpoints of its service are cold. If nil, this instance sponsors none.
	Sponsors func(endpoint string) bool
	// Reachable reports whether this instance can connect to an endpoint, by itself or through others.
	// If nil, it can.
	Reachable func(fleet.Endpoint) bool
	// Isolated reports whether a failed connection to an endpoint may be due to this instance's links. If
	// nil, it is due to the endpoint.
	Isolated func(fleet.Endpoint) bool
	// Exhausted is called when a request is refused because this instance may open no more connections to
	// endpoints. Optional.
	Exhausted func()
	// Quarantine tracks requests that crash their endpoints.
	Quarantine *quarantine.Manager
	// Rollouts collects the outcomes of attempts per version.
	Rollouts *rollout.Participant
	// Origins knows which software version began each stream. If nil, streams that clients resume are
	// refused.
	Origins Origins
	// MaxPieces is the maximum number of pieces of all stages of a request together; 0 means unlimited.
	MaxPieces int
	// Held accounts for the memory of responses, from their first byte on. Optional.
	Held *memquota.Quota
	// StartWait lets requests wait for the first view. Optional.
	StartWait StartWait
}

// Executor runs requests. It is safe for concurrent use.
type Executor struct {
	Options
	// requestSeconds is the duration of requests, firstEventSeconds the time to the first event of
	// a stream.
	requestSeconds    *metrics.Histogram
	firstEventSeconds *metrics.Histogram
	// promptFetches is the number of calls that named an engine to fetch prompt parts from.
	promptFetches *metrics.Counter
	// unreadableResponses is the number of responses that were too long, or that the memory quota did not
	// admit.
	unreadableResponses *metrics.Counter
	// drained is done after Drain.
	drained context.Context
	drain   context.CancelFunc
	// stopped is done after Stop.
	stopped context.Context
	stop    context.CancelFunc
	// startWaiting is the number of requests that wait for the first view. startWaitStopped is closed
	// by StopStartWait.
	startWaiting     atomic.Int64
	startWaitStopped chan struct{}
	stopStartWait    sync.Once
	// roomWaiting is the number of requests that wait for room at an endpoint.
	roomWaiting atomic.Int64
}

// New returns an executor with the given options.
func New(o Options) *Executor {
	if o.Held == nil {
		o.Held = memquota.NewQuota(0)
	}
	if o.Exhausted == nil {
		o.Exhausted = func() {}
	}
	if o.Origins == nil {
		o.Origins = noOrigins{}
	}
	drained, drain := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(context.Background())
	return &Executor{
		drained:           drained,
		drain:             drain,
		stopped:           stopped,
		stop:              stop,
		Options:           o,
		requestSeconds:    o.Metrics.NewHistogram("cobaltcroft_request_seconds"),
		firstEventSeconds: o.Metrics.NewHistogram("cobaltcroft_first_event_seconds"),
		promptFetches:     o.Metrics.NewCounter("cobaltcroft_prompt_fetches_total"),

		unreadableResponses: o.Metrics.NewCounter("cobaltcroft_responses_unreadable_total"),

		startWaitStopped: make(chan struct{}),
	}
}

// Drain refuses, as not run, all requests that no endpoint is working on, now or later. It is
// called before the instance exits.
func (x *Executor) Drain() {
	x.StopStartWait()
	x.drain()
}

// Stop ends all requests, now or later: those that have no answer yet are refused, and streams are broken off.
// It is called when the instance can wait no longer.
func (x *Executor) Stop() {
	x.Drain()
	x.stop()
}

// until returns a context that ends with ctx or with other.
func until(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unregister := context.AfterFunc(other, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}

// draining reports whether Drain was called.
func (x *Executor) draining() bool { return x.drained.Err() != nil }

// run is the state of one request.
type run struct {
	*Executor
	request   *Request
	responder Responder
	view      *discovery.View
	// age is the age of the view when the request arrived or had waited for the first view.
	age          time.Duration
	route        *route.Route
	service      *route.Service
	organisation *route.Organisation
	// allowedDomains are the failure domains that may serve the request; nil means any.
	allowedDomains []string
	// subject is what crashes of endpoints under the request may be blamed on; zero until its caller is
	// known. Its request digest identifies all attempts of the same request.
	subject quarantine.Subject
	// blamed is what the request was refused for, if it is quarantined.
	blamed quarantine.Digest
	// deadline is when the client gives up or the route's timeout expires.
	deadline time.Time
	// inputs are the stage results that the request reads.
	inputs []batch.Result
	// reader is the endpoint chosen by the stage planner, if any; planner is that planner's peer
	// address.
	reader  string
	planner string
	// tried contains the endpoints that the request was sent to.
	tried map[string]bool
	// allInUse contains the endpoints to which all connections of this instance are in use.
	allInUse map[string]bool
	attempts int
	// lastEvent is the ID of the last event forwarded; events is the number of events forwarded.
	lastEvent   string
	events      int
	streamBegun bool
	// origin is what the stream was begun by, once it has begun or was found for a resumed one; finding
	// is how that was found.
	origin  *origin.Origin
	finding origin.Finding
	// versionSample is the outcome of the last attempt, reported to the rollout of the endpoint's
	// version.
	versionSample versionSample
	crash         crashCheck
	// firstEventAfter is the time from arrival to the first event; 0 if there was none.
	firstEventAfter time.Duration
	// backoffWaited is the total time the request has waited for endpoint backoffs.
	backoffWaited time.Duration
	// roomRejections is the number of endpoints that rejected the request for want of room.
	roomRejections int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// rerun is set once the stages were run a second time, started at rerunAt.
	rerun   bool
	rerunAt time.Time
	// readInputs is set if the request reads stage results.
	readInputs bool
	// waitedForView is set if the request waited for the first view; startWaited is for how long.
	waitedForView bool
	startWaited   time.Duration
}

// Run executes a request and answers the client. The context ends when the client disconnects.
func (x *Executor) Run(ctx context.Context, r *Request, responder Responder) {
	u := &run{Executor: x, request: r, responder: responder, tried: map[string]bool{}, allInUse: map[string]bool{}, lastEvent: r.LastEvent}
	u.useView(x.View())
	if !u.awaitView(ctx) {
		return
	}
	if refusal := u.resolve(); refusal != nil {
		u.refuse(refusal)
		return
	}
	if u.quarantined() {
		// A client repeats such a request under new IDs and at other instances; forwarded each time,
		// one of them crashed 15 endpoints in ten seconds. Its stages are not run either.
		u.refuse(refuseQuarantined())
		return
	}
	if refusal := u.checkPieces(); refusal != nil {
		u.refuse(refusal)
		return
	}
	ctx, cancel := bootclock.WithDeadline(ctx, u.Clock, u.deadline)
	defer cancel()
	ctx, release := until(ctx, x.stopped)
	defer release()
	if refusal := u.bindResumed(ctx); refusal != nil {
		u.refuse(refusal)
		return
	}
	if refusal := u.checkEndpoints(); refusal != nil {
		u.refuse(refusal)
		return
	}
	u.Budget.AddRequests(u.service.Name, 1)
	if refusal := u.runStages(ctx); refusal != nil {
		u.refuse(u.timedOut(ctx, refusal))
		return
	}
	defer u.freeInputs()
	if refusal := u.attempt(ctx); refusal != nil {
		u.refuse(u.timedOut(ctx, refusal))
	}
}

// resolve determines the route, service and organisation.
func (u *run) resolve() *Refusal {
	table := u.view.Table
	if !u.view.Complete() {
		return refuseNoConfiguration()
	}
	if u.view.Behind(u.Clock.Now()) {
		return refuseOutdated()
	}
	stale := u.age > staleViewAfter
	u.route = table.Route(u.request.Host, u.request.Path)
	if u.route == nil {
		return either(stale, refuseStale(), refuseNoRoute())
	}
	if table.NeedsKey(u.route) {
		u.organisation = table.Organisation(u.request.Key)
		if u.organisation == nil {
			return either(stale, refuseStale(), refuseNoKey())
		}
	}
	u.allowedDomains = u.findAllowedDomains()
	u.service = table.Service(u.route.Target(xxhash.Sum64String(u.request.ID)))
	u.subject = u.computeSubject()
	u.deadline = u.request.Arrived.Add(u.timeLimit())
	return nil
}

// checkEndpoints refuses a request immediately if the service or one of its stages has no usable
// endpoint, for example when all failure domains are evacuated, all endpoints are backing off or none
// can be reached.
func (u *run) checkEndpoints() *Refusal {
	ready := u.ready(u.service.Name)
	if len(ready) == 0 || !u.anyReachable(ready) {
		return refuseNoEndpoint(u.retryAfter())
	}
	if rest := u.Balancer.Backoff(ready); rest > 0 && u.backoffTooLong(rest) {
		return u.refuseNoneAvailable()
	}
	for i, stage := range u.route.Stages {
		if i < len(u.request.Pieces) && u.request.Pieces[i] > 0 && len(u.ready(stage.Service)) == 0 {
			return refuseNoEndpoint(u.retryAfter())
		}
	}
	return nil
}

// anyReachable reports whether this instance can connect to any of the endpoints.
func (u *run) anyReachable(endpoints []fleet.Endpoint) bool {
	return u.Reachable == nil || slices.ContainsFunc(endpoints, u.Reachable)
}

func either[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// caller returns the name of the organisation, or an empty string if the route needs none.
func (u *run) caller() string {
	if u.organisation == nil {
		return ""
	}
	return u.organisation.Name
}

// isolated reports whether a failed connection to an endpoint may be due to this instance's links.
func (u *run) isolated(e fleet.Endpoint) bool { return u.Isolated != nil && u.Isolated(e) }

// routeTimeout returns the timeout of the route, or the default one if it has none.
func (u *run) routeTimeout() time.Duration {
	if u.route.Timeout <= 0 {
		return defaultTimeout
	}
	return u.route.Timeout
}

// timeLimit returns how long the request may take.
func (u *run) timeLimit() time.Duration {
	limit := u.routeTimeout()
	if u.request.MaxWait > 0 {
		limit = min(limit, u.request.MaxWait)
	}
	return limit
}

// objectiveEnd returns when the latency objective ends. It restarts when the stages are rerun.
func (u *run) objectiveEnd() time.Time {
	if u.rerun {
		return u.rerunAt.Add(u.route.Objective)
	}
	return u.request.Arrived.Add(u.route.Objective)
}

// priority returns the priority of the request; 0 is the highest.
func (u *run) priority() int {
	if u.organisation != nil && u.organisation.Priority != nil {
		return *u.organisation.Priority
	}
	return u.route.Priority
}

// routePriorities is the number of distinct route priorities; larger values count as the lowest.
const routePriorities = 10

// stagePriority orders requests that compete for stages, 0 first: by the priority of the
// organisation, then by that of the route.
func (u *run) stagePriority() int {
	rank := min(max(0, u.route.Priority), routePriorities-1)
	if u.organisation != nil && u.organisation.Priority != nil {
		rank += routePriorities * max(0, *u.organisation.Priority)
	}
	return rank
}

// timedOut replaces the refusal of a request whose deadline has passed, if the request may have
// run.
func (u *run) timedOut(ctx context.Context, refusal *Refusal) *Refusal {
	if u.stopped.Err() != nil {
		return either(u.mayHaveRun, refuseStopped(), RefuseStopping())
	}
	if ctx.Err() == nil || refusal.Status != http.StatusServiceUnavailable && refusal.Status != http.StatusBadGateway {
		return refusal
	}
	if u.mayHaveRun || refusal.Status == http.StatusBadGateway {
		return refuseTimeout()
	}
	return refusal
}

// refuse answers with a refusal, or aborts a response that has started.
func (u *run) refuse(r *Refusal) {
	u.logEnd(r.Status, r.Reason)
	if u.streamBegun {
		u.responder.Abort()
		return
	}
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(r.RetryAfter))
	}
	u.responder.Respond(r.Status, h, []byte(r.Error()+"\n"))
}

func (u *run) logEnd(status int, reason string) {
	fields := logrus.Fields{
		"event": "request", "id": u.request.ID, "status": status, "outcome": reason,
		"ms": u.Clock.Since(u.request.Arrived).Milliseconds(), "attempts": u.attempts,
		"events": u.events, "first_ms": u.firstEventAfter.Milliseconds(), "may_have_run": u.mayHaveRun,
	}
	if u.subject.Request != (quarantine.Digest{}) {
		fields["digest"] = u.subject.Request.String()
	}
	if u.blamed != (quarantine.Digest{}) {
		fields["blamed"] = u.blamed.String()
	}
	if len(u.request.Parts) > 0 {
		fields["prompt"] = u.promptIDs()
	}
	if u.request.Resumes != "" {
		fields["resumes"] = u.request.Resumes
	}
	if u.request.LastEvent != "" {
		fields["last_event"] = u.request.LastEvent
	}
	if u.finding.Source != "" {
		fields["origin"], fields["software"] = string(u.finding.Source), u.finding.Origin.Version
	}
	if u.waitedForView {
		fields["start_wait_ms"] = u.startWaited.Milliseconds()
	}
	if u.route != nil {
		fields["route"] = u.route.Name
	}
	if u.view.Table != nil {
		fields["version"] = u.view.Table.Version
		fields["view_age_ms"] = u.age.Milliseconds()
		if newest := u.view.Newest(); newest != u.view.InForce() {
			fields["revision"], fields["newer_revision"] = u.view.Document.Revision, newest.Revision
		}
	}
	u.Log.WithFields(fields).Info()
	u.Metrics.GetOrCreateCounter(`cobaltcroft_requests_total{outcome="` + reason + `"}`).Inc()
	u.requestSeconds.UpdateDuration(u.request.Arrived)
}
