package gateway

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// When all endpoints of a service have asked for a backoff or have reached their rate limit,
// requests are refused before their stages run, with the delay until the first endpoint is
// available. A request waits only if the backoff ends before a client would retry anyway.

// backoffTooLong reports whether a backoff exceeds the time that the request may wait in total.
// With a shared rate limit other requests may take the endpoint first, so the wait can repeat.
func (u *run) backoffTooLong(rest time.Duration) bool {
	return u.backoffWaited+rest > u.retryAfter() || u.Clock.Now().Add(rest).After(u.objectiveEnd())
}

// awaitBackoff waits until the first endpoint not yet tried is available, and reports whether one
// may be chosen then.
func (u *run) awaitBackoff(ctx context.Context) bool {
	untried := fleet.Exclude(u.ready(u.service.Name), func(e fleet.Endpoint) bool { return u.tried[e.ID] })
	rest := u.Balancer.Backoff(untried)
	if rest == 0 && u.Balancer.RoomLimited(untried) {
		return u.awaitRoom(ctx)
	}
	if rest == 0 || u.backoffTooLong(rest) {
		return false
	}
	u.backoffWaited += rest
	return u.wait(ctx, rest)
}

// wait waits for a time and reports whether neither ctx nor the instance's service has ended before.
func (u *run) wait(ctx context.Context, d time.Duration) bool {
	ctx, cancel := until(ctx, u.drained)
	defer cancel()
	select {
	case <-u.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// refuseNoneAvailable refuses a request for which no endpoint can be chosen. If all endpoints are
// backing off, the client should retry after the first backoff ends.
func (u *run) refuseNoneAvailable() *Refusal {
	ready := u.ready(u.service.Name)
	rest := u.Balancer.RetryAfter(ready, u.retryAfter())
	switch {
	case len(u.allInUse) > 0:
		u.Exhausted()
		return refuseAllInUse(u.retryAfter())
	case rest == 0 && u.Balancer.RoomLimited(ready):
		return refuseNoRoom(u.retryAfter())
	case rest == 0:
		return refuseNoEndpoint(u.retryAfter())
	case u.Balancer.Limited(ready):
		return refuseLimited(max(u.retryAfter(), rest))
	}
	return refuseBackoff(max(u.retryAfter(), rest))
}
