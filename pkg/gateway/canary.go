package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// pickCanary picks an endpoint of a version on trial if the request belongs to the version's share
// of traffic, and nil otherwise. Only first attempts qualify, so that a failed request is not sent
// to that version again and each arrival counts. A request that resumes a stream is no sample of another
// version.
func (u *run) pickCanary(need balance.CallSpec) *balance.Call {
	trial := u.View().Fleet.Trial(u.service.Name)
	if u.attempts > 0 || u.origin != nil || !trial.Includes(u.request.ID) {
		return nil
	}
	return u.Balancer.Pick(u.filterAllowed(trial.Endpoints), need)
}

// versionSample collects the outcome of one attempt for the rollout of the endpoint's version.
type versionSample struct {
	call     *rollout.Call
	endpoint fleet.Endpoint
	begin    time.Time
	// firstEvent and lastEvent are the times of the first and the last event; events counts them.
	firstEvent, lastEvent time.Time
	events                int
}

func (u *run) beginSample(call *balance.Call, begin time.Time) versionSample {
	return versionSample{call: u.Rollouts.Begin(call.Endpoint, u.route.Repeatable()), endpoint: call.Endpoint, begin: begin}
}

// addEvents records the arrival of events.
func (o *versionSample) addEvents(now time.Time, events int) {
	if o.events == 0 {
		o.firstEvent = now
	}
	o.lastEvent = now
	o.events += events
}

// minPauseEvents is the number of events needed to compute a mean pause.
const minPauseEvents = 3

// meanPause returns the mean pause between events, or 0 if there were too few.
func (o *versionSample) meanPause() time.Duration {
	if o.events < minPauseEvents {
		return 0
	}
	return o.lastEvent.Sub(o.firstEvent) / time.Duration(o.events-1)
}

// endSample reports the outcome of an attempt.
func (u *run) endSample(ctx context.Context, outcome attemptResult, status int) {
	u.versionSample.call.End(u.buildSample(ctx, outcome, status))
}

// buildSample returns the sample of an attempt, or nil if the attempt says nothing about the
// version.
func (u *run) buildSample(ctx context.Context, outcome attemptResult, status int) *rollout.Sample {
	o := &u.versionSample
	s := &rollout.Sample{Route: u.route.Name, Duration: u.Clock.Since(o.begin), Pause: o.meanPause()}
	if o.events > 0 {
		s.Duration = o.firstEvent.Sub(o.begin)
	}
	switch {
	case outcome == resultNotRun || outcome == resultInputGone || outcome == resultBarred || outcome == resultAllInUse || outcome == resultLinkLost:
		return nil
	case outcome == resultUnreachable && u.isolated(o.endpoint):
		return nil
	case outcome == resultUnreachable:
		s.Failed, s.Duration = true, 0
	case ctx.Err() != nil && o.events == 0 && s.Duration < u.route.Objective:
		// The client disconnected, so the latency is unknown.
		return nil
	case ctx.Err() != nil:
	case outcome != resultDone || status >= http.StatusInternalServerError:
		s.Failed = true
	}
	return s
}
