package handover

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

const (
	// claimRelayPeriod is how long a claim received from another instance is relayed in heartbeats.
	claimRelayPeriod = 5 * time.Second
	// maxRelayedClaims bounds the relayed claims in one heartbeat, since a datagram is limited in
	// size.
	maxRelayedClaims = 4
)

// claims is the ownership table of this instance. Safe for concurrent use.
type claims struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// onChange is called after this instance assigned or claimed a part, onLost when another
	// instance superseded its claim, and onWon when a received claim names it as the owner. None of
	// them may block.
	onChange func()
	onLost   func(ownership.Claim)
	onWon    func(ownership.Claim)
	// prefersOwner reports whether this instance keeps using owner while claimer holds a provisional
	// claim.
	prefersOwner func(owner, claimer ownership.Owner) bool

	mu      sync.Mutex
	table   *ownership.Table
	relayed []relayedClaim
}

// relayedClaim is a recently received claim of another instance, relayed until it expires.
type relayedClaim struct {
	claim ownership.Claim
	until time.Time
}

func newClaims(clock clockwork.Clock, log *logrus.Entry, self ownership.Owner) *claims {
	return &claims{clock: clock, log: log, table: ownership.NewTable(self)}
}

// holder returns the claim in force for a part, if one is known.
func (c *claims) holder(part pipeline.Part) (ownership.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Holder(part)
}

func (c *claims) owns(part pipeline.Part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Owns(part)
}

// own returns the claims of this instance.
func (c *claims) own() []ownership.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Own()
}

// holders returns the names of the instances that own at least one part of a division into the
// given number of parts.
func (c *claims) holders(parts int) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := map[string]bool{}
	for number := range parts {
		if claim, known := c.table.Holder(pipeline.Part{Number: number, Of: parts}); known {
			names[claim.Owner.Name] = true
		}
	}
	return names
}

// claim makes this instance the owner of a part and reports whether it was not the owner before.
// The claim is provisional if another owner is known. The cause is logged.
func (c *claims) claim(part pipeline.Part, cause string) bool {
	c.mu.Lock()
	if c.table.Owns(part) {
		c.mu.Unlock()
		return false
	}
	before, known := c.table.Holder(part)
	claim := c.table.Claim
	if known {
		claim = c.table.ClaimProvisionally
	}
	after := claim(part)
	c.mu.Unlock()
	c.logChange(before, after, cause)
	c.onChange()
	return true
}

// confirm turns a provisional claim of this instance into a confirmed one.
func (c *claims) confirm(part pipeline.Part) {
	c.mu.Lock()
	before, _ := c.table.Holder(part)
	confirmed := c.table.Confirm(part)
	after, _ := c.table.Holder(part)
	c.mu.Unlock()
	if confirmed {
		c.logChange(before, after, "reaches_most")
		c.onChange()
	}
}

// provisional returns a provisional claim of this instance in a division into the given number of
// parts, and the claim that it displaced. The displaced claim is zero if none is known. found is
// false if there is no provisional claim.
func (c *claims) provisional(parts int) (own, displaced ownership.Claim, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, own := range c.table.Own() {
		if own.Provisional && own.Part.Of == parts {
			displaced, _ := c.table.Displaced(own.Part)
			return own, displaced, true
		}
	}
	return ownership.Claim{}, ownership.Claim{}, false
}

// assign makes another instance the owner of a part.
func (c *claims) assign(part pipeline.Part, owner ownership.Owner, cause string) ownership.Claim {
	c.mu.Lock()
	before, _ := c.table.Holder(part)
	after := c.table.Assign(part, owner)
	c.relay(after)
	c.mu.Unlock()
	c.logChange(before, after, cause)
	c.onChange()
	return after
}

// merge merges received claims into the table and runs the callbacks for the changes. The cause is
// logged.
func (c *claims) merge(heard []ownership.Claim, cause string) {
	c.mu.Lock()
	self := c.table.Self()
	changes := c.table.Merge(heard, c.prefersOwner)
	for _, change := range changes {
		c.relay(change.After)
	}
	c.mu.Unlock()
	for _, change := range changes {
		c.logChange(change.Before, change.After, cause)
		switch self {
		case change.After.Owner:
			c.onWon(change.After)
		case change.Before.Owner:
			c.onLost(change.After)
		}
	}
}

// relay queues a claim for relaying in the next heartbeats. The caller holds c.mu.
func (c *claims) relay(claim ownership.Claim) {
	if claim.Owner == c.table.Self() {
		return
	}
	c.relayed = slices.DeleteFunc(c.relayed, func(n relayedClaim) bool { return n.claim.Part == claim.Part })
	c.relayed = append(c.relayed, relayedClaim{claim, c.clock.Now().Add(claimRelayPeriod)})
	if len(c.relayed) > maxRelayedClaims {
		c.relayed = c.relayed[len(c.relayed)-maxRelayedClaims:]
	}
}

// advertised returns the claims to advertise: those of this instance and the recently received ones.
func (c *claims) advertised() []ownership.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.table.Own()
	now := c.clock.Now()
	c.relayed = slices.DeleteFunc(c.relayed, func(n relayedClaim) bool { return now.After(n.until) })
	for _, n := range c.relayed {
		list = append(list, n.claim)
	}
	return list
}

// logChange logs an ownership change.
func (c *claims) logChange(before, after ownership.Claim, cause string) {
	c.log.WithFields(logrus.Fields{
		"event": "owner", "part": after.Part.Number, "parts": after.Part.Of, "term": after.Term, "owner": after.Owner.Name, "provisional": after.Provisional,
		"before": before.Owner.Name, "cause": cause,
	}).Info()
}
