package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// pickOnTrial chooses an endpoint of a version that is tried, if the request is of the share that it gets; nil if it is not,
// or there is none. Only first attempts are of the share: what a bad version failed is not tried on it again, and
// each arrival there counts.
func (u *run) pickOnTrial(need balance.Need) *balance.Call {
	trial := u.View().Fleet.Trial(u.service.Name)
	if u.attempts > 0 || !trial.Includes(u.request.ID) {
		return nil
	}
	return u.Balancer.Pick(u.inside(trial.Endpoints), need)
}

// observation is what one attempt tells of its endpoint's version.
type observation struct {
	call  *rollout.Call
	begin time.Time
	// first and last are when the first and the last events came, events is how many did.
	first, last time.Time
	events      int
}

func (u *run) observe(call *balance.Call, begin time.Time) observation {
	return observation{call: u.Rollouts.Begin(call.Endpoint, u.route.Repeatable()), begin: begin}
}

// came takes in that events came.
func (o *observation) came(now time.Time, events int) {
	if o.events == 0 {
		o.first = now
	}
	o.last = now
	o.events += events
}

// leastEvents is how many events it takes to know the pauses between them.
const leastEvents = 3

// pause is the mean pause between events; 0 if there were too few.
func (o *observation) pause() time.Duration {
	if o.events < leastEvents {
		return 0
	}
	return o.last.Sub(o.first) / time.Duration(o.events-1)
}

// tellObserved tells what became of an attempt.
func (u *run) tellObserved(ctx context.Context, outcome next, status int) {
	u.observed.call.End(u.sample(ctx, outcome, status))
}

// sample is what an attempt tells of its endpoint's version; nil if it tells nothing.
func (u *run) sample(ctx context.Context, outcome next, status int) *rollout.Sample {
	o := &u.observed
	s := &rollout.Sample{Route: u.route.Name, Took: u.Clock.Since(o.begin), Pause: o.pause()}
	if o.events > 0 {
		s.Took = o.first.Sub(o.begin)
	}
	switch {
	case outcome == elsewhere || outcome == redo || outcome == barred:
		return nil
	case outcome == unreached:
		s.Failed, s.Took = true, 0
	case ctx.Err() != nil && o.events == 0 && s.Took < u.route.Objective:
		// The client left: nothing is known of how long it would have taken.
		return nil
	case ctx.Err() != nil:
	case outcome != finished || status >= http.StatusInternalServerError:
		s.Failed = true
	}
	return s
}
