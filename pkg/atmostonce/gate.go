package atmostonce

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
)

// Forwarder sends a request to the instance that it is bound to. After an error the request may
// have run there.
type Forwarder interface {
	Forward(ctx context.Context, holder Holder, r request.Request) (request.Result, error)
}

// Gate runs each non-repeatable request at most once across all instances.
type Gate struct {
	Table   *Table
	Claims  *Claims
	Forward Forwarder
	Self    Holder
	Secret  string
	Clock   clockwork.Clock
	// Run executes a request on this instance. Its context outlives the caller's.
	Run func(ctx context.Context, r request.Request) request.Result
}

// Do runs the request here, forwards it to the instance it is bound to, or refuses it.
func (g *Gate) Do(ctx context.Context, r request.Request) request.Result {
	key := Key{Organisation: r.Organisation, ID: r.ID}
	if r.Ticket == "" {
		return g.runClaimed(ctx, key, r)
	}
	ticket, err := Verify(r.Ticket, g.Secret, key, g.Clock.Now())
	if err != nil && problem.KindOf(err) == problem.Deadline {
		return request.Uncertain(r.ID, err)
	}
	if err != nil {
		return request.Refuse(r.ID, err)
	}
	if !ticket.Holder.Same(g.Self) {
		return g.forward(ctx, ticket.Holder, r)
	}
	return g.runTicketed(ctx, key, r)
}

// HandleForwarded runs a request that another instance forwarded to its holder.
func (g *Gate) HandleForwarded(ctx context.Context, holder Holder, r request.Request) request.Result {
	if !holder.Same(g.Self) {
		return request.Uncertain(r.ID, holderEnded(r.ID, holder))
	}
	key := Key{Organisation: r.Organisation, ID: r.ID}
	ticket, err := Verify(r.Ticket, g.Secret, key, g.Clock.Now())
	if err == nil && ticket.Holder.Same(g.Self) {
		return g.runTicketed(ctx, key, r)
	}
	return g.runClaimed(ctx, key, r)
}

// runClaimed runs a request without a valid ticket of this instance if it can claim it.
func (g *Gate) runClaimed(ctx context.Context, key Key, r request.Request) request.Result {
	return g.Table.Do(ctx, key, fingerprint(r), func(retry bool) RunResult {
		holder, created, err := g.Claims.Claim(ctx, key)
		if err != nil {
			return RunResult{Result: claimFailed(r, err)}
		}
		return g.runOrForward(ctx, holder, created || retry, r)
	})
}

// runTicketed runs a request that its ticket binds to this instance. It needs no claim, because
// the ticket expires before the table drops the record of its use.
func (g *Gate) runTicketed(ctx context.Context, key Key, r request.Request) request.Result {
	return g.Table.Do(ctx, key, fingerprint(r), func(bool) RunResult {
		return g.runOrForward(ctx, g.Self, true, r)
	})
}

// IssueTicket returns a signed ticket that binds a request to this instance.
func (g *Gate) IssueTicket(key Key) string {
	ticket := Ticket{Organisation: key.Organisation, ID: key.ID, Holder: g.Self, UntilMs: g.Clock.Now().Add(TicketLife).UnixMilli()}
	return ticket.Sign(g.Secret)
}

// runOrForward runs a request bound to this instance, or forwards it to its holder. If an earlier
// claim exists without a record in the table, the request may have run already.
func (g *Gate) runOrForward(ctx context.Context, holder Holder, mayRun bool, r request.Request) RunResult {
	if !holder.Same(g.Self) {
		return RunResult{Result: g.forward(ctx, holder, r)}
	}
	if !mayRun {
		return RunResult{Result: request.Uncertain(r.ID, problem.New(problem.Unknown, "check the effect of the request before sending it with a new id", "request %s was sent to this instance before, and its result has expired", r.ID))}
	}
	// Keep running if the caller leaves, because a duplicate may wait for the result.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	return RunResult{Result: g.Run(detached, r), Final: true}
}

func (g *Gate) forward(ctx context.Context, holder Holder, r request.Request) request.Result {
	if holder.Instance == g.Self.Instance {
		return request.Uncertain(r.ID, holderEnded(r.ID, holder))
	}
	result, err := g.Forward.Forward(ctx, holder, r)
	if err != nil {
		return request.Uncertain(r.ID, problem.Wrap(err, problem.Unknown, "retry with the same request id; only instance "+holder.Instance+" may run it", "request %s is bound to instance %s, which returned no result", r.ID, holder.Instance))
	}
	return result
}

// claimFailed answers a request that could not be bound. An earlier copy may have run on another
// instance, so the outcome is unknown although this copy did not run. It returns no ticket,
// because only the caller knows whether there was an earlier copy.
func claimFailed(r request.Request, cause error) request.Result {
	const remedy = "retry when the key-value service is available; or, if this was the first copy, request a ticket (POST /v1/tickets) and send it with the request"
	return request.Uncertain(r.ID, problem.Wrap(cause, problem.Unavailable, remedy, "bind the request in the key-value service; nothing of this copy ran"))
}

func holderEnded(id string, holder Holder) error {
	return problem.New(problem.Unknown, "check the effect of the request before sending it with a new id", "request %s was bound to an earlier incarnation of instance %s", id, holder.Instance)
}

// fingerprint distinguishes copies of a request from other requests with the same key.
func fingerprint(r request.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Pipeline, r.Priority, string(r.Input)} {
		_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.WriteString(part)
	}
	return h.Sum64()
}
