package rollout

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// ErrConflict is returned if another instance has written the record since it was read.
var ErrConflict = errors.New("another instance has written the rollout record since it was read; read it again")

// Record is the stored outcome of a service's last rollout, shown to operators.
type Record struct {
	State   State
	Version string
	// Revision is the revision of the record; 0 if there is none.
	Revision revision.Revision
}

// stateOf returns the recorded state of an order, or an empty state if the record is about another
// order or was read in another era than the order.
func (r Record) stateOf(order fleet.Rollout) State {
	at := order.ListedAt()
	if r.Revision <= at || r.Revision.Era() != at.Era() || r.Version != order.Version {
		return ""
	}
	return r.State
}

// Records stores rollout records where all instances find them.
type Records interface {
	// Read returns the record of a service.
	Read(ctx context.Context, service string) (Record, error)
	// Write replaces the record of a service if it still has the revision after, and returns the
	// new revision. Otherwise it fails with ErrConflict.
	Write(ctx context.Context, service string, after revision.Revision, state State, version string) (revision.Revision, error)
}

// Peer is an instance that can act as conductor.
type Peer struct {
	Name    string
	Address string
}

// Peers provides access to the other instances.
type Peers interface {
	// Self returns this instance; Incarnation identifies its process.
	Self() Peer
	Incarnation() uint64
	// Conductors returns all live instances, including this one, in the order in which they become
	// conductor for the service.
	Conductors(service string) []Peer
	// Report sends a report to a conductor.
	Report(ctx context.Context, to Peer, r Report) (Instruction, error)
}

// View provides the known orders and endpoints.
type View interface {
	Rollouts() fleet.Rollouts
	// Versions counts the endpoints of the ordered version and of other versions.
	Versions(order fleet.Rollout) (of, others int)
	// SetStandings applies the standings of the rollouts.
	SetStandings(ctx context.Context, standings fleet.RolloutStates)
}

const (
	// pollPeriod is the time between two polls of all rollouts.
	pollPeriod = 100 * time.Millisecond
	// minReportPeriod is the least time between two reports of an instance; reportPeriodPerInstance
	// scales it with the number of instances to limit the load of the conductor.
	minReportPeriod         = 400 * time.Millisecond
	reportPeriodPerInstance = 2500 * time.Microsecond
	// instructionSlack extends the validity of an instruction beyond two report periods, in case
	// the next one is lost.
	instructionSlack = 700 * time.Millisecond
	// reportTimeout limits one report. A conductor that did not reply is skipped for skipPeriod.
	// maxConductorsTried limits the conductors tried per report.
	reportTimeout      = 500 * time.Millisecond
	skipPeriod         = 3 * time.Second
	maxConductorsTried = 3
	// recordReadPeriod is the time between reads of a record, recordWriteRetryDelay the time
	// between write attempts, and recordTimeout limits one access.
	recordReadPeriod      = time.Second
	recordWriteRetryDelay = 300 * time.Millisecond
	recordTimeout         = time.Second
	// conductPeriod is how long an instance acts as conductor after the last report it received.
	conductPeriod = 3 * time.Second
)

// Manager runs this instance's part in all rollouts: it reports, applies instructions, and acts as
// conductor where it is responsible. It is safe for concurrent use.
type Manager struct {
	*Participant
	view    View
	peers   Peers
	records Records
	// share limits the fraction of a service's requests for a bad version.
	share float64
	clock clockwork.Clock
	log   *logrus.Entry

	mu        sync.Mutex
	conducted map[revision.Revision]*conductedRollout
	// reporting contains the orders with a report in flight; reportedAt is the start of the last
	// report.
	reporting  map[revision.Revision]bool
	reportedAt map[revision.Revision]time.Time
	// skippedUntil is the time until which a conductor is skipped, by name.
	skippedUntil map[string]time.Time
	// spawn runs a call without waiting for it.
	spawn func(call func())
	// lastStandings are the standings last passed to the view. Only the goroutine of Run uses it.
	lastStandings fleet.RolloutStates
}

