// Package gateway assembles a gateway instance for HTTP endpoints on the company platform.
package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/bootclock"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	pkggateway "github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/group"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/overload"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
	"github.com/cobaltcroft/cobaltcroft/pkg/retry"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/room"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/platform"
	"github.com/cobaltcroft/cobaltcroft/service/handover"
	"github.com/cobaltcroft/cobaltcroft/service/ingress"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
	"github.com/cobaltcroft/cobaltcroft/service/tunnel"
)

const (
	heartbeat    = time.Second
	suspectAfter = 3 * time.Second
	// batchTick is the polling period for queued pieces.
	batchTick = 20 * time.Millisecond
	// sweepPeriod is the period for dropping idle connections and outdated state.
	sweepPeriod = time.Second
	// settingsPeriod is the polling period for the settings file.
	settingsPeriod = 2 * time.Second
	// heapLimitRatio is the fraction of the memory limit given to the Go runtime.
	heapLimitRatio = 0.7
	// heldLimitRatio is the fraction of the memory limit for request and response bodies. Each is
	// copied once while it is read and once while it is sent; the rest is for other state.
	heldLimitRatio = 0.25
	megabyte       = 1e6
)

// Gateway is one instance.
type Gateway struct {
	path     string
	settings settings.Gateway
	// regions maps failure domains to regions.
	regions ownership.Regions
	// supplyCache is the last computed supply.
	supplyCache atomic.Pointer[cachedSupply]
	clock       clockwork.Clock
	started     time.Time
	logs        *logging.Logs
	output      *logging.Async
	log         *logrus.Entry
	metrics     *metrics.Set
	tomb        tomb.Tomb

	store    *platform.Store
	client   *peers.Client
	usage    *peers.Usage
	group    *group.Group
	gossip   *peers.Gossip
	follower *discovery.Follower
	// backoffs are the backoffs that endpoints asked of this machine.
	backoffs *notice.Backoffs
	// rateLimits are the endpoints' rate limits for all instances together.
	rateLimits *throttle.Table
	// permits enforces the rate limits across instances.
	permits *throttle.Limiter
	// room limits the calls in flight at brittle endpoints.
	room *room.Table
	// unreadNotices counts backoffs and limits that could not be parsed.
	unreadNotices *metrics.Counter
	// unknownTerms are the unknown terms of endpoints and of the store already logged.
	unknownTerms sync.Map
	conns        *httpconn.Pool
	// connecting is the number of instances that share the connections to endpoints; 0 before the first count.
	connecting atomic.Int64
	// reach tracks which endpoints this instance can connect to. dialer connects to them, prober finds
	// out when they are reached again, tunnels carries connections of other instances.
	reach    *reach.Tracker
	dialer   *reach.Dialer
	prober   *reach.Prober
	tunnels  *tunnel.Server
	balancer *balance.Balancer
	// budget limits retries of requests, pieceBudget retries of pieces.
	budget      *retry.Budget
	pieceBudget *retry.Budget
	// quarantine tracks requests that crash their endpoints.
	quarantine *quarantine.Manager
	// rollouts moves traffic between versions.
	rollouts *rollout.Manager
	// origins knows which software version began each stream.
	origins *origin.Registry
	// held accounts for the memory of request and response bodies.
	held *memquota.Quota
	// overload judges whether this instance has more work than processor time, and limits new connections.
	overload *overload.Monitor

	batcher  *batch.Batcher
	executor *pkggateway.Executor
	ingress  *ingress.Server
	router   *handover.Router
	handler  *handover.Handler
	server   *peers.Server

	listeners listeners
	// servers serve readiness, metrics and operators.
	servers     []*http.Server
	loggedUsage usageSnapshot
	stopping    stopState
}

type listeners struct {
	requests  net.Listener
	readiness net.Listener
	peers     net.Listener
	// calls and tunnels accept the connections of peers by kind.
	calls     net.Listener
	tunnels   net.Listener
	metrics   net.Listener
	heartbeat *net.UDPConn
}

