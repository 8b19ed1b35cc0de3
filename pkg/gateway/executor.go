package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/held"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/retry"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

const (
	// cautiousAfter is the age of the view from which it is not taken as a reason to
	// deny a request.
	cautiousAfter = 2500 * time.Millisecond
	// defaultTimeout bounds requests whose route and client tell no time.
	defaultTimeout = time.Minute
	// restAtMostOnce bounds the rest of connections for requests that must not be
	// sent again: the longer one rests, the likelier it is being closed.
	restAtMostOnce = 300 * time.Millisecond
	restOthers     = 3 * time.Second
	// maxAnswer bounds the answers that are read whole before they are sent on.
	maxAnswer = 16 << 20
	// lateMargin is how long before the deadline no new attempt is begun.
	lateMargin = 5 * time.Millisecond
)

// Options of an executor.
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
	// Domain is this instance's failure domain.
	Domain string
	// Regions has the region of each failure domain.
	Regions map[string]string
	// Instances returns how many instances there are, this one included.
	Instances func() int
	// Sponsors tells whether this instance alone sends to an endpoint while all of its service are
	// cold; nil: none.
	Sponsors func(endpoint string) bool
	// Quarantine has the requests that end their endpoints.
	Quarantine *quarantine.Keeper
	// Rollouts are told what endpoints of which version answer.
	Rollouts *rollout.Participant
	// Held counts the answers that are held for clients; nil: nobody wants to know.
	Held *held.Account
}

// Executor runs requests. Safe for concurrent use.
type Executor struct {
	Options
	// requestSeconds is the time to the end of a request, firstEventSeconds that to the
	// first event of a stream.
	requestSeconds    *metrics.Histogram
	firstEventSeconds *metrics.Histogram
	// drained is closed when requests that no endpoint works on are to be refused.
	drained chan struct{}
	drain   sync.Once
}

// New returns an executor.
func New(o Options) *Executor {
	if o.Held == nil {
		o.Held = held.NewAccount(0)
	}
	return &Executor{
		Options:           o,
		requestSeconds:    o.Metrics.NewHistogram("cobaltcroft_request_seconds"),
		firstEventSeconds: o.Metrics.NewHistogram("cobaltcroft_first_event_seconds"),
		drained:           make(chan struct{}),
	}
}

// Drain has all requests refused, as not run, that no endpoint works on, and all that come
// to that later: this instance will not be there for them.
func (x *Executor) Drain() { x.drain.Do(func() { close(x.drained) }) }

// draining tells whether Drain was called.
func (x *Executor) draining() bool {
	select {
	case <-x.drained:
		return true
	default:
		return false
	}
}