// conductedRollout is a rollout that this instance conducts.
type conductedRollout struct {
	*Conductor
	// reportAt is the time of the last report received.
	reportAt time.Time
	// recording is set while the record is being accessed; readAt is the start of the last access.
	recording bool
	readAt    time.Time
	record    Record
}

// NewManager returns a Manager. share limits the fraction of a service's requests for a bad version.
func NewManager(view View, peers Peers, records Records, share float64, clock clockwork.Clock, log *logrus.Entry) *Manager {
	return &Manager{
		Participant:  NewParticipant(clock),
		view:         view,
		peers:        peers,
		records:      records,
		share:        share,
		clock:        clock,
		log:          log,
		conducted:    map[revision.Revision]*conductedRollout{},
		reporting:    map[revision.Revision]bool{},
		reportedAt:   map[revision.Revision]time.Time{},
		skippedUntil: map[string]time.Time{},
		spawn:        func(call func()) { go call() },
	}
}

// Run polls until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := m.clock.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.Poll(ctx)
		}
	}
}

// Poll sends due reports, advances the conducted rollouts and updates the view.
func (m *Manager) Poll(ctx context.Context) {
	rollouts := m.view.Rollouts()
	orders := rollouts.InForce()
	m.SetOrders(orders)
	for _, order := range orders {
		m.reportIfDue(ctx, order)
	}
	m.conduct(ctx, rollouts)
	if standings := m.Standings(); !maps.Equal(standings, m.lastStandings) {
		m.view.SetStandings(ctx, standings)
		m.lastStandings = standings
	}
}

// reportPeriod returns the time between two reports of an instance.
func reportPeriod(instances int) time.Duration {
	return max(minReportPeriod, time.Duration(instances)*reportPeriodPerInstance)
}