// New returns an instance with settings read from the file at path. It logs to out.
func New(path string, s settings.Gateway, out io.Writer) (*Gateway, error) {
	output := logging.NewAsync(out)
	logs, err := logging.New(output, s.Log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		path:     path,
		settings: s,
		logs:     logs,
		output:   output,
		log:      logs.For("gateway"),
		metrics:  metrics.NewSet(),
	}
	g.clock = bootclock.New(g.onResume)
	g.started = g.clock.Now()
	debug.SetMemoryLimit(int64(heapLimitRatio * megabyte * float64(s.MemoryMB)))
	g.metrics.NewGauge("cobaltcroft_log_lines_dropped_total", func() float64 { return float64(output.Dropped()) })
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.build()
	return g, nil
}

// onResume is called after the machine was suspended.
func (g *Gateway) onResume(span time.Duration) {
	g.log.WithFields(logrus.Fields{"event": "suspended", "ms": span.Milliseconds()}).Warn("the machine was suspended; cached state has aged by that time")
}

func (g *Gateway) listen() error {
	l := g.settings.Listen
	var errs [4]error
	g.listeners.requests, errs[0] = peers.ListenTCP("requests", l.Requests)
	g.listeners.readiness, errs[1] = peers.ListenTCP("readiness", l.Readiness)
	g.listeners.peers, g.listeners.heartbeat, errs[2] = peers.Listen(l.Peers)
	if l.Metrics != "" {
		g.listeners.metrics, errs[3] = peers.ListenTCP("metrics", l.Metrics)
	}
	return errors.Join(errs[:]...)
}

// Addresses are the listening addresses of an instance.
type Addresses struct {
	Requests  string
	Readiness string
	Peers     string
	// Metrics is empty if metrics are not served.
	Metrics string
}

// Addresses returns the listening addresses.
func (g *Gateway) Addresses() Addresses {
	metricsAddress := ""
	if g.listeners.metrics != nil {
		metricsAddress = g.listeners.metrics.Addr().String()
	}
	return Addresses{
		Metrics:   metricsAddress,
		Requests:  g.listeners.requests.Addr().String(),
		Readiness: g.listeners.readiness.Addr().String(),
		Peers:     g.listeners.peers.Addr().String(),
	}
}

