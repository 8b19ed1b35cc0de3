package rollout

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Participant tracks one instance's calls and instructions for all rollouts. It is safe for
// concurrent use.
type Participant struct {
	clock clockwork.Clock

	mu sync.Mutex
	// inFlight counts calls in flight by service and version.
	inFlight map[string]map[string]callCounts
	// participations contains the state of each order in force, by revision.
	participations map[revision.Revision]*participation
}

// participation is the instance's state for one order.
type participation struct {
	order fleet.Rollout
	// knownSince is when the instance learned of the order.
	knownSince  time.Time
	tally       Tally
	instruction Instruction
	// validUntil is when the instruction expires.
	validUntil time.Time
	// recordLost is set if the source was restored since the final state was recorded, so that the
	// record may be lost.
	recordLost bool
}

// callCounts counts the calls in flight: all, and those that can resume elsewhere if their endpoint
// stops.
type callCounts struct{ all, movable int }

// NewParticipant returns a Participant without orders.
func NewParticipant(clock clockwork.Clock) *Participant {
	return &Participant{clock: clock, inFlight: map[string]map[string]callCounts{}, participations: map[revision.Revision]*participation{}}
}

// Call is a call in flight.
type Call struct {
	participant *Participant
	service     string
	version     string
	movable     bool
}

// Begin registers a call to an endpoint. A movable call can resume elsewhere if the endpoint stops.
func (p *Participant) Begin(e fleet.Endpoint, movable bool) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &Call{participant: p, service: e.Service, version: e.Version, movable: movable}
	p.count(c, 1)
	return c
}

// count changes the number of calls in flight.
func (p *Participant) count(c *Call, by int) {
	versions := p.inFlight[c.service]
	if versions == nil {
		versions = map[string]callCounts{}
		p.inFlight[c.service] = versions
	}
	now := versions[c.version]
	now.all += by
	if c.movable {
		now.movable += by
	}
	versions[c.version] = now
	if now.all == 0 {
		delete(versions, c.version)
	}
}

// End unregisters the call and counts its sample; nil if the call says nothing about the endpoint.
func (c *Call) End(s *Sample) {
	p := c.participant
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(c, -1)
	if s == nil {
		return
	}
	for _, known := range p.participations {
		if known.order.Service == c.service {
			known.tally.Add(*s, known.order.Version == c.version)
		}
	}
}

// SetOrders sets the orders in force and drops all others.
func (p *Participant) SetOrders(orders []fleet.Rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[revision.Revision]*participation, len(orders))
	for _, order := range orders {
		before := p.participations[order.Revision]
		if before == nil {
			before = &participation{order: order, knownSince: p.clock.Now(), tally: NewTally()}
		}
		if order.ListedAt().InLaterEraThan(before.order.ListedAt()) {
			before.recordLost = true
		}
		before.order = order
		known[order.Revision] = before
	}
	p.participations = known
}

// Report returns the report for an order, without the instance's identity.
func (p *Participant) Report(order revision.Revision) (Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.participations[order]
	if known == nil {
		return Report{}, false
	}
	now := p.clock.Now()
	left := p.oldCalls(known.order)
	proven := known.standing(now).Exposure == fleet.Proven
	return Report{
		Service:    known.order.Service,
		Version:    known.order.Version,
		Order:      order,
		At:         known.order.ListedAt(),
		AgeMs:      now.Sub(known.knownSince).Milliseconds(),
		State:      known.instruction.State,
		RecordLost: known.instruction.Recorded && known.recordLost,
		Step:       known.instruction.Step,
		Tally:      known.tally.clone(),
		Clear:      proven && left.all == 0,
		Movable:    proven && left.all == left.movable,
	}, true
}

// oldCalls returns the calls in flight at versions other than the ordered one.
func (p *Participant) oldCalls(order fleet.Rollout) callCounts {
	var left callCounts
	for version, r := range p.inFlight[order.Service] {
		if version != order.Version {
			left.all += r.all
			left.movable += r.movable
		}
	}
	return left
}

// SetInstruction applies an instruction of the conductor, valid until the given time.
func (p *Participant) SetInstruction(order revision.Revision, i Instruction, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.participations[order]
	if known != nil && i.Recorded {
		known.recordLost = false
	}
	if known == nil || known.instruction.Recorded || known.instruction.State == Reverted && !i.Recorded {
		// A decision is final; it is replaced only by the recorded state.
		return
	}
	// A new conductor may not know the current step yet.
	i.Step = max(i.Step, known.instruction.Step)
	known.instruction, known.validUntil = i, until
}

// awaitPeriod is how long the first instruction for an order is awaited.
const awaitPeriod = 5 * time.Second

// AwaitsInstruction reports whether the first instruction for an order may still arrive. A newly started
// instance withholds a version until told that it is proven.
func (p *Participant) AwaitsInstruction(order fleet.Rollout) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.participations[order.Revision]
	return known == nil || p.clock.Since(known.knownSince) < awaitPeriod
}

// standing returns the standing of the rollout. Instructions expire, because a later one that
// refutes the version may have been lost.
func (p *participation) standing(now time.Time) fleet.RolloutState {
	forGood := p.instruction.Recorded || p.instruction.State == Reverted
	if !forGood && now.After(p.validUntil) {
		return fleet.RolloutState{}
	}
	return fleet.RolloutState{Exposure: p.instruction.Exposure, Share: p.instruction.Share}
}

// Standings returns the standings of all rollouts.
func (p *Participant) Standings() fleet.RolloutStates {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	standings := make(fleet.RolloutStates, len(p.participations))
	for order, known := range p.participations {
		standings[order] = known.standing(now)
	}
	return standings
}

// Finished reports whether the final state of an order is recorded and known here.
func (p *Participant) Finished(order revision.Revision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.participations[order]
	return known != nil && known.instruction.Recorded && !known.recordLost
}
