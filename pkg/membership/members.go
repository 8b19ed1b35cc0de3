// Package membership keeps what an instance knows of the others: who lives, who is
// leaving, and which configuration each has in force. It is a state machine without
// I/O; heartbeats and the time are handed in.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// State of a member.
type State string

// The states.
const (
	Live State = "live"
	// Suspected: silent for too long, as several witnesses agree.
	Suspected State = "suspected"
	// Leaving: it has said so.
	Leaving State = "leaving"
)

const (
	// witnessesNeeded is how many instances must miss a member before it is
	// suspected, so that one bad link does not empty a domain.
	witnessesNeeded = 2
	// forgetFactor times the suspicion time is when a silent member is forgotten.
	forgetFactor = 10
	// bridgesOut is how many instances of other failure domains get each heartbeat.
	bridgesOut = 2
	// fewOthers is how many instances of other failure domains all get each heartbeat.
	fewOthers = 16
	// contactLife is how long an address that someone named is tried.
	contactLife = time.Minute
	// contactPause is the time between the first two heartbeats to an address that someone named, which
	// doubles up to longestContactPause: an answer comes with the next heartbeat from there, unless this
	// instance is known there already; then it comes in its turn, up to two minutes later of 295.
	contactPause        = time.Second
	longestContactPause = 4 * time.Second
	// maxKnown bounds the members named in one heartbeat, and maxKnownToNew those in one to members
	// heard for the first time, which may know nobody else. At 45 bytes each the
	// datagram stays under 900 bytes. With one alone, 155 of 295 instances that started together
	// knew fewer than 45 of the 49 of their failure domain after 14 heartbeats; with 16, all know
	// all after 7.
	maxKnown      = 1
	maxKnownToNew = 16
)

// Self is this instance as the others see it.
type Self struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	PeerAddress   string
	// Machine is what it runs on.
	Machine Machine
}

// Owner is this instance as the owner of a part.
func (s Self) Owner() ownership.Owner {
	return ownership.Owner{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress}
}

// Heartbeat is what one instance tells of itself and what it knows.
type Heartbeat struct {
	From     Self
	Sequence uint64
	Leaving  bool
	Revision uint64
	// Suspects are the instances of its failure domain that the sender misses.
	Suspects []string
	// Known are a few live instances.
	Known []Self
	// Claims say who owns parts of the stage endpoints, as far as the sender tells.
	Claims []ownership.Claim
	// Division is the one of the stage endpoints that the sender goes by.
	Division ownership.Division
	// Ends are endpoints that ended under requests which may be why.
	Ends []quarantine.Crash
	// Limits are what endpoints said last of how much they take from all instances together.
	Limits []throttle.Limit
}

// Member is what is known of one other instance.
type Member struct {
	Self
	State    State
	Revision uint64
	// Heard is when its last heartbeat came.
	Heard time.Time
	// Since is when its state last changed.
	Since    time.Time
	sequence uint64
	// witnesses are the instances that miss it, and when they last said so.
	witnesses map[string]time.Time
}

// Change is a change of a member's state.
type Change struct {
	Member Self
	// State is the new one; empty if the member was forgotten.
	State State
	// New is set if the member was not known before.
	New bool
}

// contact is an address that is tried until a heartbeat comes from there.
type contact struct {
	// until is when it is given up; the zero time: never, since the settings name it.
	until time.Time
	// next is when it gets the next heartbeat, pause the time until the one after that.
	next  time.Time
	pause time.Duration
}

func (c *contact) forever() bool { return c.until.IsZero() }

// Members is what one instance knows. Not safe for concurrent use: it belongs to
// one goroutine.
type Members struct {
	self         Self
	suspectAfter time.Duration
	members      map[string]*Member
	// greet are the addresses of members heard for the first time, which may not know
	// this instance yet; each gets the next heartbeat.
	greet []string
	// contacts are peer addresses of which no heartbeat has come yet.
	contacts map[string]*contact
	sequence uint64
	// changed says that the list has changed since Changed was asked.
	changed bool
}

// New returns the members known at the start: none, but the addresses of contacts.
func New(self Self, suspectAfter time.Duration, contacts []string) *Members {
	m := &Members{self: self, suspectAfter: suspectAfter, members: map[string]*Member{}, contacts: map[string]*contact{}}
	for _, address := range contacts {
		m.contacts[address] = &contact{}
	}
	delete(m.contacts, self.PeerAddress)
	return m
}

func (m *Members) addContact(address string, now time.Time) {
	if address == m.self.PeerAddress {
		return
	}
	c := m.contacts[address]
	switch {
	case c == nil:
		m.contacts[address] = &contact{until: now.Add(contactLife)}
	case !c.forever():
		c.until = now.Add(contactLife)
	}
}

