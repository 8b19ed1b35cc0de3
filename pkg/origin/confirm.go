package origin

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// confirmDelay is how long streams that begin on new connections to an endpoint are collected before
	// it is asked which incarnation it is. The streams of an endpoint that crashes within this time
	// remain undecided.
	confirmDelay = 50 * time.Millisecond
	// confirmTimeout bounds the time to ask an endpoint after it has begun a stream.
	confirmTimeout = time.Second
)

// Endpoints gives access to the endpoints.
type Endpoints interface {
	// Incarnation asks an endpoint, at its address, for the ID of the incarnation that runs there. An
	// error of kind problem.Invalid means that the endpoint answers, but does not say.
	Incarnation(ctx context.Context, e fleet.Endpoint) (string, error)
	// Limited reports whether a question uses up what a request to the endpoint needs.
	Limited(e fleet.Endpoint) bool
}

// Confirmation is what an endpoint says when asked which incarnation it is.
type Confirmation string

// Confirmations.
const (
	// Listed: it is the incarnation that its entry names.
	Listed Confirmation = "listed"
	// Unlisted: it is another one, whose entry has not arrived.
	Unlisted Confirmation = "unlisted"
	// NotStated: it does not say, or its entry names no incarnation.
	NotStated Confirmation = "not_stated"
	// NoAnswer: it did not answer.
	NoAnswer Confirmation = "no_answer"
)

// Confirm asks an endpoint which incarnation it is. If it is the listed one, all streams that it has begun
// until now are its own: they can be continued by its version, even if it is restarted next. The error is
// set for NoAnswer.
func (r *Registry) Confirm(ctx context.Context, e fleet.Endpoint) (Confirmation, error) {
	if !e.HasIncarnation() {
		return NotStated, nil
	}
	askedAt := r.restarts.startAsking(e.ID)
	running, err := r.endpoints.Incarnation(ctx, e)
	if err == nil {
		r.restarts.answered(e, running, askedAt)
	}
	confirmation := confirmationOf(e, running, err)
	r.confirmations[confirmation].Inc()
	switch confirmation {
	case Unlisted:
		r.log.WithFields(logrus.Fields{"event": "incarnation_unlisted", "endpoint": e.ID, "running": running, "software": e.Version}).Info()
	case NoAnswer:
		return NoAnswer, err
	}
	return confirmation, nil
}

func confirmationOf(e fleet.Endpoint, running string, err error) Confirmation {
	switch {
	case problem.KindOf(err) == problem.Invalid:
		return NotStated
	case err != nil:
		return NoAnswer
	case running != e.ID:
		return Unlisted
	}
	return Listed
}

// confirmBegun asks an endpoint that has begun streams which incarnation it is.
func (r *Registry) confirmBegun(e fleet.Endpoint) {
	if r.endpoints.Limited(e) {
		r.restarts.startAsking(e.ID)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if _, err := r.Confirm(ctx, e); err != nil {
		r.log.WithFields(logrus.Fields{"event": "incarnation_unknown", "endpoint": e.ID}).Debug(err)
	}
}
