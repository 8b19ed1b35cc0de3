// Package gateway puts an instance together that stands before HTTP endpoints on the
// company platform.
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
	"syscall"
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
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	pkggateway "github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/group"
	"github.com/cobaltcroft/cobaltcroft/pkg/held"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/limits"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/retry"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/platform"
	"github.com/cobaltcroft/cobaltcroft/service/handover"
	"github.com/cobaltcroft/cobaltcroft/service/ingress"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	heartbeat    = time.Second
	suspectAfter = 3 * time.Second
	// batchTick is the time between looks at pieces that wait though nothing happens.
	batchTick = 20 * time.Millisecond
	// sweepPeriod is the time between looks at kept connections and old knowledge.
	sweepPeriod = time.Second
	// settingsPeriod is the time between looks at the settings file.
	settingsPeriod = 2 * time.Second
	// heapPart is the part of the memory limit that the runtime keeps to.
	heapPart = 0.7
	// heldPart is the part of the memory limit that bodies and answers may take which are held: each is copied once
	// while it is read, and again while it goes out, and the rest is for what is known.
	heldPart = 0.25
	megabyte = 1e6
)

// Gateway is one instance.
type Gateway struct {
	path     string
	settings settings.Gateway
	// regions has the region of each failure domain.
	regions ownership.Regions
	// counted is how many endpoints there were last.
	counted atomic.Pointer[counted]
	clock   clockwork.Clock
	started time.Time
	logs    *logging.Logs
	output  *logging.Async
	log     *logrus.Entry
	metrics *metrics.Set
	tomb    tomb.Tomb

	store    *platform.Store
	client   *peers.Client
	usage    *peers.Usage
	group    *group.Group
	gossip   *peers.Gossip
	follower *discovery.Follower
	// rests are those that endpoints want from this machine.
	rests *notice.Rests
	// limited has the limits that endpoints name for all instances.
	limited *throttle.Table
	// permits have all instances together heed them.
	permits *throttle.Keeper
	// unread counts the rests and limits in words that can't be read.
	unread *metrics.Counter
	// unknownTerms are the terms of answers that were told once.
	unknownTerms sync.Map
	conns        *httpconn.Pool
	balancer     *balance.Balancer
	// budget is for requests sent again, pieces for pieces made again.
	budget *retry.Budget
	pieces *retry.Budget
	// quarantine has the requests that end their endpoints.
	quarantine *quarantine.Keeper
	// rollouts move traffic between versions.
	rollouts *rollout.Keeper
	// held counts the bodies and answers that are held.
	held *held.Account

	batcher  *batch.Batcher
	executor *pkggateway.Executor
	face     *ingress.Face
	router   *handover.Router
	handler  *handover.Handler
	server   *peers.Server

	listeners listeners
	told      toldUsage
	stopping  stopState
}

// listeners are the sockets of an instance.
type listeners struct {
	requests  net.Listener
	readiness net.Listener
	peers     net.Listener
	metrics   net.Listener
	heartbeat *net.UDPConn
}

// New returns an instance with the settings of the file at path, that logs to out.
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
	g.clock = bootclock.New(g.awoke)
	g.started = g.clock.Now()
	debug.SetMemoryLimit(int64(heapPart * megabyte * float64(s.MemoryMB)))
	g.metrics.NewGauge("cobaltcroft_log_lines_dropped_total", func() float64 { return float64(output.Dropped()) })
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.assemble()
	return g, nil
}

