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
)

// ErrConflict is returned if another instance has written the record since it was read.
var ErrConflict = errors.New("another instance has written the rollout record since it was read; read it again")

// Record is the stored outcome of a service's last rollout, shown to operators.
type Record struct {
	State   State
	Version string
	// Revision is the revision of the record; 0 if there is none.
	Revision uint64
}

// stateOf returns the recorded state of an order, or an empty state if the record is about another
// order.
func (r Record) stateOf(order fleet.Rollout) State {
	if r.Revision <= order.Revision || r.Version != order.Version {
		return ""
	}
	return r.State
}

// Records stores rollout records where all instances find them.
type Records interface {
	// Read returns the record of a service.
	Read(ctx context.Context, service string) (Record, error)
	// Write replaces the record of a service if it still has the revision after, and returns the
	// new revision. Otherwise it fails with ErrOvertaken.
	Write(ctx context.Context, service string, after uint64, state State, version string) (uint64, error)
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
	SetStandings(ctx context.Context, standings fleet.Standings)
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
	conducted map[uint64]*conductedRollout
	// reporting contains the orders with a report in flight; reportedAt is the start of the last
	// report.
	reporting  map[uint64]bool
	reportedAt map[uint64]time.Time
	// skippedUntil is the time until which a conductor is skipped, by name.
	skippedUntil map[string]time.Time
	// spawn runs a call without waiting for it.
	spawn func(call func())
	// lastStandings are the standings last passed to the view. Only the goroutine of Run uses it.
	lastStandings fleet.Standings
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

// NewManager returns a Keeper. share limits the fraction of a service's requests for a bad version.
func NewManager(view View, peers Peers, records Records, share float64, clock clockwork.Clock, log *logrus.Entry) *Manager {
	return &Manager{
		Participant:  NewParticipant(clock),
		view:         view,
		peers:        peers,
		records:      records,
		share:        share,
		clock:        clock,
		log:          log,
		conducted:    map[uint64]*conductedRollout{},
		reporting:    map[uint64]bool{},
		reportedAt:   map[uint64]time.Time{},
		skippedUntil: map[string]time.Time{},
		spawn:        func(call func()) { go call() },
	}
}

// Run polls until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	ticker := k.clock.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			k.Poll(ctx)
		}
	}
}

// Poll sends due reports, advances the conducted rollouts and updates the view.
func (k *Manager) Poll(ctx context.Context) {
	orders := k.view.Rollouts().Orders
	k.SetOrders(orders)
	for _, order := range orders {
		k.reportIfDue(ctx, order)
	}
	k.conduct(ctx, orders)
	if standings := k.Standings(); !maps.Equal(standings, k.lastStandings) {
		k.view.SetStandings(ctx, standings)
		k.lastStandings = standings
	}
}

// reportPeriod returns the time between two reports of an instance.
func reportPeriod(instances int) time.Duration {
	return max(minReportPeriod, time.Duration(instances)*reportPeriodPerInstance)
}

