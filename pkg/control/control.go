package control

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// queueLength is the capacity of the event queue. Senders block when it is full.
	queueLength = 1024
	// tickPeriod is the interval between ticks of the pools.
	tickPeriod = 20 * time.Millisecond
	// unlistedGracePeriod is how long an endpoint is kept after it disappears from the
	// instance list, which may be temporarily incomplete.
	unlistedGracePeriod = 5 * time.Second
	// leavingGossipPeriod is how long a leaving endpoint is included in heartbeats, where it takes
	// about 25 bytes in each heartbeat of every instance.
	leavingGossipPeriod = 15 * time.Second
)

// Settings configure a Control.
type Settings struct {
	FailureDomain string
	Policy        scheduling.Policy
	MaxQueue      int
	Seed          uint64
	// Self describes this instance to its peers.
	Self membership.Instance
	// Contacts are the addresses of the initial peers.
	Contacts []string
	// Heartbeat is the heartbeat interval. SuspectAfter is the time without
	// heartbeats after which a peer is suspected.
	Heartbeat    time.Duration
	SuspectAfter time.Duration
}

// Peers sends messages to the other instances. Its methods must not block.
type Peers interface {
	// Broadcast sends a heartbeat to the addresses.
	Broadcast(h membership.Heartbeat, leaving []LeavingEndpoint, to []string)
	// NotifyBehind reports that a peer has a newer configuration.
	NotifyBehind(peer membership.Instance, revision uint64)
}

// event is a state change that the control goroutine applies.
type event interface{ apply(c *Control) }

// Control maintains the control state. Safe for concurrent use.
type Control struct {
	settings Settings
	clock    clockwork.Clock
	ring     *timeline.Ring
	log      *logrus.Entry
	events   chan event
	view     atomic.Pointer[View]

	// The fields below are only modified by the control goroutine.
	configuration *config.Configuration
	confirmed     bool
	instances     ratelimit.InstanceCounts
	listed        map[string]*listedEndpoint
	missing       int                     // number of listed endpoints missing from the latest list
	leaving       map[string]leavingSince // by endpoint name
	pools         map[string]*scheduling.Pool
	leavingShared atomic.Pointer[[]LeavingEndpoint]
	members       *membership.Members
	membersShared atomic.Pointer[[]membership.Member]
	peers         Peers
	stopping      bool
	random        *rand.Rand
}

// listedEndpoint is an endpoint of the instance list.
type listedEndpoint struct {
	infra.ListEntry
	// missingSince is when the endpoint disappeared from the list; zero while listed.
	missingSince time.Time
}

// leavingSince is the incarnation of a leaving endpoint and when this instance learned
// of it.
type leavingSince struct {
	incarnation uint64
	since       time.Time
}

// LeavingEndpoint is an incarnation of an endpoint that is leaving.
type LeavingEndpoint struct {
	Name        string
	Incarnation uint64
}

// New returns a Control; Run must be called to process its events.
func New(settings Settings, peers Peers, clock clockwork.Clock, ring *timeline.Ring, log *logrus.Entry) *Control {
	c := &Control{
		settings:      settings,
		clock:         clock,
		ring:          ring,
		log:           log,
		events:        make(chan event, queueLength),
		configuration: config.Empty(),
		instances:     ratelimit.InstanceCounts{Domain: 1, All: 1},
		listed:        map[string]*listedEndpoint{},
		leaving:       map[string]leavingSince{},
		pools:         map[string]*scheduling.Pool{},
		peers:         peers,
	}
	c.members = membership.New(settings.Self, settings.SuspectAfter, settings.Contacts)
	c.random = rand.New(rand.NewPCG(settings.Seed, uint64(clock.Now().UnixNano())))
	c.leavingShared.Store(&[]LeavingEndpoint{})
	c.shareMembers()
	c.publish()
	return c
}

// Run processes events until t is dying.
func (c *Control) Run(t *tomb.Tomb) error {
	ticker := c.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	heartbeat := c.clock.NewTicker(c.settings.Heartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case e := <-c.events:
			e.apply(c)
		case <-heartbeat.Chan():
			c.sendHeartbeats()
		case <-ticker.Chan():
			c.tick()
		case <-t.Dying():
			return nil
		}
	}
}

func (c *Control) tick() {
	now := c.clock.Now()
	for _, pool := range c.pools {
		pool.Tick(now)
	}
}

