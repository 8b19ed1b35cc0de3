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
	// newsFor is how long a claim of another instance is passed on after it was heard of;
	// maxNews bounds how many are at a time, by the size of a heartbeat (about 50 bytes each).
	newsFor = 5 * time.Second
	maxNews = 4
)

// claims is the table of owners, guarded for the goroutines of requests. Safe for concurrent
// use.
type claims struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// changed is called when this instance decided who owns a part, lost when it was superseded,
	// and won when it hears that it owns one. None may block.
	changed func()
	lost    func(ownership.Claim)
	won     func(ownership.Claim)
	// staysWith tells whether plans still go to an owner though another claims its part provisionally.
	staysWith func(owner, claimer ownership.Owner) bool

	mu    sync.Mutex
	table *ownership.Table
	news  []news
}

// news is a claim of another instance that was heard of lately.
type news struct {
	claim ownership.Claim
	until time.Time
}

func newClaims(clock clockwork.Clock, log *logrus.Entry, self ownership.Owner) *claims {
	return &claims{clock: clock, log: log, table: ownership.NewTable(self)}
}

// holder returns the claim that holds for a part, as far as is known.
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

// holders returns the names of the instances that own a part of so many.
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

// claim makes this instance the owner of a part, provisionally if another is known to own it, and tells
// whether it was not the owner before. The cause is for the log.
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
	c.note(before, after, cause)
	c.changed()
	return true
}

// confirm makes a provisional claim of this instance a certain one.
func (c *claims) confirm(part pipeline.Part) {
	c.mu.Lock()
	before, _ := c.table.Holder(part)
	confirmed := c.table.Confirm(part)
	after, _ := c.table.Holder(part)
	c.mu.Unlock()
	if confirmed {
		c.note(before, after, "reaches_most")
		c.changed()
	}
}

// provisional returns a provisional claim of this instance of a division into so many, and the claim that it
// displaced, whose owner is the zero one if none is known; false if there is no such claim.
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
	c.pass(after)
	c.mu.Unlock()
	c.note(before, after, cause)
	c.changed()
	return after
}

// hear takes in what others tell.
func (c *claims) hear(heard []ownership.Claim, cause string) {
	c.mu.Lock()
	self := c.table.Self()
	changes := c.table.Hear(heard, c.staysWith)
	for _, change := range changes {
		c.pass(change.After)
	}
	c.mu.Unlock()
	for _, change := range changes {
		c.note(change.Before, change.After, cause)
		switch self {
		case change.After.Owner:
			c.won(change.After)
		case change.Before.Owner:
			c.lost(change.After)
		}
	}
}

// pass notes a claim that the others are told of for a while.
func (c *claims) pass(claim ownership.Claim) {
	if claim.Owner == c.table.Self() {
		return
	}
	c.news = slices.DeleteFunc(c.news, func(n news) bool { return n.claim.Part == claim.Part })
	c.news = append(c.news, news{claim, c.clock.Now().Add(newsFor)})
	if len(c.news) > maxNews {
		c.news = c.news[len(c.news)-maxNews:]
	}
}

// told returns what the others are told: the claims of this instance, and news.
func (c *claims) told() []ownership.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := c.table.Own()
	now := c.clock.Now()
	c.news = slices.DeleteFunc(c.news, func(n news) bool { return now.After(n.until) })
	for _, n := range c.news {
		told = append(told, n.claim)
	}
	return told
}

// note logs a change of a part's owner.
func (c *claims) note(before, after ownership.Claim, cause string) {
	c.log.WithFields(logrus.Fields{
		"event": "owner", "part": after.Part.Number, "parts": after.Part.Of, "term": after.Term, "owner": after.Owner.Name, "provisional": after.Provisional,
		"before": before.Owner.Name, "cause": cause,
	}).Info()
}
