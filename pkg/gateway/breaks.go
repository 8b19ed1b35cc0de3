package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

// probeTimeout bounds how long a client waits for what became of the endpoint that broke off. An
// endpoint whose process has ended refuses within a round trip, 3 ms between failure domains.
const probeTimeout = 100 * time.Millisecond

// sum returns the request's digest.
func (u *run) sum() quarantine.Digest {
	caller := ""
	if u.organisation != nil {
		caller = u.organisation.Name
	}
	return quarantine.Sum(caller, u.request.Host, u.request.URI, u.request.Body)
}

// brokenUnless is what follows a call whose connection broke, unless that was our doing since the
// client left or its time was over.
func brokenUnless(ctx context.Context) next {
	return choose(ctx.Err() == nil, broken, again)
}

// examine tells whether an endpoint has ended whose connection broke.
func (u *run) examine(ctx context.Context, call *balance.Call) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sign := u.Conns.Probe(ctx, u.target(call))
	u.Log.WithFields(logrus.Fields{
		"event": "endpoint_broke_off", "id": u.request.ID, "digest": u.digest.String(), "endpoint": call.Endpoint.ID,
		"sign": string(sign), "events": u.events - u.eventsBefore,
	}).Info()
}