// awoke is called when the machine was suspended for a time.
func (g *Gateway) awoke(span time.Duration) {
	g.log.WithFields(logrus.Fields{"event": "suspended", "ms": span.Milliseconds()}).Warn("all that is known is older by that")
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

// Addresses are those at which an instance listens.
type Addresses struct {
	Requests  string
	Readiness string
	Peers     string
	// Metrics is empty if none are served.
	Metrics string
}

// Addresses returns where the instance listens.
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

// assemble makes the parts, from those that need nothing to those that need most.
func (g *Gateway) assemble() {
	s := g.settings
	g.regions = ownership.NewRegions(s.Regions)
	self := membership.Instance{
		Name:          s.Instance,
		Incarnation:   uint64(g.clock.Now().UnixNano()),
		FailureDomain: s.FailureDomain,
		PeerAddress:   g.listeners.peers.Addr().String(),
		Machine:       membership.Machine{Cores: s.Machine.Cores(), LinkMbps: s.Machine.LinkMbps},
	}
	g.store = platform.NewStore(s.Store)
	g.held = held.NewAccount(heldLimit(s))
	g.metrics.NewGauge("cobaltcroft_held_bytes", func() float64 { return float64(g.held.Held()) })
	table := quarantine.New(g.clock, g.logs.For("quarantine"))
	// The group is put together below; no request comes before.
	tellAll := func() { g.group.TellAll() }
	g.quarantine = quarantine.NewKeeper(table, g.store, tellAll, g.clock, g.logs.For("quarantine"))
	g.metrics.NewGauge("cobaltcroft_quarantined_requests", func() float64 { return float64(g.quarantine.Held()) })
	g.usage = peers.NewUsage(g.metrics)
	g.client = peers.NewClient(s.Instance, s.PeerToken, g.usage)
	g.gossip = peers.NewGossip(g.listeners.heartbeat, s.PeerToken, timeline.NewClock(g.clock), limits.NewShares(g.clock), g.metrics, g.logs.For("peers"), func(membership.Instance, uint64) {})
	g.group = group.New(g.groupSettings(self), g.gossip, g.clock, g.logs.For("peers"))
	g.follower = discovery.New(g.store, &handover.DiscoveryPeers{Client: g.client, Self: self, Live: g.group.Live, Contacts: s.Peers, SendHeartbeat: g.group.Tell}, g.clock, g.logs.For("discovery"))
	g.unread = g.metrics.NewCounter("cobaltcroft_notices_unread_total")
	g.limited = throttle.NewTable(g.clock, g.logs.For("throttle"))
	granting := &handover.ThrottlePeers{Client: g.client, Instance: self, IsLeaving: g.stopping.begun, LiveMembers: g.group.Live, LeavingMembers: g.group.Leaving}
	g.permits = throttle.NewKeeper(g.limited, granting, g.domainOf, g.clock, g.logs.For("throttle"))
	g.rests = notice.NewRests(g.clock, g.permits, g.logs.For("notice"))
	g.metrics.NewGauge("cobaltcroft_endpoints_limited", func() float64 { return float64(g.limited.Count()) })
	g.conns = httpconn.NewPool(g.clock, g.metrics, httpconn.Gates{Connect: g.mayConnect, Send: g.maySend, Spend: g.spend}, g.heardAnswer)
	g.balancer = balance.New(g.clock, g.rests)
	g.budget = retry.NewBudget(g.clock, budgetBounds(s), g.instances)
	g.pieces = retry.NewBudget(g.clock, budgetBounds(s), g.instances)
	g.batcher = batch.New(&platform.Stages{Conns: g.conns, Clock: g.clock}, known{g.follower, g.rests}, g.pieces, g.clock, g.metrics, g.logs.For("batch"))
	g.batcher.ByRegion(g.regions)
	planner := pipeline.NewPlanner(g.batcher, g.clock, g.metrics, g.logs.For("pipeline"))
	g.router = handover.NewRouter(handover.Options{
		Self:           self,
		Live:           g.group.Live,
		Leaving:        g.group.Leaving,
		SendHeartbeat:  g.group.TellAll,
		Contacts:       s.Peers,
		Client:         g.client,
		Planner:        planner,
		Batcher:        g.batcher,
		EndpointCounts: g.supply,
		Regions:        g.regions,
		Clock:          g.clock,
		Log:            g.logs.For("handover"),
	})
	conducting := &handover.RolloutPeers{Client: g.client, Instance: self, Live: g.group.Live}
	g.rollouts = rollout.NewKeeper(rolling{g.follower}, conducting, g.store, s.Rollouts.Share, g.clock, g.logs.For("rollout"))
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
		Instances: g.instances,
		Sponsors:  g.sponsors,

		Quarantine: g.quarantine,
		Rollouts:   g.rollouts.Participant,
		Held:       g.held,
	})
	g.metrics.NewGauge("cobaltcroft_endpoints_resting", func() float64 { return float64(g.rests.Count()) })
	g.metrics.NewGauge("cobaltcroft_endpoints_departing", func() float64 { return float64(g.follower.Departures()) })
	g.metrics.NewGauge("cobaltcroft_entries_refused_total", func() float64 { return float64(g.follower.RefusedEntries()) })
	g.metrics.NewGauge("cobaltcroft_evacuated_failure_domains", func() float64 { return float64(len(g.follower.View().Evacuations().Domains)) })
	g.face = ingress.New(ingress.Options{Run: g.executor.Run, Dialect: platform.Dialect{}, Limits: g.limits, Held: g.held, Clock: g.clock, Log: g.logs.For("ingress")})
	g.handler = handover.NewHandler(g.router, g.follower, g.rollouts, g.permits)
	g.server = peers.NewServer(g.handler, s.PeerToken, g.usage, g.logs.For("peers"))
}

