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
	// queueLength bounds the events that wait. Senders wait when it is full.
	queueLength = 1024
	// tickPeriod is the time between ticks of the pools.
	tickPeriod = 20 * time.Millisecond
	// listedGrace is how long an endpoint stays after the instance list has
	// dropped it without having called it leaving: lists have gaps.
	listedGrace = 5 * time.Second
	// sharedFor is how long an endpoint that is leaving is named in heartbeats. Each
	// costs some 25 bytes in every heartbeat of every instance.
	sharedFor = 15 * time.Second
)

// Settings of the control service.
type Settings struct {
	FailureDomain string
	Policy        scheduling.Policy
	MaxQueue      int
	Seed          uint64
	// Self is this instance as its peers see it.
	Self membership.Instance
	// Contacts are peer addresses to begin with.
	Contacts []string
	// Heartbeat is the time between heartbeats, SuspectAfter the silence after
	// which a peer is suspected.
	Heartbeat    time.Duration
	SuspectAfter time.Duration
}

// Peers is how the control service reaches the other instances. Its methods must
// not block.
type Peers interface {
	// Broadcast sends a heartbeat to the addresses.
	Broadcast(h membership.Heartbeat, leaving []LeavingEndpoint, to []string)
	// Behind says that a peer has a newer configuration in force.
	Behind(peer membership.Instance, revision uint64)
}

// event is what the control goroutine handles.
type event interface{ apply(c *Control) }

// Control owns the control state. Its methods may be called from any goroutine.
type Control struct {
	settings Settings
	clock    clockwork.Clock
	ring     *timeline.Ring
	log      *logrus.Entry
	events   chan event
	view     atomic.Pointer[View]

	// The fields below belong to the control goroutine.
	configuration *config.Configuration
	confirmed     bool
	instances     ratelimit.InstanceCounts
	listed        map[string]*listedEndpoint
	missing       int                     // of the listed, those that the list lacks now
	leaving       map[string]leavingSince // by endpoint, as heard from list, answers and peers
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
	infra.Listed
	// missing is since when the list lacks it; zero while it is there.
	missing time.Time
}

// leavingSince is the incarnation of an endpoint that is leaving, and since when that
// is known here.
type leavingSince struct {
	incarnation uint64
	since       time.Time
}

// LeavingEndpoint is one incarnation of an endpoint known to be leaving.
type LeavingEndpoint struct {
	Name        string
	Incarnation uint64
}

// New returns a control service; Run must be called for it to work.
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

// Run handles events until t dies.
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
			c.beat()
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

// View returns the newest view. It is never nil.
func (c *Control) View() *View { return c.view.Load() }

// LeavingEndpoints returns the endpoints known to be leaving. Not to be changed.
func (c *Control) LeavingEndpoints() []LeavingEndpoint { return *c.leavingShared.Load() }

// Configure puts a configuration in force. It does not block for long.
func (c *Control) Configure(next *config.Configuration) { c.events <- configured{next} }

// Confirm says that the configuration is as new as can be found out.
func (c *Control) Confirm() { c.events <- confirmed{} }

// SetListed takes in a reading of the instance list, or that it is unchanged.
func (c *Control) SetListed(list []infra.Listed, unchanged bool) {
	if unchanged {
		c.events <- listUnchanged{}
		return
	}
	c.events <- listRead{list}
}

// Leaving says that an endpoint's incarnation is leaving, as its own answer or a
// peer has told.
func (c *Control) Leaving(e LeavingEndpoint, from string) { c.events <- left{e, from} }

type configured struct{ next *config.Configuration }

func (e configured) apply(c *Control) {
	if e.next.Revision() <= c.configuration.Revision() {
		return
	}
	before := c.configuration.Evacuated()
	c.configuration = e.next
	c.rebuild()
	c.logEvacuations(before, e.next.Evacuated())
	c.publish()
	c.ring.Add(timeline.Event{Kind: timeline.ChangeInForce, Change: lastChange(e.next), Detail: revisionText(e.next.Revision())})
	c.log.WithFields(logrus.Fields{"event": "configuration_in_force", "revision": e.next.Revision()}).Info()
}

// logEvacuations logs which failure domains get no new work from now on, and which do again.
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

// endpointsIn counts the listed endpoints of a failure domain.
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