// Observe takes in a heartbeat. It is ignored if it is of an older incarnation, or
// not newer than the last of its incarnation: datagrams are lost, doubled and
// reordered.
func (m *Members) Observe(now time.Time, h Heartbeat) []Change {
	if h.From.Name == m.self.Name {
		return nil
	}
	member := m.members[h.From.Name]
	if member != nil && stale(member, h) {
		return nil
	}
	isNew := member == nil || member.Incarnation < h.From.Incarnation
	var changes []Change
	if isNew {
		changes = m.dropSameAddress(h.From)
		delete(m.contacts, h.From.PeerAddress)
		member = &Member{Self: h.From, witnesses: map[string]time.Time{}}
		m.members[h.From.Name] = member
		m.greet = append(m.greet, h.From.PeerAddress)
	}
	before := member.State
	member.sequence = h.Sequence
	member.Heard = now
	m.changed = m.changed || isNew || h.Revision > member.Revision
	member.Revision = max(member.Revision, h.Revision)
	clear(member.witnesses)
	member.State = Live
	if h.Leaving || before == Leaving {
		member.State = Leaving
	}
	if member.State != before {
		member.Since = now
		changes = append(changes, Change{Member: member.Self, State: member.State, New: isNew})
	}
	m.changed = m.changed || len(changes) > 0
	m.hearSuspects(now, h)
	m.hearKnown(now, h)
	return changes
}

func stale(member *Member, h Heartbeat) bool {
	if h.From.Incarnation != member.Incarnation {
		return h.From.Incarnation < member.Incarnation
	}
	return h.Sequence <= member.sequence
}

// dropSameAddress forgets another member at the sender's address: that one is gone,
// and its address was given to the sender.
func (m *Members) dropSameAddress(from Self) []Change {
	for name, other := range m.members {
		if name != from.Name && other.PeerAddress == from.PeerAddress {
			delete(m.members, name)
			return []Change{{Member: other.Self}}
		}
	}
	return nil
}

// hearSuspects notes the sender as a witness for those that it misses. Witnesses are
// of the own domain, where everyone hears everyone.
func (m *Members) hearSuspects(now time.Time, h Heartbeat) {
	if h.From.FailureDomain != m.self.FailureDomain {
		return
	}
	for _, name := range h.Suspects {
		if member := m.members[name]; member != nil {
			member.witnesses[h.From.Name] = now
		}
	}
}

func (m *Members) hearKnown(now time.Time, h Heartbeat) {
	for _, known := range h.Known {
		if known.Name != m.self.Name && m.members[known.Name] == nil {
			m.addContact(known.PeerAddress, now)
		}
	}
}

// Tick finds those that have been silent for too long.
func (m *Members) Tick(now time.Time) []Change {
	var changes []Change
	for _, member := range m.sorted() {
		silence := now.Sub(member.Heard)
		if silence > forgetFactor*m.patience(member) {
			delete(m.members, member.Name)
			m.addContact(member.PeerAddress, now)
			changes = append(changes, Change{Member: member.Self})
			continue
		}
		if member.State == Live && m.suspect(now, member) {
			member.State = Suspected
			member.Since = now
			changes = append(changes, Change{Member: member.Self, State: Suspected})
		}
	}
	m.changed = m.changed || len(changes) > 0
	return changes
}

// suspect tells whether a member is to be suspected: one of the own domain if enough
// witnesses miss it, one of another domain if this instance does. That one is heard
// over few links, and only counted.
func (m *Members) suspect(now time.Time, member *Member) bool {
	if !m.misses(now, member) {
		return false
	}
	if !m.neighbour(member) {
		return true
	}
	witnesses := 1
	for _, at := range member.witnesses {
		if now.Sub(at) <= m.suspectAfter {
			witnesses++
		}
	}
	return witnesses >= min(witnessesNeeded, 1+m.possibleWitnesses(member))
}

// neighbour tells whether a member is of the own failure domain.
func (m *Members) neighbour(member *Member) bool {
	return member.FailureDomain == m.self.FailureDomain
}

// misses tells whether this instance has not heard a member for too long.
func (m *Members) misses(now time.Time, member *Member) bool {
	return now.Sub(member.Heard) > m.patience(member)
}

// patience is the silence after which a member is missed. One of another domain
// sends to bridgesOut of all others in turn, so the more there are, the longer it
// is silent.
func (m *Members) patience(member *Member) time.Duration {
	if m.neighbour(member) {
		return m.suspectAfter
	}
	out := bridges(len(m.members))
	turns := max(2, (len(m.members)+out-1)/out)
	return m.suspectAfter * time.Duration(turns)
}

