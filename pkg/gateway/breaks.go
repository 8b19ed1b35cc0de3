package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

const (
	// probeTimeout bounds how long a client waits for what became of the endpoint that broke off. An
	// endpoint whose process has ended refuses within a round trip, 3 ms between failure domains.
	probeTimeout = 100 * time.Millisecond
	// survivedAfter is how long after its first event a stream has shown that it does not end its
	// endpoint. Those that did ended them 35 to 80 ms after they began to run.
	survivedAfter = 300 * time.Millisecond
)

// survival is what an attempt has shown of whether the request ends its endpoints.
type survival struct {
	// firstEvent is when the first event came; zero if none has.
	firstEvent time.Time
	// shown says that it does not.
	shown bool
}

// sum returns the request's digest. The host is the route's, which a client can't spell in two ways.
func (u *run) sum() quarantine.Digest {
	caller := ""
	if u.organisation != nil {
		caller = u.organisation.Name
	}
	return quarantine.Sum(caller, u.route.Host, u.request.URI, u.request.Body)
}

// brokenUnless is what follows a call whose connection broke, unless that was our doing since the
// client left or its time was over.
func brokenUnless(ctx context.Context) next {
	return choose(ctx.Err() == nil, broken, again)
}

// wentOn takes in that events came.
func (u *run) wentOn() {
	if u.survival.shown {
		return
	}
	now := u.Clock.Now()
	if u.survival.firstEvent.IsZero() {
		u.survival.firstEvent = now
	}
	if now.Sub(u.survival.firstEvent) >= survivedAfter {
		u.survived()
	}
}

// survived takes in that the request ran without ending its endpoint: if some ended under it before,
// that was not its doing.
func (u *run) survived() {
	u.survival.shown = true
	u.Quarantine.Clear(u.digest)
}

// examine finds out whether an endpoint has ended whose connection broke, and notes that it ended under
// the request. The broken connection is no sign of it: of 51 that broke while endpoints crashed, lost
// answers and reset connections, 17 were of endpoints that lived on.
func (u *run) examine(ctx context.Context, call *balance.Call) {
	if u.survival.shown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sign := u.Conns.Probe(ctx, u.target(call))
	if sign == httpconn.Ended && u.unplanned(call.Endpoint) {
		u.Quarantine.Note(u.digest, call.Endpoint.ID)
	}
	u.Log.WithFields(logrus.Fields{
		"event": "endpoint_broke_off", "id": u.request.ID, "digest": u.digest.String(), "endpoint": call.Endpoint.ID,
		"sign": string(sign), "ends": u.Quarantine.Ends(u.digest),
	}).Info()
}

// unplanned tells whether an endpoint was to go on: one that leaves ends in time, with what it still
// runs.
func (u *run) unplanned(e fleet.Endpoint) bool {
	known, ok := u.View().Fleet.Endpoint(e.ID)
	return ok && !known.Leaving
}
