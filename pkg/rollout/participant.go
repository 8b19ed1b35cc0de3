package rollout

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Participant is what one instance sees and is told of rollouts. Safe for concurrent use.
type Participant struct {
	clock clockwork.Clock

	mu sync.Mutex
	// underWay counts the calls by service and version.
	underWay map[string]map[string]running
	// part is what is known of each order in force, by its revision.
	part map[uint64]*part
}

// part is an instance's part in one rollout.
type part struct {
	order fleet.Rollout
	// since is when the order was heard of.
	since time.Time
	tally Tally
	told  Instruction
	// until is until when what was told holds.
	until time.Time
}

// running counts the calls under way at a version's endpoints: all, and those that go on elsewhere if the
// endpoint stops.
type running struct{ all, movable int }

// NewParticipant returns one that knows of no rollout.
func NewParticipant(clock clockwork.Clock) *Participant {
	return &Participant{clock: clock, underWay: map[string]map[string]running{}, part: map[uint64]*part{}}
}

// Call is a call that is under way at an endpoint.
type Call struct {
	participant *Participant
	service     string
	version     string
	movable     bool
}

// Begin counts a call in that goes to an endpoint. A movable one may go on elsewhere if the endpoint stops.
func (p *Participant) Begin(e fleet.Endpoint, movable bool) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &Call{participant: p, service: e.Service, version: e.Version, movable: movable}
	p.count(c, 1)
	return c
}

// count counts a call in or out.
func (p *Participant) count(c *Call, by int) {
	versions := p.underWay[c.service]
	if versions == nil {
		versions = map[string]running{}
		p.underWay[c.service] = versions
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

// End counts the call out. The sample says what became of it; nil: nothing that tells of the endpoint.
func (c *Call) End(s *Sample) {
	p := c.participant
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(c, -1)
	if s == nil {
		return
	}
	for _, known := range p.part {
		if known.order.Service == c.service {
			known.tally.Add(*s, known.order.Version == c.version)
		}
	}
}

// Know takes in which orders are in force, and forgets all others.
func (p *Participant) Know(orders []fleet.Rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[uint64]*part, len(orders))
	for _, order := range orders {
		known[order.Revision] = p.part[order.Revision]
		if known[order.Revision] == nil {
			known[order.Revision] = &part{order: order, since: p.clock.Now(), tally: NewTally()}
		}
	}
	p.part = known
}

// Report is what the instance has to report of an order; it names no instance.
func (p *Participant) Report(order uint64) (Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.part[order]
	if known == nil {
		return Report{}, false
	}
	now := p.clock.Now()
	left := p.left(known.order)
	proven := known.standing(now).Exposure == fleet.Proven
	return Report{
		Service: known.order.Service,
		Version: known.order.Version,
		Order:   order,
		AgeMs:   now.Sub(known.since).Milliseconds(),
		State:   known.told.State,
		Step:    known.told.Step,
		Tally:   known.tally.clone(),
		Clear:   proven && left.all == 0,
		Movable: proven && left.all == left.movable,
	}, true
}

// left are the calls under way at endpoints of other versions than an order's.
func (p *Participant) left(order fleet.Rollout) running {
	var left running
	for version, r := range p.underWay[order.Service] {
		if version != order.Version {
			left.all += r.all
			left.movable += r.movable
		}
	}
	return left
}

// Told takes in what the conductor of an order has instructed, and until when that holds.
func (p *Participant) Told(order uint64, i Instruction, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.part[order]
	if known == nil || known.told.Recorded || known.told.State == Reverted && !i.Recorded {
		// What is decided stays; only the record goes before a decision.
		return
	}
	// A conductor that has just started knows of no step.
	i.Step = max(i.Step, known.told.Step)
	known.told, known.until = i, until
}

// awaitedFor is how long after an order was heard of word of it is waited for.
const awaitedFor = 5 * time.Second

// Awaits tells whether word of an order may come soon: it was heard of not long ago. An instance that has just
// started has a version withheld that was proven long ago.
func (p *Participant) Awaits(order fleet.Rollout) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.part[order.Revision]
	return known == nil || p.clock.Since(known.since) < awaitedFor
}

// standing is how the rollout stands here. What was told holds for a while only: the next word may not get
// through, and say that the version is bad.
func (k *part) standing(now time.Time) fleet.RolloutState {
	forGood := k.told.Recorded || k.told.State == Reverted
	if !forGood && now.After(k.until) {
		return fleet.RolloutState{}
	}
	return fleet.RolloutState{Exposure: k.told.Exposure, Share: k.told.Share}
}

// Standings are how all rollouts stand here.
func (p *Participant) Standings() fleet.RolloutStates {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	standings := make(fleet.RolloutStates, len(p.part))
	for order, known := range p.part {
		standings[order] = known.standing(now)
	}
	return standings
}

// Ended tells whether the last word of an order is recorded, and known here.
func (p *Participant) Ended(order uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.part[order]
	return known != nil && known.told.Recorded
}