// reportIfDue starts a report if it is due.
func (k *Manager) reportIfDue(ctx context.Context, order fleet.Rollout) {
	if k.Finished(order.Revision) {
		return
	}
	candidates := k.peers.Conductors(order.Service)
	every := reportPeriod(len(candidates))
	now := k.clock.Now()
	k.mu.Lock()
	due := !k.reporting[order.Revision] && now.Sub(k.reportedAt[order.Revision]) >= every
	if due {
		k.reporting[order.Revision], k.reportedAt[order.Revision] = true, now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	k.spawn(func() {
		k.sendReport(ctx, order, candidates, 2*every+instructionSlack)
		k.mu.Lock()
		delete(k.reporting, order.Revision)
		k.mu.Unlock()
	})
}

// sendReport reports to the first conductor that replies. The instruction is valid for the given
// time from the start of the call.
func (k *Manager) sendReport(ctx context.Context, order fleet.Rollout, candidates []Peer, holds time.Duration) {
	r, ok := k.Report(order.Revision)
	if !ok {
		return
	}
	r.Instance, r.Incarnation = k.peers.Self().Name, k.peers.Incarnation()
	tried := 0
	for _, candidate := range candidates {
		if k.isSkipped(candidate.Name) {
			continue
		}
		asked := k.clock.Now()
		instruction, err := k.queryConductor(ctx, candidate, r)
		if err == nil {
			k.SetInstruction(order.Revision, instruction, asked.Add(holds))
			return
		}
		k.log.WithFields(logrus.Fields{"event": "conductor_silent", "service": order.Service, "order": order.Revision, "conductor": candidate.Name}).Info(err)
		k.mu.Lock()
		k.skippedUntil[candidate.Name] = k.clock.Now().Add(skipPeriod)
		k.mu.Unlock()
		if tried++; tried == maxConductorsTried {
			return
		}
	}
}

func (k *Manager) isSkipped(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now().Before(k.skippedUntil[name])
}

func (k *Manager) queryConductor(ctx context.Context, candidate Peer, r Report) (Instruction, error) {
	if candidate.Name == k.peers.Self().Name {
		return k.Answer(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return k.peers.Report(ctx, candidate, r)
}

// Answer processes a report as conductor. If the order is unknown here, the version is withheld.
func (k *Manager) Answer(r Report) Instruction {
	order, ordered := k.view.Rollouts().Of(r.Service)
	if !ordered || order.Revision != r.Order {
		return Instruction{}
	}
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conducted[r.Order]
	if c == nil {
		c = &conductedRollout{Conductor: NewConductor(order, k.share, now)}
		k.conducted[r.Order] = c
		k.log.WithFields(logrus.Fields{"event": "rollout_conducted", "service": order.Service, "version": order.Version, "order": order.Revision}).Info()
	}
	c.reportAt = now
	c.AddReport(now, r)
	return c.Instruction(now)
}

// conduct advances all conducted rollouts and starts the accesses to their records.
func (k *Manager) conduct(ctx context.Context, orders []fleet.Rollout) {
	for _, c := range k.decideAll(orders) {
		k.spawn(func() { k.syncRecord(ctx, c) })
	}
}

// decideAll advances all conducted rollouts and returns those whose record is due for an access.
func (k *Manager) decideAll(orders []fleet.Rollout) []*conductedRollout {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []*conductedRollout
	for revision, c := range k.conducted {
		inForce, ordered := fleet.Rollouts{Orders: orders}.Of(c.Order().Service)
		switch {
		case !ordered:
			c.Withdraw()
		case inForce.Revision != revision:
			// The record now belongs to the newer order.
			delete(k.conducted, revision)
			continue
		}
		if now.Sub(c.reportAt) < conductPeriod || !ordered {
			k.decide(now, c)
			if c.recordDue(now) {
				due = append(due, c)
			}
		}
		if !ordered && c.record.stateOf(c.Order()).Final() {
			delete(k.conducted, revision)
		}
	}
	return due
}

// decide advances a rollout and logs the decision.
func (k *Manager) decide(now time.Time, c *conductedRollout) {
	seen := Observation{}
	for _, p := range k.peers.Conductors(c.Order().Service) {
		seen.Instances = append(seen.Instances, p.Name)
	}
	seen.New, seen.Old = k.view.Versions(c.Order())
	if !c.Advance(now, seen) {
		return
	}
	i := c.Instruction(now)
	weight, of := c.StrongestEvidence()
	k.log.WithFields(logrus.Fields{
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
func (k *Manager) syncRecord(ctx context.Context, c *conductedRollout) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := k.readAndUpdateRecord(ctx, c)
	k.mu.Lock()
	defer k.mu.Unlock()
	c.recording = false
	if err != nil {
		k.log.WithFields(logrus.Fields{"event": "rollout_not_recorded", "service": c.Order().Service, "order": c.Order().Revision}).Info(err)
	}
}

func (k *Manager) readAndUpdateRecord(ctx context.Context, c *conductedRollout) error {
	order, begin := c.Order(), k.clock.Now()
	record, err := k.records.Read(ctx, order.Service)
	if err != nil {
		return err
	}
	k.setRecord(c, begin, record)
	k.mu.Lock()
	state, due := c.PendingState()
	k.mu.Unlock()
	if !due {
		return nil
	}
	revision, err := k.records.Write(ctx, order.Service, record.Revision, state, order.Version)
	if err != nil {
		return err
	}
	k.setRecord(c, begin, Record{State: state, Version: order.Version, Revision: revision})
	k.log.WithFields(logrus.Fields{"event": "rollout_recorded", "service": order.Service, "version": order.Version, "order": order.Revision, "state": string(state)}).Info()
	return nil
}

func (k *Manager) setRecord(c *conductedRollout, at time.Time, record Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.record = record
	c.SetRecorded(at, record.stateOf(c.Order()))
}