// bridges is how many of the instances of other failure domains get each heartbeat.
func bridges(others int) int {
	if others <= fewOthers {
		return max(1, others)
	}
	return bridgesOut
}

// possibleWitnesses counts the others that could witness: live ones of the own domain.
func (m *Members) possibleWitnesses(member *Member) int {
	n := 0
	for _, other := range m.members {
		if other != member && other.State == Live && m.neighbour(other) {
			n++
		}
	}
	return n
}

// Message is a heartbeat, without Leaving and Revision, which the caller sets, and the addresses that it
// is sent to.
type Message struct {
	Heartbeat
	To []string
}

// Next returns what to send: a heartbeat to all of the own failure domain, a few of the others, and
// the contacts not heard yet; and one that names more members to those heard for the first time, if
// there are any. The random function returns a number in [0, n).
func (m *Members) Next(now time.Time, random func(n int) int) []Message {
	greeted := m.greet
	m.greet = nil
	messages := []Message{m.usual(now, greeted, random)}
	if len(greeted) > 0 {
		messages = append(messages, m.greeting(greeted, random))
	}
	return messages
}

// usual returns the heartbeat to those that know this instance, and to contacts, but for those that are
// greeted.
func (m *Members) usual(now time.Time, greeted []string, random func(n int) int) Message {
	m.sequence++
	h := Heartbeat{From: m.self, Sequence: m.sequence}
	var to []string
	var others []*Member
	for _, member := range m.sorted() {
		if !m.neighbour(member) {
			others = append(others, member)
			continue
		}
		to = append(to, member.PeerAddress)
		// Those suspected already are named too: others may still need a witness.
		if m.misses(now, member) {
			h.Suspects = append(h.Suspects, member.Name)
		}
	}
	for _, member := range pick(others, bridges(len(others)), random) {
		to = append(to, member.PeerAddress)
	}
	to = append(to, m.dueContacts(now)...)
	to = slices.DeleteFunc(to, func(address string) bool { return slices.Contains(greeted, address) })
	h.Known = m.some(maxKnown, random)
	return Message{h, to}
}

// greeting returns the heartbeat to those heard for the first time, which may know nobody else. Sent to
// all, and to contacts with each heartbeat, it made 297 MB of the first 14 s of 295 instances that start
// together; so it is 126 MB.
func (m *Members) greeting(to []string, random func(n int) int) Message {
	m.sequence++
	return Message{Heartbeat{From: m.self, Sequence: m.sequence, Known: m.some(maxKnownToNew, random)}, to}
}

// some returns up to n live members.
func (m *Members) some(n int, random func(n int) int) []Self {
	var some []Self
	for _, member := range pick(m.live(), n, random) {
		some = append(some, member.Self)
	}
	return some
}

// dueContacts returns the contacts that are to be tried now.
func (m *Members) dueContacts(now time.Time) []string {
	var due []string
	for address, c := range m.contacts {
		switch {
		case !c.forever() && now.After(c.until):
			delete(m.contacts, address)
		case c.forever() || !now.Before(c.next):
			c.pause = min(longestContactPause, max(contactPause, 2*c.pause))
			c.next = now.Add(c.pause)
			due = append(due, address)
		}
	}
	return due
}

// NextToAll returns a heartbeat as Next does, which names nobody, for all members that are known.
func (m *Members) NextToAll() Message {
	m.sequence++
	var to []string
	for _, member := range m.sorted() {
		to = append(to, member.PeerAddress)
	}
	return Message{Heartbeat{From: m.self, Sequence: m.sequence}, to}
}

// pick returns up to n of the members, in random order.
func pick(members []*Member, n int, random func(n int) int) []*Member {
	for i := 0; i < min(n, len(members)); i++ {
		j := i + random(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:min(n, len(members))]
}

func (m *Members) live() []*Member {
	return slices.DeleteFunc(m.sorted(), func(member *Member) bool { return member.State != Live })
}

func (m *Members) sorted() []*Member {
	list := make([]*Member, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Changed tells whether the list has changed since this was last asked, but for when its members
// were heard. At 295 instances a list made anew for each of 52 heartbeats a second would cost each
// instance 5 ms of each second (BenchmarkObserve).
func (m *Members) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// List returns copies of all members, sorted by name.
func (m *Members) List() []Member {
	var list []Member
	for _, member := range m.sorted() {
		list = append(list, *member)
	}
	return list
}

// AddContact has heartbeats sent to an address, such as one of the instance list,
// unless it is a known member's.
func (m *Members) AddContact(now time.Time, address string) {
	for _, member := range m.members {
		if member.PeerAddress == address {
			return
		}
	}
	m.addContact(address, now)
}