// heldLimit is how many bytes of bodies and answers may be held.
func heldLimit(s settings.Gateway) int64 { return int64(heldPart * megabyte * float64(s.MemoryMB)) }

func budgetBounds(s settings.Gateway) retry.Bounds {
	return retry.Bounds{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window()}
}

// instances is how many instances there are, as far as is known.
func (g *Gateway) instances() int { return 1 + len(g.group.Live()) }

// mayConnect is the gate of all that goes to endpoints: one in an evacuated failure domain gets nothing, nor one of a
// version that is not to get work.
func (g *Gateway) mayConnect(target httpconn.Target) error {
	view := g.follower.View()
	if view.Evacuations().Has(target.FailureDomain) {
		return problem.New(problem.Unavailable, "use an endpoint of another failure domain", "failure domain %s of endpoint %s is evacuated", target.FailureDomain, target.ID)
	}
	if view.Fleet.Barred(target.ID) {
		return problem.New(problem.Unavailable, "use an endpoint of another version", "the version of endpoint %s gets no work", target.ID)
	}
	return nil
}

// sponsors tells whether this instance alone sends to an endpoint that is cold. One that has just
// started may not know of the others.
func (g *Gateway) sponsors(endpoint string) bool {
	if g.clock.Since(g.started) < suspectAfter {
		return false
	}
	var others []string
	for _, member := range g.group.Live() {
		others = append(others, member.Name)
	}
	return balance.Sponsors(g.settings.Instance, others, endpoint)
}

func (g *Gateway) limits() (route.Limits, bool) {
	table := g.follower.View().Table
	if table == nil {
		return route.Limits{}, false
	}
	return table.Limits, true
}

// known is what the batcher knows of services and endpoints.
type known struct {
	follower *discovery.Follower
	rests    *notice.Rests
}

// Batching implements batch.Known.
func (k known) Batching(service string) *route.Batching {
	table := k.follower.View().Table
	if table == nil || table.Service(service) == nil {
		return nil
	}
	return table.Service(service).Batching
}

// Ready implements batch.Known.
func (k known) Ready(service string) []fleet.Endpoint { return k.follower.View().Fleet.Ready(service) }

// Endpoint implements batch.Known.
func (k known) Endpoint(id string) (fleet.Endpoint, bool) {
	return k.follower.View().Fleet.Endpoint(id)
}

// Rest implements batch.Known.
func (k known) Rest(id string) time.Duration { return k.rests.Left(id) }