// reportIfDue starts a report if it is due.
func (m *Manager) reportIfDue(ctx context.Context, order fleet.Rollout) {
	if m.Finished(order.Revision) {
		return
	}
	candidates := m.peers.Conductors(order.Service)
	every := reportPeriod(len(candidates))
	now := m.clock.Now()
	m.mu.Lock()
	due := !m.reporting[order.Revision] && now.Sub(m.reportedAt[order.Revision]) >= every
	if due {
		m.reporting[order.Revision], m.reportedAt[order.Revision] = true, now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.spawn(func() {
		m.sendReport(ctx, order, candidates, 2*every+instructionSlack)
		m.mu.Lock()
		delete(m.reporting, order.Revision)
		m.mu.Unlock()
	})
}

// sendReport reports to the first conductor that replies. The instruction is valid for the given
// time from the start of the call.
func (m *Manager) sendReport(ctx context.Context, order fleet.Rollout, candidates []Peer, holds time.Duration) {
	r, ok := m.Report(order.Revision)
	if !ok {
		return
	}
	r.Instance, r.Incarnation = m.peers.Self().Name, m.peers.Incarnation()
	tried := 0
	for _, candidate := range candidates {
		if m.isSkipped(candidate.Name) {
			continue
		}
		asked := m.clock.Now()
		instruction, err := m.queryConductor(ctx, candidate, r)
		if err == nil {
			m.SetInstruction(order.Revision, instruction, asked.Add(holds))
			return
		}
		m.log.WithFields(logrus.Fields{"event": "conductor_silent", "service": order.Service, "order": order.Revision, "conductor": candidate.Name}).Info(err)
		m.mu.Lock()
		m.skippedUntil[candidate.Name] = m.clock.Now().Add(skipPeriod)
		m.mu.Unlock()
		if tried++; tried == maxConductorsTried {
			return
		}
	}
}

func (m *Manager) isSkipped(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Before(m.skippedUntil[name])
}

func (m *Manager) queryConductor(ctx context.Context, candidate Peer, r Report) (Instruction, error) {
	if candidate.Name == m.peers.Self().Name {
		return m.Answer(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return m.peers.Report(ctx, candidate, r)
}

// Answer processes a report as conductor. If the order is unknown here, the version is withheld.
func (m *Manager) Answer(r Report) Instruction {
	order, ordered := m.view.Rollouts().ForService(r.Service)
	if !ordered || !r.isAbout(order) {
		return Instruction{}
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.conducted[order.Revision]
	if c == nil {
		c = &conductedRollout{Conductor: NewConductor(order, m.share, now)}
		m.conducted[order.Revision] = c
		m.log.WithFields(logrus.Fields{"event": "rollout_conducted", "service": order.Service, "version": order.Version, "order": order.Revision}).Info()
	}
	c.reportAt = now
	c.AddReport(now, r)
	return c.Instruction(now)
}

// conduct advances all conducted rollouts and starts the accesses to their records.
func (m *Manager) conduct(ctx context.Context, rollouts fleet.Rollouts) {
	for _, c := range m.decideAll(rollouts) {
		m.spawn(func() { m.syncRecord(ctx, c) })
	}
}

// decideAll advances all conducted rollouts and returns those whose record is due for an access.
func (m *Manager) decideAll(rollouts fleet.Rollouts) []*conductedRollout {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []*conductedRollout
	for revision, c := range m.conducted {
		inForce, ordered := rollouts.ForService(c.Order().Service)
		switch {
		case !ordered:
			c.Withdraw()
		case inForce.Revision != revision:
			// The record now belongs to the newer order.
			delete(m.conducted, revision)
			continue
		case c.Renew(inForce):
			c.readAt = time.Time{}
		}
		if now.Sub(c.reportAt) < conductPeriod || !ordered {
			m.decide(now, c)
			if c.recordDue(now) {
				due = append(due, c)
			}
		}
		if !ordered && c.record.stateOf(c.Order()).Final() {
			delete(m.conducted, revision)
		}
	}
	return due
}

// decide advances a rollout and logs the decision.
func (m *Manager) decide(now time.Time, c *conductedRollout) {
	seen := Observation{}
	for _, p := range m.peers.Conductors(c.Order().Service) {
		seen.Instances = append(seen.Instances, p.Name)
	}
	seen.New, seen.Old = m.view.Versions(c.Order())
	if !c.Advance(now, seen) {
		return
	}
	i := c.Instruction(now)
	weight, of := c.StrongestEvidence()
	m.log.WithFields(logrus.Fields{
		"event": "rollout_step", "service": c.Order().Service, "version": c.Order().Version, "order": c.Order().Revision,
		"exposure": i.Exposure.String(), "share": i.Share, "decided": string(c.decided), "answers": c.Answers(),
		"against": weight, "measure": of, "new": seen.New, "old": seen.Old, "age_ms": now.Sub(c.orderedAt).Milliseconds(),
	}).Info()
}

// recordDue reports whether the record must be read or written now, and if so marks the access as
// started.
func (c *conductedRollout) recordDue(now time.Time) bool {
	state, due := c.PendingState()
	pause := recordReadPeriod
	if due {
		pause = recordWriteRetryDelay
	}
	if c.recording || state.Final() && !due || now.Sub(c.readAt) < pause {
		return false
	}
	c.recording, c.readAt = true, now
	return true
}

// syncRecord reads the record of a rollout and updates it if it differs from the decision.
func (m *Manager) syncRecord(ctx context.Context, c *conductedRollout) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := m.readAndUpdateRecord(ctx, c)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.recording = false
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "rollout_not_recorded", "service": c.Order().Service, "order": c.Order().Revision}).Info(err)
	}
}

func (m *Manager) readAndUpdateRecord(ctx context.Context, c *conductedRollout) error {
	order, begin := c.Order(), m.clock.Now()
	record, err := m.records.Read(ctx, order.Service)
	if err != nil {
		return err
	}
	m.setRecord(c, begin, record)
	m.mu.Lock()
	state, due := c.PendingState()
	m.mu.Unlock()
	if !due {
		return nil
	}
	revision, err := m.records.Write(ctx, order.Service, record.Revision, state, order.Version)
	if err != nil {
		return err
	}
	m.setRecord(c, begin, Record{State: state, Version: order.Version, Revision: revision})
	m.log.WithFields(logrus.Fields{"event": "rollout_recorded", "service": order.Service, "version": order.Version, "order": order.Revision, "state": string(state)}).Info()
	return nil
}

func (m *Manager) setRecord(c *conductedRollout, at time.Time, record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.record = record
	c.SetRecorded(at, record.stateOf(c.Order()))
}