// View returns the current view. It is never nil.
func (c *Control) View() *View { return c.view.Load() }

// LeavingEndpoints returns the endpoints recently reported as leaving. The caller must
// not modify the slice.
func (c *Control) LeavingEndpoints() []LeavingEndpoint { return *c.leavingShared.Load() }

// Configure applies a new configuration. It blocks only while the event queue is full.
func (c *Control) Configure(next *config.Configuration) { c.events <- configured{next} }

// Confirm marks the configuration as synchronised.
func (c *Control) Confirm() { c.events <- confirmed{} }

// UpdateInstanceList processes a result of InstanceList.List.
func (c *Control) UpdateInstanceList(list []infra.ListEntry, unchanged bool) {
	if unchanged {
		c.events <- listUnchanged{}
		return
	}
	c.events <- listRead{list}
}

// ReportLeaving reports that an incarnation of an endpoint is leaving. from is the source of
// the information: the endpoint or a peer.
func (c *Control) ReportLeaving(e LeavingEndpoint, from string) { c.events <- endpointLeaving{e, from} }

type configured struct{ next *config.Configuration }

func (e configured) apply(c *Control) {
	if e.next.Revision() <= c.configuration.Revision() {
		return
	}
	before := c.configuration.Evacuated()
	c.configuration = e.next
	c.rebuildPools()
	c.logEvacuations(before, e.next.Evacuated())
	c.publish()
	c.ring.Add(timeline.Event{Kind: timeline.ChangeInForce, Change: lastChange(e.next), Detail: revisionText(e.next.Revision())})
	c.log.WithFields(logrus.Fields{"event": "configuration_in_force", "revision": e.next.Revision()}).Info()
}

// logEvacuations logs the failure domains that were evacuated or returned to service.
func (c *Control) logEvacuations(before, after []string) {
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			c.log.WithFields(logrus.Fields{"event": "domain_evacuated", "domain": domain, "endpoints": c.endpointsIn(domain)}).Info()
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			c.log.WithFields(logrus.Fields{"event": "domain_returned", "domain": domain, "endpoints": c.endpointsIn(domain)}).Info()
		}
	}
}

// endpointsIn returns the number of listed endpoints in a failure domain.
func (c *Control) endpointsIn(domain string) int {
	n := 0
	for _, l := range c.listed {
		if l.FailureDomain == domain {
			n++
		}
	}
	return n
}

type confirmed struct{}

func (confirmed) apply(c *Control) {
	if c.confirmed {
		return
	}
	c.confirmed = true
	c.publish()
}

type listRead struct{ list []infra.ListEntry }

func (e listRead) apply(c *Control) {
	now := c.clock.Now()
	present := make(map[string]bool, len(e.list))
	for _, l := range e.list {
		if l.Service == "" {
			c.members.AddContact(now, l.Address)
			continue
		}
		present[l.Name] = true
		c.listed[l.Name] = &listedEndpoint{ListEntry: l}
		if l.State == infra.Leaving {
			c.noteLeaving(LeavingEndpoint{l.Name, l.Incarnation}, "instance list")
		}
	}
	c.missing = 0
	for name, l := range c.listed {
		if present[name] {
			continue
		}
		c.missing++
		if l.missingSince.IsZero() {
			l.missingSince = now
		}
	}
	c.dropMissing(now)
	c.updatePools()
}

type listUnchanged struct{}

func (listUnchanged) apply(c *Control) {
	if c.missing > 0 && c.dropMissing(c.clock.Now()) {
		c.updatePools()
	}
}

// dropMissing removes the endpoints missing from the list for longer than the grace
// period, and reports whether there were any.
func (c *Control) dropMissing(now time.Time) bool {
	dropped := false
	for name, l := range c.listed {
		if l.missingSince.IsZero() || now.Sub(l.missingSince) <= unlistedGracePeriod {
			continue
		}
		delete(c.listed, name)
		delete(c.leaving, name)
		c.missing--
		dropped = true
	}
	return dropped
}

type endpointLeaving struct {
	endpoint LeavingEndpoint
	from     string
}

func (e endpointLeaving) apply(c *Control) {
	if !c.noteLeaving(e.endpoint, e.from) {
		return
	}
	for _, pool := range c.pools {
		pool.MarkLeaving(e.endpoint.Name, e.endpoint.Incarnation)
	}
}

