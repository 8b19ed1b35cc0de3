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

// ErrOvertaken says that a record was written by another since it was read.
var ErrOvertaken = errors.New("the record of the rollout was written by another instance meanwhile; read it again")

// Record is what operators are told of a service's last rollout.
type Record struct {
	State   State
	Version string
	// Revision is that of the record; 0: there is none.
	Revision uint64
}

// of is the state of an order that the record tells; empty if it is another one's.
func (r Record) of(order fleet.Rollout) State {
	if r.Revision <= order.Revision || r.Version != order.Version {
		return ""
	}
	return r.State
}

// Records are kept for operators where all instances find them.
type Records interface {
	// Read returns a service's record.
	Read(ctx context.Context, service string) (Record, error)
	// Write writes a service's record if the one before has the revision after, and returns the new revision. It fails
	// with ErrOvertaken if another one is there.
	Write(ctx context.Context, service string, after uint64, state State, version string) (uint64, error)
}

// Peer is an instance that may conduct.
type Peer struct {
	Name    string
	Address string
}

// Peers are the other instances.
type Peers interface {
	// Self is this instance, Incarnation which of its lives.
	Self() Peer
	Incarnation() uint64
	// Conductors are the instances that live, this one included, in the order in which they conduct the rollouts
	// of a service.
	Conductors(service string) []Peer
	// Report reports to a conductor.
	Report(ctx context.Context, to Peer, r Report) (Instruction, error)
}

// View is what is known of orders and endpoints.
type View interface {
	Rollouts() fleet.Rollouts
	// Versions counts the endpoints of the version of an order, and the others.
	Versions(order fleet.Rollout) (of, others int)
	// Stand has rollouts stand so.
	Stand(ctx context.Context, standings fleet.RolloutStates)
}

const (
	// look is the time between two looks at all rollouts.
	look = 100 * time.Millisecond
	// leastPeriod is the time between two reports of an instance, and eachPeriod how much longer it is for each
	// instance: one conductor answers 400 a second at most, which take a fifth of the smallest machine.
	leastPeriod = 400 * time.Millisecond
	eachPeriod  = 2500 * time.Microsecond
	// toldSlack is how much longer than two periods an instruction holds: the next one may be lost.
	toldSlack = 700 * time.Millisecond
	// reportTimeout bounds a report. Who did not answer is passed over for a while, and conductorsTried bounds
	// those that one report goes to.
	reportTimeout   = 500 * time.Millisecond
	passedOverFor   = 3 * time.Second
	conductorsTried = 3
	// readPeriod is the time between two readings of a record, writePause that between two tries to write it, and
	// recordTimeout bounds a call for it.
	readPeriod    = time.Second
	writePause    = 300 * time.Millisecond
	recordTimeout = time.Second
	// conductsFor is how long after the last report an instance conducts.
	conductsFor = 3 * time.Second
)

// Keeper takes this instance's part in all rollouts: it reports, does what it is told, and conducts those whose
// conductor it is. Safe for concurrent use.
type Keeper struct {
	*Participant
	view    View
	peers   Peers
	records Records
	// share is the part of a service's requests that a bad version may get.
	share float64
	clock clockwork.Clock
	log   *logrus.Entry

	mu         sync.Mutex
	conductors map[uint64]*conducted
	// reporting has the orders of which a report is under way, reportedAt when the last one began.
	reporting  map[uint64]bool
	reportedAt map[uint64]time.Time
	// passedOver is until when instances are passed over as conductors, by name.
	passedOver map[string]time.Time
	// begin begins a call; it does not wait for its end.
	begin func(call func())
	// stood are the standings that the view was told last; it belongs to the goroutine of Run.
	stood fleet.RolloutStates
}

// conducted is a rollout that this instance conducts.
type conducted struct {
	*Conductor
	// reportAt is when the last report came.
	reportAt time.Time
	// recording says that a call for the record is under way, readAt when the last one began.
	recording bool
	readAt    time.Time
	record    Record
}