// build creates the components in the order of their dependencies.
func (g *Gateway) build() {
	s := g.settings
	g.regions = ownership.NewRegions(s.Regions)
	self := membership.Instance{
		Name:          s.Instance,
		Incarnation:   uint64(g.clock.Now().UnixNano()),
		FailureDomain: s.FailureDomain,
		PeerAddress:   g.listeners.peers.Addr().String(),
		Machine:       membership.Machine{Cores: s.Machine.Cores(), LinkMbps: s.Machine.LinkMbps},
	}
	g.store = platform.NewStore(s.Store, g.logUnknownStoreTerms)
	g.held = memquota.NewQuota(heldLimit(s))
	g.metrics.NewGauge("cobaltcroft_held_bytes", func() float64 { return float64(g.held.Used()) })
	table := quarantine.New(g.clock, g.logs.For("quarantine"))
	// The group is created below, before the first request.
	broadcast := func() { g.group.NotifyAll() }
	g.quarantine = quarantine.NewManager(table, g.store, broadcast, g.clock, g.logs.For("quarantine"))
	g.metrics.NewGauge("cobaltcroft_quarantined_requests", func() float64 { return float64(g.quarantine.Count()) })
	g.metrics.NewGauge("cobaltcroft_quarantined_parts", func() float64 { return float64(g.quarantine.PartCount()) })
	g.usage = peers.NewUsage(g.metrics)
	g.client = peers.NewClient(s.Instance, s.PeerToken, g.usage)
	g.gossip = peers.NewGossip(g.listeners.heartbeat, s.PeerToken, timeline.NewClock(g.clock), ratelimit.NewSplitter(g.clock), g.metrics, g.logs.For("peers"), func(membership.Instance, uint64) {})
	g.group = group.New(g.groupSettings(self), g.gossip, g.clock, g.logs.For("peers"))
	g.follower = discovery.New(g.store, &handover.DiscoveryPeers{Client: g.client, Self: self, Live: g.group.Live, Configured: s.Peers, SendHeartbeat: g.group.Notify}, g.clock, g.logs.For("discovery"))
	g.follower.OnRestore(g.quarantine.RewriteLost)
	g.metrics.NewGauge("cobaltcroft_source_era", func() float64 { return float64(g.follower.View().Era()) })
	g.unreadNotices = g.metrics.NewCounter("cobaltcroft_notices_unread_total")
	g.rateLimits = throttle.NewTable(g.clock, g.logs.For("throttle"))
	permitPeers := &handover.ThrottlePeers{Client: g.client, Instance: self, IsLeaving: g.stopping.begun, LiveMembers: g.group.Live, LeavingMembers: g.group.Leaving}
	g.permits = throttle.NewLimiter(g.rateLimits, permitPeers, g.domainOf, g.clock, g.logs.For("throttle"))
	g.backoffs = notice.NewBackoffs(g.clock, g.permits, g.logs.For("notice"))
	g.metrics.NewGauge("cobaltcroft_endpoints_limited", func() float64 { return float64(g.rateLimits.Count()) })
	g.conns = httpconn.NewPool(g.clock, g.metrics, httpconn.Gates{Connect: g.checkRouting, Send: g.checkBackoff, Permit: g.takePermit, Connections: g.maxConnections}, g.observeResponse)
	g.buildPaths()
	g.balancer = balance.New(g.clock, g.backoffs)
	g.room = room.NewTable(roomGroup{g}, g.clock, g.logs.For("room"))
	g.metrics.NewGauge("cobaltcroft_endpoints_brittle", func() float64 { return float64(g.room.Count()) })
	g.balancer.UseRoom(g.room)
	g.balancer.Export(g.metrics)
	g.budget = retry.NewBudget(g.clock, budgetBounds(s), g.instances)
	g.pieceBudget = retry.NewBudget(g.clock, budgetBounds(s), g.instances)
	g.batcher = batch.New(&platform.StageCaller{Conns: g.conns, Held: g.held, Clock: g.clock}, batchView{g.follower, g.backoffs}, g.pieceBudget, g.clock, g.metrics, g.logs.For("batch"))
	g.batcher.SetRegions(g.regions)
	planner := pipeline.NewPlanner(g.batcher, g.clock, g.metrics, g.logs.For("pipeline"))
	g.router = handover.NewRouter(g.routerOptions(self, planner))
	rolloutPeers := &handover.RolloutPeers{Client: g.client, Instance: self, Live: g.group.Live}
	g.rollouts = rollout.NewManager(rolloutView{g.follower}, rolloutPeers, g.store, s.Rollouts.Share, g.clock, g.logs.For("rollout"))
	originPeers := &handover.OriginPeers{Client: g.client, Gossip: g.gossip, LiveMembers: g.group.Live}
	g.origins = origin.New(originPeers, originView{g.follower}, originEndpoints{g}, g.clock, g.metrics, g.logs.For("origin"))
	g.gossip.OnOrigins(g.origins.Merge)
	g.overload = g.newOverload()
	g.executor = pkggateway.New(pkggateway.Options{
		View:      g.follower.View,
		Dialect:   platform.Dialect{},
		Conns:     g.conns,
		Balancer:  g.balancer,
		Budget:    g.budget,
		Stages:    g.router,
		Clock:     g.clock,
		Log:       g.logs.For("request"),
		Metrics:   g.metrics,
		Domain:    s.FailureDomain,
		Regions:   s.Regions,
		Sponsors:  g.sponsors,
		Reachable: g.reachable,
		Isolated:  g.isolated,
		Exhausted: g.overload.ReportExhausted,

		Quarantine: g.quarantine,
		Rollouts:   g.rollouts.Participant,
		Origins:    g.origins,
		Held:       g.held,
		MaxPieces:  s.MaxPieces,
		StartWait:  pkggateway.StartWait{Until: g.started.Add(s.StartWait()), Loaded: g.follower.Loaded()},
	})
	g.addViewGauges()
	g.ingress = ingress.New(ingress.Options{Run: g.executor.Run, Dialect: platform.Dialect{}, Limits: g.limits, Held: g.held, Overload: g.overload, Clock: g.clock, Log: g.logs.For("ingress")})
	g.handler = handover.NewHandler(g.router, handover.Backends{Follower: g.follower, Rollouts: g.rollouts, Permits: g.permits, Origins: g.origins})
	g.server = peers.NewServer(g.handler, s.PeerToken, g.usage, g.logs.For("peers"))
}

