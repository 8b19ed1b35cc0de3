package once

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// Forwarder gives a request to the instance that may run it. An error means that
// no result came back; the request may have run there.
type Forwarder interface {
	Forward(ctx context.Context, holder Holder, r request.Request) (request.Result, error)
}

// Gate lets each not-repeatable request through at most once over all instances.
type Gate struct {
	Table   *Table
	Claims  *Claims
	Forward Forwarder
	Self    Holder
	Secret  string
	Clock   clockwork.Clock
	// Run runs a request here. It gets a context that outlives the caller's.
	Run func(ctx context.Context, r request.Request) request.Result
}

// Do runs r here, or has the instance run it that it is bound to, or refuses it.
func (g *Gate) Do(ctx context.Context, r request.Request) request.Result {
	key := Key{Organisation: r.Organisation, ID: r.ID}
	if r.Ticket == "" {
		return g.claimed(ctx, key, r)
	}
	ticket, err := Open(r.Ticket, g.Secret, key, g.Clock.Now())
	if err != nil && problem.KindOf(err) == problem.Deadline {
		return request.Uncertain(r.ID, err)
	}
	if err != nil {
		return request.Refuse(r.ID, err)
	}
	if !ticket.Holder.Same(g.Self) {
		return g.forward(ctx, ticket.Holder, r)
	}
	return g.ticketed(ctx, key, r)
}

// Bound runs a request that another instance has found bound to this one.
func (g *Gate) Bound(ctx context.Context, holder Holder, r request.Request) request.Result {
	if !holder.Same(g.Self) {
		return request.Uncertain(r.ID, endedHolder(r.ID, holder))
	}
	key := Key{Organisation: r.Organisation, ID: r.ID}
	ticket, err := Open(r.Ticket, g.Secret, key, g.Clock.Now())
	if err == nil && ticket.Holder.Same(g.Self) {
		return g.ticketed(ctx, key, r)
	}
	return g.claimed(ctx, key, r)
}

// claimed runs a request that came without a ticket of ours, if the claim is ours.
func (g *Gate) claimed(ctx context.Context, key Key, r request.Request) request.Result {
	return g.Table.Do(ctx, key, fingerprint(r), func(again bool) Ran {
		holder, fresh, err := g.Claims.Claim(ctx, key)
		if err != nil {
			return Ran{Result: unclaimed(r, err)}
		}
		return g.runOrForward(ctx, holder, fresh || again, r)
	})
}

// ticketed runs a request bound to us by its ticket. No service is needed: the
// ticket ends before the table forgets that it was used.
func (g *Gate) ticketed(ctx context.Context, key Key, r request.Request) request.Result {
	return g.Table.Do(ctx, key, fingerprint(r), func(bool) Ran {
		return g.runOrForward(ctx, g.Self, true, r)
	})
}

// Issue returns a ticket that binds a request to this instance.
func (g *Gate) Issue(key Key) string {
	ticket := Ticket{Organisation: key.Organisation, ID: key.ID, Holder: g.Self, UntilMs: g.Clock.Now().Add(TicketLife).UnixMilli()}
	return ticket.Seal(g.Secret)
}

// runOrForward runs a request that is bound to us. If it was bound to us before
// and the table has forgotten what came of it, it may have run.
func (g *Gate) runOrForward(ctx context.Context, holder Holder, may bool, r request.Request) Ran {
	if !holder.Same(g.Self) {
		return Ran{Result: g.forward(ctx, holder, r)}
	}
	if !may {
		return Ran{Result: request.Uncertain(r.ID, problem.New(problem.Unknown, "find out from its effect whether the request ran before asking anew with a new id", "request %s came here before, and its result is no longer kept", r.ID))}
	}
	// The caller may go, and a copy may wait for the result: the run goes on.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	return Ran{Result: g.Run(detached, r), Final: true}
}

func (g *Gate) forward(ctx context.Context, holder Holder, r request.Request) request.Result {
	if holder.Instance == g.Self.Instance {
		return request.Uncertain(r.ID, endedHolder(r.ID, holder))
	}
	result, err := g.Forward.Forward(ctx, holder, r)
	if err != nil {
		return request.Uncertain(r.ID, problem.Wrap(err, problem.Unknown, "ask again with the same request id; only instance "+holder.Instance+" may run it", "request %s is bound to instance %s, which gave no result", r.ID, holder.Instance))
	}
	return result
}

// unclaimed answers a request that can't be bound. An earlier copy may have run
// elsewhere, so that the outcome is unknown, though this copy runs nothing; and no
// ticket is offered, since only the caller can know that there was no earlier copy.
func unclaimed(r request.Request, cause error) request.Result {
	const remedy = "ask again when the key-value service answers; or, if this was the first copy, take a ticket (POST /v1/tickets) and send it along"
	return request.Uncertain(r.ID, problem.Wrap(cause, problem.Unavailable, remedy, "the request can't be bound in the key-value service; nothing of this copy ran"))
}

func endedHolder(id string, holder Holder) error {
	return problem.New(problem.Unknown, "find out from its effect whether the request ran before asking anew with a new id", "request %s was bound to an earlier run of instance %s, which has ended", id, holder.Instance)
}

// fingerprint tells copies of one request from another request.
func fingerprint(r request.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Pipeline, r.Priority, string(r.Input)} {
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.WriteString(part)
	}
	return h.Sum64()
}
