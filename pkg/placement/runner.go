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
	// maxConcurrentReads bounds the endpoints that are read concurrently.
	maxConcurrentReads = 16
	readTimeout        = time.Second
)

// Engine reads and changes the models of endpoints.
type Engine interface {
	// Models returns the models that the endpoint holds.
	Models(ctx context.Context, address string) ([]Model, error)
	// Order loads or unloads a model. An endpoint that checks fencing tokens returns Conflict if it
	// has seen a higher one. Orders are idempotent.
	Order(ctx context.Context, address string, token int64, order Order) error
}

// Lease is the exclusive right to send orders.
type Lease interface {
	Held() (lease.Holding, bool)
	TTL() time.Duration
}

// Options configures a Runner.
type Options struct {
	Lease  Lease
	Engine Engine
	// Endpoints returns the live endpoints of the failure domain, without Models.
	Endpoints func() []EndpointState
	// Placements returns the configured placements.
	Placements func() []*config.Placement
	// Period is the interval between reads of all endpoints.
	Period time.Duration
	// OrderTimeout bounds one order; no order is in flight for longer.
	OrderTimeout time.Duration
	// LoadsPerMinute limits the load on the weight store.
	LoadsPerMinute float64
	Clock          clockwork.Clock
	Ring           *timeline.Ring
	Log            *logrus.Entry
}

// Runner reads the state of endpoints and sends orders while the lease is held.
type Runner struct {
	Options
	loads *rate.Limiter
	// token is the fencing token of the last holding.
	token int64
}

// NewRunner returns a runner; call Run to start it.
func NewRunner(o Options) *Runner {
	return &Runner{Options: o, loads: rate.NewLimiter(rate.Limit(o.LoadsPerMinute/60), 1)}
}

// Run runs until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if holding, held := r.Lease.Held(); held && len(r.Placements()) > 0 {
			r.recordHolding(holding)
			r.Step(ctx)
		}
		select {
		case <-r.Clock.After(r.Period):
		case <-ctx.Done():
		}
	}
}

// recordHolding records in the timeline that this instance has acquired the lease.
func (r *Runner) recordHolding(holding lease.Holding) {
	if holding.Token == r.token {
		return
	}
	r.token = holding.Token
	r.Ring.Add(timeline.Event{Kind: timeline.LeaseTaken, Detail: "placement lease, token " + strconv.FormatInt(holding.Token, 10)})
}

// Step reads all endpoints once and sends the resulting orders sequentially.
func (r *Runner) Step(ctx context.Context) {
	for _, order := range Plan(r.Placements(), r.read(ctx)) {
		if ctx.Err() != nil {
			return
		}
		if order.Load && !r.loads.AllowN(r.Clock.Now(), 1) {
			continue
		}
		if err := r.send(ctx, order); err != nil {
			r.record(order, err)
			if problem.KindOf(err) == problem.Denied {
				return
			}
			continue
		}
		r.record(order, nil)
	}
}

// read reads the models of all endpoints. Those that do not answer are left out, so they neither
// count as holding a model nor get orders.
func (r *Runner) read(ctx context.Context) []EndpointState {
	endpoints := r.Endpoints()
	answered := make([]bool, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
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
	var read []EndpointState
	for i, ok := range answered {
		if ok {
			read = append(read, endpoints[i])
		}
	}
	return read
}

// send sends one order if the lease is still held. Endpoints that do not check fencing tokens get
// no order until those of an earlier holder can no longer be in flight. The order must end before
// the lease expires.
func (r *Runner) send(ctx context.Context, order Order) error {
	holding, held := r.Lease.Held()
	if !held {
		return problem.New(problem.Denied, "the next lease holder continues", "the placement lease is no longer held")
	}
	now := r.Clock.Now()
	if waited := now.Sub(holding.Since); !order.ChecksTokens && waited < r.fencingDelay() {
		return problem.New(problem.Unavailable, "the order is retried later", "endpoint %s does not check fencing tokens, and an order of an earlier lease holder may be in flight for another %s", order.Endpoint, r.fencingDelay()-waited)
	}
	left := min(r.OrderTimeout, holding.Until.Sub(now))
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return r.Engine.Order(ctx, order.Address, holding.Token, order)
}

// fencingDelay is the time from acquiring the lease until no order of an earlier holder can be in
// flight.
func (r *Runner) fencingDelay() time.Duration { return r.Lease.TTL() + r.OrderTimeout }

func (r *Runner) record(order Order, err error) {
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