// addViewGauges adds the gauges of what is known of the endpoints and the source.
func (g *Gateway) addViewGauges() {
	g.metrics.NewGauge("cobaltcroft_endpoints_resting", func() float64 { return float64(g.backoffs.Count()) })
	g.metrics.NewGauge("cobaltcroft_endpoints_departing", func() float64 { return float64(g.follower.Departures()) })
	g.metrics.NewGauge("cobaltcroft_requests_in_progress", func() float64 { return float64(g.ingress.InFlight()) })
	g.metrics.NewGauge("cobaltcroft_entries_refused_total", func() float64 { return float64(g.follower.RefusedEntries()) })
	g.metrics.NewGauge("cobaltcroft_source_older_total", func() float64 { return float64(g.follower.OlderResponses()) })
	g.metrics.NewGauge("cobaltcroft_evacuated_failure_domains", func() float64 { return float64(len(g.follower.View().Evacuations().All())) })
}

// routerOptions returns the options of the router of plans.
func (g *Gateway) routerOptions(self membership.Instance, planner *pipeline.Planner) handover.Options {
	return handover.Options{
		Self:           self,
		Live:           g.group.Live,
		Leaving:        g.group.Leaving,
		SendHeartbeat:  g.group.NotifyAll,
		Contacts:       g.settings.Peers,
		Client:         g.client,
		Planner:        planner,
		Batcher:        g.batcher,
		EndpointCounts: g.supply,
		Regions:        g.regions,
		Engines:        g.balancer,
		KnownEndpoint:  g.knownEndpoint,
		Clock:          g.clock,
		Log:            g.logs.For("handover"),
	}
}

// heldLimit returns the memory limit for request and response bodies.
func heldLimit(s settings.Gateway) int64 {
	return int64(heldLimitRatio * megabyte * float64(s.MemoryMB))
}

func budgetBounds(s settings.Gateway) retry.Bounds {
	return retry.Bounds{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window()}
}

// instances returns the number of known instances, including this one.
func (g *Gateway) instances() int { return 1 + len(g.group.Live()) }

// checkRouting rejects calls to endpoints in evacuated failure domains or of versions that get no
// traffic.
func (g *Gateway) checkRouting(target httpconn.Target) error {
	view := g.follower.View()
	if view.Evacuations().Has(target.FailureDomain) {
		return problem.New(problem.Unavailable, "use an endpoint of another failure domain", "failure domain %s of endpoint %s is evacuated", target.FailureDomain, target.ID)
	}
	if view.Fleet.Barred(target.ID) {
		return problem.New(problem.Unavailable, "use an endpoint of another version", "the version of endpoint %s receives no traffic", target.ID)
	}
	return nil
}

// sponsors reports whether this instance is the only one that may use a cold endpoint. A newly
// started instance may not know the others yet.
func (g *Gateway) sponsors(endpoint string) bool {
	if g.clock.Since(g.started) < suspectAfter {
		return false
	}
	var others []string
	for _, member := range g.group.Live() {
		others = append(others, member.Name)
	}
	return balance.IsWarmupOwner(g.settings.Instance, others, endpoint)
}

