package placement

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/lease"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// readsAtOnce bounds the endpoints that are read at a time.
	readsAtOnce = 16
	// readTimeout bounds one reading.
	readTimeout = time.Second
)

// Engine takes orders and tells what it holds.
type Engine interface {
	// Models returns what the endpoint holds.
	Models(ctx context.Context, address string) ([]Model, error)
	// Order has the endpoint hold a model, or not. An endpoint that checks tokens
	// refuses with Conflict if it has seen a higher one. Called again with the same
	// order it does no harm.
	Order(ctx context.Context, address string, token int64, order Order) error
}

// Lease is the right to give orders.
type Lease interface {
	Held() (lease.Holding, bool)
	TTL() time.Duration
}

// Options of a Runner.
type Options struct {
	Lease  Lease
	Engine Engine
	// Endpoints returns the live endpoints of the failure domain, without Models.
	Endpoints func() []Observed
	// Placements returns what is wanted.
	Placements func() []*config.Placement
	// Period is the time between readings of all endpoints.
	Period time.Duration
	// OrderTimeout bounds one order; no order is in flight for longer.
	OrderTimeout time.Duration
	// LoadsPerMinute bounds the loads, for the weight store's sake.
	LoadsPerMinute float64
	Clock          clockwork.Clock
	Ring           *timeline.Ring
	Log            *logrus.Entry
}

// Runner reads what the endpoints hold and gives orders while the lease is held.
type Runner struct {
	Options
	loads *rate.Limiter
	// token is of the holding seen last.
	token int64
}

// NewRunner returns a runner; Run must be called for it to work.
func NewRunner(o Options) *Runner {
	return &Runner{Options: o, loads: rate.NewLimiter(rate.Limit(o.LoadsPerMinute/60), 1)}
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if holding, held := r.Lease.Held(); held && len(r.Placements()) > 0 {
			r.noteHolding(holding)
			r.Step(ctx)
		}
		select {
		case <-r.Clock.After(r.Period):
		case <-ctx.Done():
		}
	}
}

// noteHolding records that this instance has become the holder.
func (r *Runner) noteHolding(holding lease.Holding) {
	if holding.Token == r.token {
		return
	}
	r.token = holding.Token
	r.Ring.Add(timeline.Event{Kind: timeline.LeaseTaken, Detail: "placement lease, token " + strconv.FormatInt(holding.Token, 10)})
}

// Step reads all endpoints once and gives the orders that follow, one at a time.
func (r *Runner) Step(ctx context.Context) {
	for _, order := range Plan(r.Placements(), r.read(ctx)) {
		if ctx.Err() != nil {
			return
		}
		if order.Load && !r.loads.AllowN(r.Clock.Now(), 1) {
			continue
		}
		if err := r.give(ctx, order); err != nil {
			r.note(order, err)
			if problem.KindOf(err) == problem.Denied {
				return
			}
			continue
		}
		r.note(order, nil)
	}
}

// read asks all endpoints what they hold; those that do not answer are left out, and
// so neither counted as holding anything nor given orders.
func (r *Runner) read(ctx context.Context) []Observed {
	endpoints := r.Endpoints()
	answered := make([]bool, len(endpoints))
	var group errgroup.Group
	group.SetLimit(readsAtOnce)
	for i := range endpoints {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			models, err := r.Engine.Models(ctx, endpoints[i].Address)
			endpoints[i].Models = models
			answered[i] = err == nil
			return nil
		})
	}
	_ = group.Wait()
	var read []Observed
	for i, ok := range answered {
		if ok {
			read = append(read, endpoints[i])
		}
	}
	return read
}

// give gives one order, if the lease is held at the last moment. An endpoint that does
// not check tokens gets one only once no order of an earlier holder can come: after
// the earlier lease and the longest order. The order must end before the lease does.
func (r *Runner) give(ctx context.Context, order Order) error {
	holding, held := r.Lease.Held()
	if !held {
		return problem.New(problem.Denied, "the next holder goes on", "the lease is no longer held")
	}
	now := r.Clock.Now()
	if waited := now.Sub(holding.Since); !order.ChecksTokens && waited < r.quarantine() {
		return problem.New(problem.Unavailable, "it is given later", "endpoint %s does not check tokens, and an earlier holder's order may still come for %s", order.Endpoint, r.quarantine()-waited)
	}
	left := min(r.OrderTimeout, holding.Until.Sub(now))
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return r.Engine.Order(ctx, order.Address, holding.Token, order)
}

// quarantine is how long a new holder gives no order to endpoints that do not check
// tokens.
func (r *Runner) quarantine() time.Duration { return r.Lease.TTL() + r.OrderTimeout }

func (r *Runner) note(order Order, err error) {
	verb := "unload "
	if order.Load {
		verb = "load "
	}
	detail := verb + order.Model.Name
	entry := r.Log.WithFields(logrus.Fields{"endpoint": order.Endpoint, "model": order.Model.Name, "adapter": order.Model.Adapter, "version": order.Model.Version, "load": order.Load})
	if err != nil {
		entry.WithField("event", timeline.OrderFailed).Debug(err)
		r.Ring.Add(timeline.Event{Kind: timeline.OrderFailed, Endpoint: order.Endpoint, Detail: detail + ": " + err.Error()})
		return
	}
	entry.WithField("event", timeline.OrderGiven).Info()
	r.Ring.Add(timeline.Event{Kind: timeline.OrderGiven, Endpoint: order.Endpoint, Detail: detail})
}
