package handover

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// maxHandovers bounds the owners that pieces are handed to before they are made
	// by this instance itself.
	maxHandovers  = 2
	notifyTimeout = 300 * time.Millisecond
)

// Router has pieces made by the owner of their queue. Safe for concurrent use.
type Router struct {
	owners    owners
	client    *peers.Client
	local     *batch.Batcher
	endpoints func(service string) int
	clock     clockwork.Clock
	log       *logrus.Entry
}

var _ gateway.Pieces = (*Router)(nil)

// NewRouter returns a router of the instance self. The function live returns the other
// live members; endpoints returns how many endpoints a service has.
func NewRouter(self membership.Self, live func() []membership.Member, client *peers.Client, local *batch.Batcher, endpoints func(string) int, clock clockwork.Clock, log *logrus.Entry) *Router {
	return &Router{
		owners:    owners{clock: clock, self: self, live: live, suspects: map[string]time.Time{}},
		client:    client,
		local:     local,
		endpoints: endpoints,
		clock:     clock,
		log:       log,
	}
}

// Make implements gateway.Pieces.
func (r *Router) Make(ctx context.Context, service string, pieces []batch.Piece) []batch.Result {
	queue := queueOf(service, pieces[0].Request, r.endpoints(service))
	for i, address := range r.owners.of(queue) {
		if address == r.owners.self.PeerAddress || i >= maxHandovers || ctx.Err() != nil {
			break
		}
		results, ok := r.handOver(ctx, address, queue, pieces)
		if ok {
			return results
		}
	}
	return r.local.Make(ctx, queue, pieces)
}

// handOver has pieces made by the owner at an address, and tells whether it answered.
func (r *Router) handOver(ctx context.Context, address string, queue batch.Queue, pieces []batch.Piece) ([]batch.Result, bool) {
	call := api.Make{Call: uuid.NewString(), Queue: queue, Pieces: r.toWire(pieces)}
	var made api.Made
	err := r.client.Call(ctx, address, api.MethodMake, call, &made)
	if ctx.Err() != nil {
		r.cancel(address, call.Call)
		return lateResults(len(pieces)), true
	}
	if err != nil || len(made.Results) != len(pieces) {
		r.owners.suspect(address)
		r.log.WithFields(logrus.Fields{"event": "owner_silent", "id": pieces[0].Request, "owner": address, "service": queue.Service}).Warn(err)
		return nil, false
	}
	for i := range made.Results {
		made.Results[i].Owner = address
	}
	return made.Results, true
}

func lateResults(n int) []batch.Result {
	results := make([]batch.Result, n)
	for i := range results {
		results[i].Reason = batch.Late
	}
	return results
}

func (r *Router) toWire(pieces []batch.Piece) []api.Piece {
	now := r.clock.Now()
	wire := make([]api.Piece, len(pieces))
	for i, p := range pieces {
		wire[i] = api.Piece{Piece: p, DueMs: p.Due.Sub(now).Milliseconds(), DeadlineMs: p.Deadline.Sub(now).Milliseconds()}
	}
	return wire
}

func (r *Router) cancel(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := r.client.Notify(ctx, address, api.MethodCancel, api.Cancel{Call: call}); err != nil {
		r.log.WithFields(logrus.Fields{"event": "cancel_not_sent", "owner": address}).Debug(err)
	}
}

// Free implements gateway.Pieces.
func (r *Router) Free(results []batch.Result) {
	byOwner := map[string][]batch.Result{}
	for _, result := range results {
		if result.Handle != "" {
			byOwner[result.Owner] = append(byOwner[result.Owner], result)
		}
	}
	for address, own := range byOwner {
		if address == "" {
			r.local.Free(own[0].Queue, own)
			continue
		}
		go r.freeAt(address, own)
	}
}

// freeAt has the owner free results, or does so itself if the owner is not reached.
func (r *Router) freeAt(address string, results []batch.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	err := r.client.Notify(ctx, address, api.MethodFree, api.Free{Queue: results[0].Queue, Results: results})
	if err != nil {
		r.local.Free(results[0].Queue, results)
	}
}
