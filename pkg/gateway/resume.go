package gateway

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/bootclock"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// From its first event on, a stream is bound to its origin: only endpoints of the same service and
// software version may continue it, in the same response or when its client resumes it at any instance.

// resumeFactor times the timeout of a route is how long its streams can be resumed: a stream may last
// for one timeout before it breaks, and its client may be refused for another.
const resumeFactor = 2

// confirmTimeout bounds the time to ask an endpoint which incarnation it is before it continues a stream.
// An endpoint that is silent for longer would hold up the stream, which another one may continue.
const confirmTimeout = 500 * time.Millisecond

// Origins knows which software version began each stream.
type Origins interface {
	// Begin records the origin of a stream, before its first event is sent.
	Begin(s origin.Stream)
	// Find returns what is known of a stream that a client resumes.
	Find(ctx context.Context, s origin.Search) origin.Finding
	// Refused records that an endpoint refused a connection.
	Refused(endpoint string)
	// MayHaveRestarted reports whether the version of an endpoint is not certain now.
	MayHaveRestarted(endpoint string) bool
	// Confirm asks an endpoint which incarnation it is. The error is set if it does not answer.
	Confirm(ctx context.Context, e fleet.Endpoint) (origin.Confirmation, error)
}

// noOrigins knows no streams.
type noOrigins struct{}

func (noOrigins) Begin(origin.Stream) {}

func (noOrigins) Find(context.Context, origin.Search) origin.Finding {
	return origin.Finding{Source: origin.Unknown}
}

func (noOrigins) Refused(string) {}

func (noOrigins) MayHaveRestarted(string) bool { return false }

func (noOrigins) Confirm(context.Context, fleet.Endpoint) (origin.Confirmation, error) {
	return origin.NotStated, nil
}

// resumes reports whether the client resumes a stream.
func (u *run) resumes() bool {
	return u.route.Kind == route.Stream && (u.request.LastEvent != "" || u.request.Resumes != "")
}

// bindResumed binds a request that resumes a stream to the stream's origin. It refuses the request if
// the origin is not known, or if no endpoint may continue the stream.
func (u *run) bindResumed(ctx context.Context) *Refusal {
	if !u.resumes() {
		return nil
	}
	u.finding = u.Origins.Find(ctx, origin.Search{
		Key:     u.streamKey(u.request.Resumes),
		Named:   u.request.Resumes != "",
		Service: u.onlyTarget(),
		Within:  u.resumeTime(),
		Domains: u.allowedDomains,
	})
	if !u.finding.Known() {
		return refuseUnknownStream(either(u.finding.Unanswered, u.retryAfter(), 0))
	}
	if !u.isTarget(u.finding.Origin.Service) {
		return refuseStreamGone()
	}
	u.service = u.view.Table.Service(u.finding.Origin.Service)
	u.subject = u.computeSubject()
	u.origin = &u.finding.Origin
	if len(u.ready(u.service.Name)) == 0 {
		return refuseStreamGone()
	}
	return nil
}

// streamKey returns the key of the stream whose first event was received by a request.
func (u *run) streamKey(request string) origin.Key {
	return origin.KeyOf(u.caller(), request)
}

// onlyTarget returns the service of the route, or an empty string if it has several.
func (u *run) onlyTarget() string {
	if len(u.route.Targets) != 1 {
		return ""
	}
	return u.route.Targets[0].Service
}

// isTarget reports whether the route may send requests to a service.
func (u *run) isTarget(service string) bool {
	return slices.ContainsFunc(u.route.Targets, func(t route.Target) bool { return t.Service == service })
}

// resumeTime returns how long the streams of the route can be resumed.
func (u *run) resumeTime() time.Duration { return resumeFactor * u.routeTimeout() }

// beginStream binds the stream to the endpoint that made its first event, or confirms the origin of a
// resumed one. The connection that carries it was opened at the given time.
func (u *run) beginStream(e fleet.Endpoint, connectedAt time.Time) {
	from := origin.Of(e)
	u.origin = &from
	if !u.route.Resume {
		return
	}
	begun := origin.Stream{
		Key: u.streamKey(u.request.ID), Endpoint: e, ConnectedAt: connectedAt, TTL: u.resumeTime(), Domains: u.allowedDomains,
		Local: u.allowedDomains == nil || slices.Contains(u.allowedDomains, u.Domain),
	}
	u.Origins.Begin(begun)
	if u.request.Resumes != "" {
		begun.Key = u.streamKey(u.request.Resumes)
		u.Origins.Begin(begun)
	}
}

// filterByOrigin returns the endpoints that may continue the stream. Endpoints of a version on trial
// may, if the request belongs to the version's share of traffic.
func (u *run) filterByOrigin(snapshot *fleet.Snapshot) []fleet.Endpoint {
	endpoints := snapshot.Ready(u.origin.Service)
	if trial := snapshot.Trial(u.origin.Service); u.attempts == 0 && trial.Includes(u.request.ID) {
		endpoints = slices.Concat(endpoints, trial.Endpoints)
	}
	return fleet.Exclude(endpoints, func(e fleet.Endpoint) bool {
		return !u.origin.Allows(e) || u.Origins.MayHaveRestarted(e.ID)
	})
}

// confirmEndpoint asks the endpoint that is to continue a stream which incarnation it is. Its entry tells
// of a restart only some time later, and until then its name stands for a version that may be gone. It
// reports whether the endpoint may continue the stream, and the result of the attempt if not.
func (u *run) confirmEndpoint(ctx context.Context, call *balance.Call) (attemptResult, bool) {
	if u.origin == nil {
		return resultDone, true
	}
	begin := u.Clock.Now()
	asking, cancel := bootclock.WithDeadline(ctx, u.Clock, begin.Add(confirmTimeout))
	defer cancel()
	confirmation, err := u.Origins.Confirm(asking, call.Endpoint)
	switch {
	case confirmation == origin.Listed || confirmation == origin.NotStated:
		return resultDone, true
	case httpconn.IsAllInUse(err):
		call.End(balance.Canceled, nil)
		u.logAttempt(call, begin, 0, resultAllInUse, err)
		return resultAllInUse, false
	case httpconn.IsBlocked(err):
		call.End(balance.Canceled, nil)
		u.logAttempt(call, begin, 0, resultBarred, err)
		return resultBarred, false
	case errors.Is(err, syscall.ECONNREFUSED):
		u.noteRefused(call.Endpoint)
	}
	// A sound endpoint may be silent for a second: only one without a connection counts as unreachable.
	call.End(either(httpconn.NotSent(err) && asking.Err() == nil, balance.Unreachable, balance.Canceled), nil)
	u.logAttempt(call, begin, 0, resultUnreachable, err)
	return resultUnreachable, false
}

// canContinue reports whether an endpoint that was not tried yet may continue the stream.
func (u *run) canContinue() bool {
	if u.lastEvent == "" {
		return false
	}
	return slices.ContainsFunc(u.ready(u.service.Name), func(e fleet.Endpoint) bool { return !u.tried[e.ID] })
}

// noteRefused records that an endpoint refused a connection, unless that may be due to this instance's
// links.
func (u *run) noteRefused(e fleet.Endpoint) {
	if !u.isolated(e) {
		u.Origins.Refused(e.ID)
	}
}