type listRead struct{ list []infra.Listed }

func (e listRead) apply(c *Control) {
	now := c.clock.Now()
	present := make(map[string]bool, len(e.list))
	for _, l := range e.list {
		if l.Service == "" {
			c.members.AddContact(now, l.Address)
			continue
		}
		present[l.Name] = true
		c.listed[l.Name] = &listedEndpoint{Listed: l}
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
		if l.missing.IsZero() {
			l.missing = now
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

// dropMissing forgets the endpoints that the list has lacked for too long, and tells
// whether there were any.
func (c *Control) dropMissing(now time.Time) bool {
	dropped := false
	for name, l := range c.listed {
		if l.missing.IsZero() || now.Sub(l.missing) <= listedGrace {
			continue
		}
		delete(c.listed, name)
		delete(c.leaving, name)
		c.missing--
		dropped = true
	}
	return dropped
}

type left struct {
	endpoint LeavingEndpoint
	from     string
}

func (e left) apply(c *Control) {
	if !c.noteLeaving(e.endpoint, e.from) {
		return
	}
	for _, pool := range c.pools {
		pool.MarkLeaving(e.endpoint.Name, e.endpoint.Incarnation)
	}
}

// noteLeaving remembers that an endpoint is leaving, and tells whether it was news.
// An incarnation that is leaving never comes back; a higher one is another process.
func (c *Control) noteLeaving(e LeavingEndpoint, from string) bool {
	known, ok := c.leaving[e.Name]
	if ok && known.incarnation >= e.Incarnation {
		return false
	}
	c.leaving[e.Name] = leavingSince{incarnation: e.Incarnation, since: c.clock.Now()}
	c.shareLeaving()
	c.ring.Add(timeline.Event{Kind: timeline.EndpointLeaving, Endpoint: e.Name, Detail: "told by " + from})
	c.log.WithFields(logrus.Fields{"event": "endpoint_leaving", "endpoint": e.Name, "incarnation": e.Incarnation, "from": from}).Info()
	return true
}

// shareLeaving sets what the heartbeats tell: the endpoints that are newly known as
// leaving. Whoever hears it tells it on for as long, and the list tells the rest.
func (c *Control) shareLeaving() {
	shared := make([]LeavingEndpoint, 0, len(c.leaving))
	for name, l := range c.leaving {
		if c.clock.Since(l.since) <= sharedFor {
			shared = append(shared, LeavingEndpoint{name, l.incarnation})
		}
	}
	slices.SortFunc(shared, func(a, b LeavingEndpoint) int { return strings.Compare(a.Name, b.Name) })
	c.leavingShared.Store(&shared)
}

// rebuild makes the pools of the configured services.
func (c *Control) rebuild() {
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

// updatePools gives each pool its endpoints.
func (c *Control) updatePools() {
	evacuated := c.configuration.Evacuated()
	byService := map[string][]scheduling.Endpoint{}
	for _, l := range c.listed {
		byService[l.Service] = append(byService[l.Service], c.convert(l, evacuated))
	}
	now := c.clock.Now()
	for name, pool := range c.pools {
		endpoints := byService[name]
		slices.SortFunc(endpoints, func(a, b scheduling.Endpoint) int { return strings.Compare(a.Name, b.Name) })
		pool.Update(now, int(c.configuration.Service(name).Concurrency), endpoints)
		pool.SetInstances(c.instances.All)
	}
}

// convert returns an endpoint as the pools see it. One in an evacuated failure domain gets no new work,
// as one that leaves, but comes back when its domain does.
func (c *Control) convert(l *listedEndpoint, evacuated []string) scheduling.Endpoint {
	leaving, told := c.leaving[l.Name]
	return scheduling.Endpoint{
		Name:          l.Name,
		Address:       l.Address,
		FailureDomain: l.FailureDomain,
		Incarnation:   l.Incarnation,
		Leaving:       told && leaving.incarnation >= l.Incarnation || slices.Contains(evacuated, l.FailureDomain),
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
	accepted := c.Accepted()
	if len(accepted) == 0 {
		return ""
	}
	return accepted[len(accepted)-1].ID
}

func revisionText(revision uint64) string {
	return "revision " + strconv.FormatUint(revision, 10)
}