// NewKeeper returns a keeper. A bad version may get a share of its service's requests.
func NewKeeper(view View, peers Peers, records Records, share float64, clock clockwork.Clock, log *logrus.Entry) *Keeper {
	return &Keeper{
		Participant: NewParticipant(clock),
		view:        view,
		peers:       peers,
		records:     records,
		share:       share,
		clock:       clock,
		log:         log,
		conductors:  map[uint64]*conducted{},
		reporting:   map[uint64]bool{},
		reportedAt:  map[uint64]time.Time{},
		passedOver:  map[string]time.Time{},
		begin:       func(call func()) { go call() },
	}
}

// Run takes part until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := k.clock.NewTicker(look)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			k.Look(ctx)
		}
	}
}

// Look does what is due.
func (k *Keeper) Look(ctx context.Context) {
	orders := k.view.Rollouts().Orders
	k.Know(orders)
	for _, order := range orders {
		k.reportIfDue(ctx, order)
	}
	k.conduct(ctx, orders)
	if standings := k.Standings(); !maps.Equal(standings, k.stood) {
		k.view.Stand(ctx, standings)
		k.stood = standings
	}
}

// period is the time between two reports.
func period(instances int) time.Duration {
	return max(leastPeriod, time.Duration(instances)*eachPeriod)
}

// reportIfDue begins a report.
func (k *Keeper) reportIfDue(ctx context.Context, order fleet.Rollout) {
	if k.Ended(order.Revision) {
		return
	}
	candidates := k.peers.Conductors(order.Service)
	every := period(len(candidates))
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
	k.begin(func() {
		k.report(ctx, order, candidates, 2*every+toldSlack)
		k.mu.Lock()
		delete(k.reporting, order.Revision)
		k.mu.Unlock()
	})
}

// report reports to the first candidate that answers. What that says holds for a time from when it was asked.
func (k *Keeper) report(ctx context.Context, order fleet.Rollout, candidates []Peer, holds time.Duration) {
	r, ok := k.Report(order.Revision)
	if !ok {
		return
	}
	r.Instance, r.Incarnation = k.peers.Self().Name, k.peers.Incarnation()
	tried := 0
	for _, candidate := range candidates {
		if k.isPassedOver(candidate.Name) {
			continue
		}
		asked := k.clock.Now()
		instruction, err := k.ask(ctx, candidate, r)
		if err == nil {
			k.Told(order.Revision, instruction, asked.Add(holds))
			return
		}
		k.log.WithFields(logrus.Fields{"event": "conductor_silent", "service": order.Service, "order": order.Revision, "conductor": candidate.Name}).Info(err)
		k.mu.Lock()
		k.passedOver[candidate.Name] = k.clock.Now().Add(passedOverFor)
		k.mu.Unlock()
		if tried++; tried == conductorsTried {
			return
		}
	}
}

func (k *Keeper) isPassedOver(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now().Before(k.passedOver[name])
}