// noteLeaving records that an endpoint is leaving, and reports whether this is new
// information. A leaving incarnation never returns; a higher one is a new process.
func (c *Control) noteLeaving(e LeavingEndpoint, from string) bool {
	known, ok := c.leaving[e.Name]
	if ok && known.incarnation >= e.Incarnation {
		return false
	}
	c.leaving[e.Name] = leavingSince{incarnation: e.Incarnation, since: c.clock.Now()}
	c.shareLeaving()
	c.ring.Add(timeline.Event{Kind: timeline.EndpointLeaving, Endpoint: e.Name, Detail: "reported by " + from})
	c.log.WithFields(logrus.Fields{"event": "endpoint_leaving", "endpoint": e.Name, "incarnation": e.Incarnation, "from": from}).Info()
	return true
}

// shareLeaving publishes the recently reported leaving endpoints for heartbeats. Peers
// forward them for the same period; later they are known from the instance list.
func (c *Control) shareLeaving() {
	shared := make([]LeavingEndpoint, 0, len(c.leaving))
	for name, l := range c.leaving {
		if c.clock.Since(l.since) <= leavingGossipPeriod {
			shared = append(shared, LeavingEndpoint{name, l.incarnation})
		}
	}
	slices.SortFunc(shared, func(a, b LeavingEndpoint) int { return strings.Compare(a.Name, b.Name) })
	c.leavingShared.Store(&shared)
}

// rebuildPools creates and removes pools to match the configured services.
func (c *Control) rebuildPools() {
	pools := map[string]*scheduling.Pool{}
	for i, s := range c.configuration.Services() {
		pool := c.pools[s.Name]
		if pool == nil {
			pool = scheduling.NewPool(scheduling.Config{
				Policy:        c.settings.Policy,
				FailureDomain: c.settings.FailureDomain,
				Concurrency:   int(s.Concurrency),
				MaxQueue:      c.settings.MaxQueue,
			}, rand.New(rand.NewPCG(c.settings.Seed, uint64(i))))
		}
		pools[s.Name] = pool
	}
	c.pools = pools
	c.updatePools()
}

// updatePools sets the endpoints of each pool.
func (c *Control) updatePools() {
	evacuated := c.configuration.Evacuated()
	byService := map[string][]scheduling.Endpoint{}
	for _, l := range c.listed {
		byService[l.Service] = append(byService[l.Service], c.poolEndpoint(l, evacuated))
	}
	now := c.clock.Now()
	for name, pool := range c.pools {
		endpoints := byService[name]
		slices.SortFunc(endpoints, func(a, b scheduling.Endpoint) int { return strings.Compare(a.Name, b.Name) })
		pool.Update(now, int(c.configuration.Service(name).Concurrency), endpoints)
		pool.SetInstances(c.instances.All)
	}
}

// poolEndpoint converts a listed endpoint for its pool. Endpoints in an evacuated failure domain are
// marked as leaving until the evacuation ends.
func (c *Control) poolEndpoint(l *listedEndpoint, evacuated []string) scheduling.Endpoint {
	leaving, reported := c.leaving[l.Name]
	return scheduling.Endpoint{
		Name:          l.Name,
		Address:       l.Address,
		FailureDomain: l.FailureDomain,
		Incarnation:   l.Incarnation,
		Leaving:       reported && leaving.incarnation >= l.Incarnation || slices.Contains(evacuated, l.FailureDomain),
		ChecksTokens:  l.ChecksTokens,
	}
}

func (c *Control) publish() {
	plans := map[string]*scheduling.Plan{}
	for _, pipeline := range c.configuration.Pipelines() {
		plans[pipeline.Name] = c.plan(pipeline)
	}
	c.view.Store(&View{
		Configuration: c.configuration,
		Pools:         c.pools,
		Plans:         plans,
		Instances:     c.instances,
		Confirmed:     c.confirmed,
	})
}

func (c *Control) plan(p *config.Pipeline) *scheduling.Plan {
	steps := make([]scheduling.Step, len(p.Stages))
	for i, stage := range p.Stages {
		steps[i] = scheduling.Step{Pool: c.pools[stage.Service], Inputs: p.Inputs(i)}
	}
	return scheduling.NewPlan(steps)
}

func lastChange(c *config.Configuration) string {
	accepted := c.History()
	if len(accepted) == 0 {
		return ""
	}
	return accepted[len(accepted)-1].ID
}

func revisionText(revision uint64) string {
	return "revision " + strconv.FormatUint(revision, 10)
}