func (g *Gateway) limits() (route.Limits, bool) {
	table := g.follower.View().Table
	if table == nil {
		return route.Limits{}, false
	}
	return table.Limits, true
}

// Run runs the instance until it has shut down.
func (g *Gateway) Run(signals <-chan os.Signal) error {
	g.log.WithFields(logrus.Fields{"event": "started", "instance": g.settings.Instance, "failure_domain": g.settings.FailureDomain, "requests": g.settings.Listen.Requests, "peers": g.settings.Listen.Peers, "store": g.settings.Store}).Info()
	ctx := g.tomb.Context(context.Background())
	g.tomb.Go(func() error { return g.follower.Run(&g.tomb) })
	g.tomb.Go(func() error { return g.group.Run(&g.tomb) })
	g.tomb.Go(func() error { return g.gossip.Run(&g.tomb, g.group) })
	g.tomb.Go(func() error { g.server.Serve(g.listeners.calls); return nil })
	g.tomb.Go(func() error { return g.tunnels.Serve(g.listeners.tunnels) })
	g.tomb.Go(func() error { return g.runProber(ctx) })
	g.tomb.Go(func() error { return g.ingress.Serve(g.listeners.requests) })
	g.tomb.Go(func() error { g.ingress.Sweep(ctx); return nil })
	g.tomb.Go(func() error { g.overload.Run(ctx); return nil })
	g.tomb.Go(func() error { g.quarantine.Run(ctx); return nil })
	g.tomb.Go(func() error { g.rollouts.Run(ctx); return nil })
	g.tomb.Go(func() error { g.every(ctx, batchTick, g.batcher.Tick); return nil })
	g.tomb.Go(func() error { g.every(ctx, sweepPeriod, g.sweep); return nil })
	g.serveHTTP(g.listeners.readiness, http.HandlerFunc(g.ready))
	if g.listeners.metrics != nil {
		g.serveHTTP(g.listeners.metrics, g.operatorsHandler())
	}
	return g.handleSignals(signals)
}

// serveHTTP serves requests to a listener until the instance is closed.
func (g *Gateway) serveHTTP(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	g.servers = append(g.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (g *Gateway) every(ctx context.Context, period time.Duration, do func()) {
	ticker := g.clock.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			do()
		}
	}
}

// knownEndpoint reports whether an endpoint exists.
func (g *Gateway) knownEndpoint(id string) bool {
	_, ok := g.follower.View().Fleet.Endpoint(id)
	return ok
}

// sweep drops connections to and statistics of endpoints that no longer exist, and rechecks the
// ownership of partitions.
func (g *Gateway) sweep() {
	view := g.follower.View()
	exists := func(id string) bool {
		_, ok := view.Fleet.Endpoint(id)
		return ok
	}
	g.conns.Sweep(exists)
	g.reach.Sweep(exists)
	g.balancer.Forget(exists)
	g.quarantine.Sweep()
	g.backoffs.Sweep()
	g.rateLimits.Sweep(exists)
	g.room.Sweep(exists)
	g.countConnecting()
	g.permits.UpdateMembers()
	g.origins.Tick()
	g.router.Tick()
	g.logUsage(g.clock.Now())
}

// ready serves the readiness check of the load balancer.
func (g *Gateway) ready(w http.ResponseWriter, r *http.Request) {
	view := g.follower.View()
	switch {
	case r.URL.Path != platform.ReadyPath:
		http.NotFound(w, r)
	case g.stopping.begun() || !g.canServe(view):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// canServe reports whether the instance knows enough to serve requests.
func (g *Gateway) canServe(view *discovery.View) bool {
	return view.Complete() && view.Fleet.HasEndpoints() && !view.Behind(g.clock.Now()) && !g.awaitsInstruction(view)
}