func (k *Keeper) ask(ctx context.Context, candidate Peer, r Report) (Instruction, error) {
	if candidate.Name == k.peers.Self().Name {
		return k.Answer(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return k.peers.Report(ctx, candidate, r)
}

// Answer answers a report, as the conductor of its rollout. An instance that does not know of the order has the
// version withheld.
func (k *Keeper) Answer(r Report) Instruction {
	order, ordered := k.view.Rollouts().ForService(r.Service)
	if !ordered || order.Revision != r.Order {
		return Instruction{}
	}
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conductors[r.Order]
	if c == nil {
		c = &conducted{Conductor: NewConductor(order, k.share, now)}
		k.conductors[r.Order] = c
		k.log.WithFields(logrus.Fields{"event": "rollout_conducted", "service": order.Service, "version": order.Version, "order": order.Revision}).Info()
	}
	c.reportAt = now
	c.Hear(now, r)
	return c.Instruction(now)
}

// conduct decides for all rollouts that this instance conducts, and begins the calls for their records.
func (k *Keeper) conduct(ctx context.Context, orders []fleet.Rollout) {
	for _, c := range k.decideAll(orders) {
		k.begin(func() { k.keepRecord(ctx, c) })
	}
}

// decideAll decides for all rollouts that this instance conducts, and returns those whose record is to be read or
// written.
func (k *Keeper) decideAll(orders []fleet.Rollout) []*conducted {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []*conducted
	for revision, c := range k.conductors {
		inForce, ordered := fleet.Rollouts{Orders: orders}.ForService(c.Order().Service)
		switch {
		case !ordered:
			c.Withdraw()
		case inForce.Revision != revision:
			// The record is the next order's now.
			delete(k.conductors, revision)
			continue
		}
		if now.Sub(c.reportAt) < conductsFor || !ordered {
			k.decide(now, c)
			if c.recordDue(now) {
				due = append(due, c)
			}
		}
		if !ordered && c.record.of(c.Order()).Final() {
			delete(k.conductors, revision)
		}
	}
	return due
}

// decide takes the next step of a rollout, and logs it with what decided it.
func (k *Keeper) decide(now time.Time, c *conducted) {
	seen := Seen{}
	for _, p := range k.peers.Conductors(c.Order().Service) {
		seen.Instances = append(seen.Instances, p.Name)
	}
	seen.New, seen.Old = k.view.Versions(c.Order())
	if !c.Look(now, seen) {
		return
	}
	i := c.Instruction(now)
	weight, of := c.Against()
	k.log.WithFields(logrus.Fields{
		"event": "rollout_step", "service": c.Order().Service, "version": c.Order().Version, "order": c.Order().Revision,
		"exposure": i.Exposure.String(), "share": i.Share, "decided": string(c.decided), "answers": c.Answers(),
		"against": weight, "measure": of, "new": seen.New, "old": seen.Old, "age_ms": now.Sub(c.begun).Milliseconds(),
	}).Info()
}

// recordDue tells whether the record of the rollout is to be read, or written, now; it counts a call in then.
func (c *conducted) recordDue(now time.Time) bool {
	state, due := c.Due()
	pause := readPeriod
	if due {
		pause = writePause
	}
	if c.recording || state.Final() && !due || now.Sub(c.readAt) < pause {
		return false
	}
	c.recording, c.readAt = true, now
	return true
}

// keepRecord reads the record of a rollout, and writes it if it does not say what is decided.
func (k *Keeper) keepRecord(ctx context.Context, c *conducted) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := k.readAndWrite(ctx, c)
	k.mu.Lock()
	defer k.mu.Unlock()
	c.recording = false
	if err != nil {
		k.log.WithFields(logrus.Fields{"event": "rollout_not_recorded", "service": c.Order().Service, "order": c.Order().Revision}).Info(err)
	}
}

func (k *Keeper) readAndWrite(ctx context.Context, c *conducted) error {
	order, begin := c.Order(), k.clock.Now()
	record, err := k.records.Read(ctx, order.Service)
	if err != nil {
		return err
	}
	k.recorded(c, begin, record)
	k.mu.Lock()
	state, due := c.Due()
	k.mu.Unlock()
	if !due {
		return nil
	}
	revision, err := k.records.Write(ctx, order.Service, record.Revision, state, order.Version)
	if err != nil {
		return err
	}
	k.recorded(c, begin, Record{State: state, Version: order.Version, Revision: revision})
	k.log.WithFields(logrus.Fields{"event": "rollout_recorded", "service": order.Service, "version": order.Version, "order": order.Revision, "state": string(state)}).Info()
	return nil
}

func (k *Keeper) recorded(c *conducted, at time.Time, record Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.record = record
	c.Recorded(at, record.of(c.Order()))
}