// Run runs the instance until it has stopped as planned.
func (g *Gateway) Run(signals <-chan os.Signal) error {
	g.log.WithFields(logrus.Fields{"event": "started", "instance": g.settings.Instance, "failure_domain": g.settings.FailureDomain, "requests": g.settings.Listen.Requests, "peers": g.settings.Listen.Peers, "store": g.settings.Store}).Info()
	ctx := g.tomb.Context(context.Background())
	g.tomb.Go(func() error { return g.follower.Run(&g.tomb) })
	g.tomb.Go(func() error { return g.group.Run(&g.tomb) })
	g.tomb.Go(func() error { return g.gossip.Run(&g.tomb, g.group) })
	g.tomb.Go(func() error { g.server.Serve(g.listeners.peers); return nil })
	g.tomb.Go(func() error { return g.face.Serve(g.listeners.requests) })
	g.tomb.Go(func() error { g.face.Sweep(ctx); return nil })
	g.tomb.Go(func() error { g.quarantine.Run(ctx); return nil })
	g.tomb.Go(func() error { g.rollouts.Run(ctx); return nil })
	g.tomb.Go(func() error { g.every(ctx, batchTick, g.batcher.Tick); return nil })
	g.tomb.Go(func() error { g.every(ctx, sweepPeriod, g.sweep); return nil })
	go func() { _ = http.Serve(g.listeners.readiness, http.HandlerFunc(g.ready)) }()
	if g.listeners.metrics != nil {
		go func() { _ = http.Serve(g.listeners.metrics, g.operatorsFace()) }()
	}
	return g.obey(signals)
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

// sweep drops connections to endpoints that have gone, and what was seen of them; and looks who
// should own which part.
func (g *Gateway) sweep() {
	view := g.follower.View()
	exists := func(id string) bool {
		_, ok := view.Fleet.Endpoint(id)
		return ok
	}
	g.conns.Sweep(exists)
	g.balancer.Forget(exists)
	g.quarantine.Sweep()
	g.rests.Sweep()
	g.limited.Sweep(exists)
	g.permits.Look()
	g.router.Tick()
	g.tellUsage(g.clock.Now())
}

// ready answers the balancer's question.
func (g *Gateway) ready(w http.ResponseWriter, r *http.Request) {
	view := g.follower.View()
	switch {
	case r.URL.Path != platform.ReadyPath:
		http.NotFound(w, r)
	case g.stopping.begun() || !g.knowsEnough(view):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// knowsEnough tells whether requests can be served by what is known.
func (g *Gateway) knowsEnough(view *discovery.View) bool {
	return view.Complete() && view.Fleet.Any() && !view.Behind(g.clock.Now()) && !g.lacksVersions(view)
}

// obey waits for signals and changed settings until the instance has stopped.
func (g *Gateway) obey(signals <-chan os.Signal) error {
	ticker := g.clock.NewTicker(settingsPeriod)
	defer ticker.Stop()
	modified := modifiedAt(g.path)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				g.reload("signal")
				modified = modifiedAt(g.path)
				continue
			}
			g.stop(s, signals)
			return nil
		case <-ticker.Chan():
			if now := modifiedAt(g.path); !now.Equal(modified) {
				modified = now
				g.reload("file")
			}
		case <-g.tomb.Dying():
			return g.tomb.Err()
		}
	}
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes changed settings in: those of retries, memory and stopping. Addresses,
// names and the store need a restart.
func (g *Gateway) reload(cause string) {
	s, err := settings.ReadGateway(g.path)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "settings_refused", "cause": cause}).Error(err)
		return
	}
	g.budget.SetBounds(budgetBounds(s))
	g.pieces.SetBounds(budgetBounds(s))
	debug.SetMemoryLimit(int64(heapPart * megabyte * float64(s.MemoryMB)))
	g.held.SetLimit(heldLimit(s))
	g.settings.Retries, g.settings.MemoryMB, g.settings.StopGraceSeconds = s.Retries, s.MemoryMB, s.StopGraceSeconds
	g.log.WithFields(logrus.Fields{"event": "settings_reloaded", "cause": cause}).Info()
}