// untilDrained returns a context that ends with ctx, or when Drain is called.
func (x *Executor) untilDrained(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-x.drained:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// run is one request under way.
type run struct {
	*Executor
	request   *Request
	responder Responder
	view      *discovery.View
	// age is the view's when the request came.
	age          time.Duration
	route        *route.Route
	service      *route.Service
	organisation *route.Organisation
	// within are the failure domains where the request may be served; nil: any.
	within []string
	// digest is the same for all tries of the request; zero until its caller is known.
	digest quarantine.Digest
	// deadline is when the client leaves or the route's time is over.
	deadline time.Time
	// inputs are the results of stages that the request reads.
	inputs []batch.Result
	// reader is the endpoint that the planner of the stages chose; empty: none. planner is
	// that planner's peer address.
	reader  string
	planner string
	// tried has the endpoints that the request was sent to.
	tried    map[string]bool
	attempts int
	// lastEvent is the id of the last event sent on; events is how many were.
	lastEvent string
	events    int
	begun     bool
	// observed is what the last attempt tells of its endpoint's version.
	observed observation
	// survival is what the last attempt has shown of its endpoint.
	survival survival
	// firstAfter is how long after the request the first event came; 0 if none has.
	firstAfter time.Duration
	// rested is how long the request has waited for endpoints' rests to end.
	rested time.Duration
	// mayHaveRun says that some endpoint may have run the request.
	mayHaveRun bool
	// redone says that the stages were made a second time, restarted since when.
	redone    bool
	restarted time.Time
	// readInputs says that the request reads results of stages.
	readInputs bool
}

// Run answers a request. The context ends when the client leaves.
func (x *Executor) Run(ctx context.Context, r *Request, responder Responder) {
	view := x.View()
	u := &run{Executor: x, request: r, responder: responder, view: view, age: view.Age(x.Clock.Now()), tried: map[string]bool{}, lastEvent: r.LastEvent}
	if refusal := u.admit(); refusal != nil {
		u.refuse(refusal)
		return
	}
	if u.Quarantine.Holds(u.digest) {
		// It comes again under another id, at any instance: sent on each time, one such request ended 15
		// endpoints in ten seconds. Its stages are not made, which would be work for nothing.
		u.refuse(refuseQuarantined())
		return
	}
	ctx, cancel := u.until(ctx, u.deadline)
	defer cancel()
	if refusal := u.servable(); refusal != nil {
		u.refuse(refusal)
		return
	}
	u.Budget.Count(u.service.Name, 1)
	if refusal := u.makeStages(ctx); refusal != nil {
		u.refuse(u.ended(ctx, refusal))
		return
	}
	defer u.freeInputs()
	if refusal := u.attempt(ctx); refusal != nil {
		u.refuse(u.ended(ctx, refusal))
	}
}

// until returns a context that ends at a time of the clock: Go's own deadlines stand still while the
// machine is suspended, so that an answer would be late by the span.
func (u *run) until(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := u.Clock.AfterFunc(at.Sub(u.Clock.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// admit finds route, service and organisation.
func (u *run) admit() *Refusal {
	table := u.view.Table
	if !u.view.Complete() {
		return refuseUnready()
	}
	if u.view.Behind(u.Clock.Now()) {
		return refuseBehind()
	}
	unsure := u.age > cautiousAfter
	u.route = table.Route(u.request.Host, u.request.Path)
	if u.route == nil {
		return choose(unsure, refuseUnsure(), refuseNoRoute())
	}
	if table.NeedsKey(u.route) {
		u.organisation = table.Organisation(u.request.Key)
		if u.organisation == nil {
			return choose(unsure, refuseUnsure(), refuseNoKey())
		}
	}
	u.digest = u.sum()
	u.within = u.allowedDomains()
	u.service = table.Service(u.route.Target(xxhash.Sum64String(u.request.ID)))
	u.deadline = u.request.Arrived.Add(u.limit())
	return nil
}

// servable refuses a request at once for which no endpoint is left, or none of a stage, such as when all
// failure domains are evacuated or all endpoints want rest: it would wait for its deadline, or its stages be
// made for nothing.
func (u *run) servable() *Refusal {
	ready := u.ready(u.service.Name)
	if len(ready) == 0 {
		return refuseNoEndpoint(u.comeBack())
	}
	if rest := u.Balancer.Rest(ready); rest > 0 && u.outlasts(rest) {
		return u.refuseAway()
	}
	for i, stage := range u.route.Stages {
		if i < len(u.request.Pieces) && u.request.Pieces[i] > 0 && len(u.ready(stage.Service)) == 0 {
			return refuseNoEndpoint(u.comeBack())
		}
	}
	return nil
}

func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// limit is how long the request may be held.
func (u *run) limit() time.Duration {
	limit := u.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if u.request.Wait > 0 {
		limit = min(limit, u.request.Wait)
	}
	return limit
}

// due is when the request's objective ends, or that of its second start.
func (u *run) due() time.Time {
	if u.redone {
		return u.restarted.Add(u.route.Objective)
	}
	return u.request.Arrived.Add(u.route.Objective)
}

// priority is the rank of the request; 0 is the highest.
func (u *run) priority() int {
	if u.organisation != nil && u.organisation.Priority != nil {
		return *u.organisation.Priority
	}
	return u.route.Priority
}

// routeLevels is how many priorities routes may have; greater ones count as the last.
const routeLevels = 10

// rank orders requests for scarce stages, 0 first: by their organisation's priority, and those of
// one organisation's, or of organisations of the same, by their route's.
func (u *run) rank() int {
	rank := min(max(0, u.route.Priority), routeLevels-1)
	if u.organisation != nil && u.organisation.Priority != nil {
		rank += routeLevels * max(0, *u.organisation.Priority)
	}
	return rank
}

// ended returns the refusal of a request whose time may be over.
func (u *run) ended(ctx context.Context, refusal *Refusal) *Refusal {
	if ctx.Err() == nil || refusal.Status != http.StatusServiceUnavailable && refusal.Status != http.StatusBadGateway {
		return refusal
	}
	if u.mayHaveRun || refusal.Status == http.StatusBadGateway {
		return failTimeout()
	}
	return refusal
}

// refuse answers with a refusal, or breaks an answer off that has begun.
func (u *run) refuse(r *Refusal) {
	u.logEnd(r.Status, r.Reason)
	if u.begun {
		u.responder.Break()
		return
	}
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(r.RetryAfter))
	}
	u.responder.Whole(r.Status, h, []byte(r.Error()+"\n"))
}

func (u *run) logEnd(status int, reason string) {
	fields := logrus.Fields{
		"event": "request", "id": u.request.ID, "status": status, "outcome": reason,
		"ms": u.Clock.Since(u.request.Arrived).Milliseconds(), "attempts": u.attempts,
		"events": u.events, "first_ms": u.firstAfter.Milliseconds(), "may_have_run": u.mayHaveRun,
	}
	if u.digest != (quarantine.Digest{}) {
		fields["digest"] = u.digest.String()
	}
	if u.route != nil {
		fields["route"] = u.route.Name
	}
	if u.view.Table != nil {
		fields["version"] = u.view.Table.Version
		fields["view_age_ms"] = u.age.Milliseconds()
		if newest := u.view.NewestRevision(); newest > u.view.Document.Revision {
			fields["revision"], fields["newer_revision"] = u.view.Document.Revision, newest
		}
	}
	u.Log.WithFields(fields).Info()
	u.Metrics.GetOrCreateCounter(`cobaltcroft_requests_total{outcome="` + reason + `"}`).Inc()
	u.requestSeconds.UpdateDuration(u.request.Arrived)
}
