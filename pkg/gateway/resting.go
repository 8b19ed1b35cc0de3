package gateway

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Where all endpoints of a service want rest, or take no more by the limits that they name for all instances, none gets a
// request: it would be turned away, and add to what they rest from. It is refused at once, before its stages are made, and its
// caller told when the first endpoint has had its rest. Only rests that are over before a caller would come back anyway are waited
// for: that spares the caller a try, and holds it no longer than the refusal would. A longer one would hold it, and turn it away
// after all.

// outlasts tells whether a rest is too long to wait for, after those that were waited for before: by a limit for all, each
// end of a rest may be another request's.
func (u *run) outlasts(rest time.Duration) bool {
	return u.rested+rest > u.comeBack() || u.Clock.Now().Add(rest).After(u.due())
}

// awaitRest waits until the first endpoint that the request has not been sent to has had its rest, and tells
// whether one may be chosen then.
func (u *run) awaitRest(ctx context.Context) bool {
	untried := fleet.Exclude(u.ready(u.service.Name), func(e fleet.Endpoint) bool { return u.tried[e.ID] })
	rest := u.Balancer.Rest(untried)
	if rest == 0 || u.outlasts(rest) {
		return false
	}
	u.rested += rest
	ctx, cancel := u.untilDrained(ctx)
	defer cancel()
	select {
	case <-u.Clock.After(rest):
		return true
	case <-ctx.Done():
		return false
	}
}

// refuseAway refuses a request for which no endpoint can be chosen. If all want rest its client may come back
// when one has had it, and not before.
func (u *run) refuseAway() *Refusal {
	ready := u.ready(u.service.Name)
	rest := u.Balancer.Return(ready, u.comeBack())
	switch {
	case rest == 0:
		return refuseNoEndpoint(u.comeBack())
	case u.Balancer.Limited(ready):
		return refuseLimited(max(u.comeBack(), rest))
	}
	return refuseResting(max(u.comeBack(), rest))
}
