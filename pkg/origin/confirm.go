package origin

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

const (
	// confirmDelay is how long streams that begin on new connections to an endpoint are collected before
	// it is asked which incarnation it is. The streams of an endpoint that crashes within this time
	// remain undecided.
	confirmDelay = 50 * time.Millisecond
	// confirmTimeout bounds the time to ask an endpoint.
	confirmTimeout = time.Second
)

// Endpoints gives access to the endpoints.
type Endpoints interface {
	// Incarnation asks an endpoint, at its address, for the ID of the incarnation that runs there. It
	// returns an error if the endpoint does not say.
	Incarnation(ctx context.Context, e fleet.Endpoint) (string, error)
}

// confirm asks an endpoint which incarnation it is. If it is the listed one, all streams that it has begun
// until now are its own: they can be continued by its version, even if it is restarted next.
func (r *Registry) confirm(e fleet.Endpoint) {
	askedAt := r.restarts.startAsking(e.ID)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	running, err := r.endpoints.Incarnation(ctx, e)
	if err != nil {
		r.confirmations.unanswered.Inc()
		r.log.WithFields(logrus.Fields{"event": "incarnation_unknown", "endpoint": e.ID, "error": err.Error()}).Debug()
		return
	}
	r.restarts.answered(e, running, askedAt)
	if running == e.ID {
		r.confirmations.listed.Inc()
		return
	}
	r.confirmations.unlisted.Inc()
	r.log.WithFields(logrus.Fields{"event": "incarnation_unlisted", "endpoint": e.ID, "running": running, "software": e.Version}).Info()
}
