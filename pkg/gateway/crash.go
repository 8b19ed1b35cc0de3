package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
)

const (
	// crashProbeTimeout limits the probe of an endpoint whose connection broke. It leaves time to ask
	// another instance if the link to the endpoint is silent.
	crashProbeTimeout = time.Second
	// maxProbeWait limits how long a client waits for the probe. An endpoint whose process has exited
	// refuses within one round trip, 3 ms between failure domains.
	maxProbeWait = 100 * time.Millisecond
	// harmlessAfter is how long a stream must run after its first event before its request is
	// considered harmless. Requests that crashed endpoints did so 35 to 80 ms after they began to run.
	harmlessAfter = 300 * time.Millisecond
	// maxSubjectParts limits the parts of a prompt that crashes may be blamed on. Each takes a digest per
	// request.
	maxSubjectParts = 32
	// maxLoggedParts limits the parts of a prompt in one log line. A client can send thousands.
	maxLoggedParts = 16
)

// crashCheck tracks whether an attempt has shown that the request does not crash endpoints.
type crashCheck struct {
	// firstEvent is the time of the first event, or zero.
	firstEvent time.Time
	harmless   bool
}

// computeSubject returns what crashes under the request may be blamed on. It uses the host of the route,
// because a client can spell the host in several ways. The last part of a prompt belongs to the request
// or its session alone.
func (u *run) computeSubject() quarantine.Subject {
	s := quarantine.Subject{Request: quarantine.Sum(u.caller(), u.route.Host, u.request.URI, u.request.Body)}
	shared := max(0, len(u.request.Parts)-1)
	for _, p := range u.request.Parts[:min(shared, maxSubjectParts)] {
		s.Parts = append(s.Parts, quarantine.SumPart(u.service.Name, p.ID))
	}
	return s
}

// quarantined reports whether the request is quarantined.
func (u *run) quarantined() bool {
	blamed, refused := u.Quarantine.Refused(u.subject)
	u.blamed = blamed
	return refused
}

// connBrokenResult returns the result for a connection that broke with an error. If the context has
// ended, the gateway itself closed the connection.
func connBrokenResult(ctx context.Context, err error) attemptResult {
	switch {
	case ctx.Err() != nil || unreadable(err):
		return resultFailed
	case httpconn.IsLinkLost(err):
		return resultLinkLost
	}
	return resultConnBroken
}

// brokenOutcome returns what a connection that broke with an error says of the endpoint's health. A response for
// which others leave no memory says nothing, unless it is long itself.
func brokenOutcome(ctx context.Context, err error) balance.Outcome {
	innocent := ctx.Err() != nil || httpconn.IsLinkLost(err) || errors.Is(err, memquota.ErrExhausted)
	return either(innocent, balance.Canceled, balance.Failed)
}

// eventsReceived marks the request as harmless once its stream has run long enough.
func (u *run) eventsReceived() {
	if u.crash.harmless {
		return
	}
	now := u.Clock.Now()
	if u.crash.firstEvent.IsZero() {
		u.crash.firstEvent = now
	}
	if now.Sub(u.crash.firstEvent) >= harmlessAfter {
		u.markHarmless()
	}
}

// markHarmless records that the request ran without crashing its endpoint, which clears earlier
// crashes.
func (u *run) markHarmless() {
	u.crash.harmless = true
	u.Quarantine.Clear(u.subject.Request)
}

// answerComplete records that the answer is complete, which clears the request and the parts of its
// prompt. The end of an answer without a length may be that of its endpoint.
func (u *run) answerComplete(call *balance.Call, answer *httpconn.Response) {
	if answer.Framed || u.crash.harmless {
		u.Quarantine.RanWell(u.subject)
		return
	}
	if _, suspect := u.Quarantine.Suspected(u.subject); suspect || len(u.subject.Parts) > 0 {
		u.startProbe(call, func() { u.Quarantine.RanWell(u.subject) })
	}
}

// probeEndpoint checks whether an endpoint whose connection broke has crashed, and waits for the result
// for a while. A broken connection alone does not prove a crash.
func (u *run) probeEndpoint(ctx context.Context, call *balance.Call) {
	if u.crash.harmless {
		return
	}
	select {
	case <-u.startProbe(call, func() {}):
	case <-u.Clock.After(maxProbeWait):
	case <-ctx.Done():
	}
}

// startProbe checks in the background whether an endpoint has crashed, and if so records the crash for the
// request, which may end before. onAlive is called if the endpoint has not.
func (u *run) startProbe(call *balance.Call, onAlive func()) <-chan struct{} {
	target := u.target(call)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		state := u.Conns.Probe(ctx, target)
		if state == httpconn.Alive {
			onAlive()
		}
		u.recordProbe(call.Endpoint, state)
	}()
	return done
}

// recordProbe records the result of the probe of an endpoint.
func (u *run) recordProbe(e fleet.Endpoint, state httpconn.ProbeResult) {
	if state == httpconn.NotListening && u.expectedUp(e) {
		u.Quarantine.RecordCrash(u.subject, e.ID)
	}
	if state == httpconn.NotListening {
		u.noteRefused(e)
	}
	u.Log.WithFields(logrus.Fields{
		"event": "endpoint_broke_off", "id": u.request.ID, "digest": u.subject.Request.String(), "endpoint": e.ID,
		"sign": string(state), "ends": u.Quarantine.CrashCount(u.subject.Request), "prompt": u.promptIDs(),
	}).Info()
}

// promptIDs returns the IDs of the prompt's parts, for log lines.
func (u *run) promptIDs() string {
	var ids []string
	for _, p := range u.request.Parts[:min(len(u.request.Parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// expectedUp reports whether the endpoint was expected to keep running. A draining endpoint exits
// on its own and interrupts what it still runs.
func (u *run) expectedUp(e fleet.Endpoint) bool {
	known, ok := u.View().Fleet.Endpoint(e.ID)
	return ok && !known.Leaving
}
