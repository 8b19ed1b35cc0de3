// Package membership tracks the state of the other instances from their heartbeats: which are live,
// suspected or leaving, and the configuration revision of each. It is a state machine without I/O;
// heartbeats and the time are passed in.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

// State is the state of a member.
type State string

// States of a member.
const (
	Live State = "live"
	// Suspected members have sent no heartbeat for too long. In the local failure domain this must
	// be confirmed by other witnesses.
	Suspected State = "suspected"
	// Leaving members have announced their shutdown.
	Leaving State = "leaving"
)

const (
	// witnessesNeeded is how many instances must miss a member before it is suspected, so that one
	// bad link has no effect.
	witnessesNeeded = 2
	// forgetFactor times the suspicion timeout is the silence after which a member is removed.
	forgetFactor = 10
	// crossDomainFanout is the number of random instances of other failure domains that get each
	// heartbeat.
	crossDomainFanout = 2
	// maxFullFanout is up to how many instances of other failure domains all get each heartbeat.
	maxFullFanout = 16
	// contactTTL is how long an address learned from a peer is tried.
	contactTTL = time.Minute
	// minContactInterval is the time between the first two heartbeats to an address learned from a
	// peer. It doubles up to maxContactInterval, since an instance that already knows this one may
	// take long to send it a heartbeat.
	minContactInterval = time.Second
	maxContactInterval = 4 * time.Second
	// maxKnown bounds the members listed in a heartbeat, and maxKnownInGreeting those listed in a
	// heartbeat to new members, which may know nobody else. The larger list makes membership
	// converge quickly after many instances start together, and still fits into one unfragmented
	// datagram: at 45 bytes each it stays under 900 bytes. With one listed member, 155 of 295
	// instances that started together knew fewer than 45 of the 49 in their failure domain after 14
	// heartbeats; with 16, all knew all after 7.
	maxKnown           = 1
	maxKnownInGreeting = 16
)

// Instance describes an instance in its own heartbeats.
type Instance struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	PeerAddress   string
	Machine       Machine
}

// Owner returns this instance as the owner of a part.
func (s Instance) Owner() ownership.Owner {
	return ownership.Owner{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress}
}

// Heartbeat is the periodic message of an instance.
type Heartbeat struct {
	From     Instance
	Sequence uint64
	Leaving  bool
	Revision uint64
	// ConfigVersion is the operator's version of the configuration of Revision, or 0 if unknown.
	ConfigVersion uint64
	// Suspects are the members of the sender's failure domain from which it misses heartbeats.
	Suspects []string
	// Known are a few live members.
	Known []Instance
	// Claims are the ownership claims that the sender advertises.
	Claims []ownership.Claim
	// Division is the division of the stage endpoints that the sender uses.
	Division ownership.Division
	// Ends are failed endpoints with the requests that may have caused the failures.
	Ends []quarantine.Crash
	// Limits are the rate limits for all instances together that endpoints reported last.
	Limits []throttle.Limit
}

// Member is the state of another instance.
type Member struct {
	Instance
	State    State
	Revision uint64
	// ConfigVersion is the operator's version of the configuration, or 0 if unknown.
	ConfigVersion uint64
	// LastHeartbeat is when the last heartbeat was received.
	LastHeartbeat time.Time
	// StateSince is when the state last changed.
	StateSince time.Time
	sequence   uint64
	// witnesses maps the instances that miss the member to the time of their last report.
	witnesses map[string]time.Time
}

// Change is a change of a member's state.
type Change struct {
	Member Instance
	// State is the new state; empty if the member was removed.
	State State
	// New is set if the member was unknown before.
	New bool
}

// contact is an address that gets heartbeats until one is received from it.
type contact struct {
	// until is when the address is dropped. It is zero for configured addresses, which are kept.
	until time.Time
	// next is when the next heartbeat is due, pause the time until the one after that.
	next     time.Time
	interval time.Duration
}

func (c *contact) permanent() bool { return c.until.IsZero() }

// Members is the member list of one instance. Not safe for concurrent use.
type Members struct {
	self         Instance
	suspectAfter time.Duration
	members      map[string]*Member
	// pendingGreetings has the addresses of new members, which may not know this instance yet. Each
	// gets the next heartbeat.
	pendingGreetings []string
	// contacts are the peer addresses from which no heartbeat has been received yet.
	contacts map[string]*contact
	sequence uint64
	// changed is set if the list has changed since the last call of Changed.
	changed bool
}

// New returns an empty member list that sends heartbeats to the given contacts.
func New(self Instance, suspectAfter time.Duration, contacts []string) *Members {
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
		m.contacts[address] = &contact{until: now.Add(contactTTL)}
	case !c.permanent():
		c.until = now.Add(contactTTL)
	}
}

// Observe processes a heartbeat. It ignores heartbeats of older incarnations, and those that are
// duplicated or reordered.
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
		member = &Member{Instance: h.From, witnesses: map[string]time.Time{}}
		m.members[h.From.Name] = member
		m.pendingGreetings = append(m.pendingGreetings, h.From.PeerAddress)
	}
	before := member.State
	member.sequence = h.Sequence
	member.LastHeartbeat = now
	m.changed = m.changed || isNew || h.Revision != member.Revision || h.ConfigVersion != member.ConfigVersion
	member.Revision, member.ConfigVersion = h.Revision, h.ConfigVersion
	clear(member.witnesses)
	member.State = Live
	if h.Leaving || before == Leaving {
		member.State = Leaving
	}
	if member.State != before {
		member.StateSince = now
		changes = append(changes, Change{Member: member.Instance, State: member.State, New: isNew})
	}
	m.changed = m.changed || len(changes) > 0
	m.recordWitness(now, h)
	m.addKnown(now, h)
	return changes
}

func stale(member *Member, h Heartbeat) bool {
	if h.From.Incarnation != member.Incarnation {
		return h.From.Incarnation < member.Incarnation
	}
	return h.Sequence <= member.sequence
}

// dropSameAddress removes another member with the sender's address, which has been reassigned to
// the sender.
func (m *Members) dropSameAddress(from Instance) []Change {
	for name, other := range m.members {
		if name != from.Name && other.PeerAddress == from.PeerAddress {
			delete(m.members, name)
			return []Change{{Member: other.Instance}}
		}
	}
	return nil
}

// recordWitness records the sender as a witness against the members that it suspects. Witnesses must
// be in the local failure domain, in which all instances exchange heartbeats.
func (m *Members) recordWitness(now time.Time, h Heartbeat) {
	if h.From.FailureDomain != m.self.FailureDomain {
		return
	}
	for _, name := range h.Suspects {
		if member := m.members[name]; member != nil {
			member.witnesses[h.From.Name] = now
		}
	}
}

func (m *Members) addKnown(now time.Time, h Heartbeat) {
	for _, known := range h.Known {
		if known.Name != m.self.Name && m.members[known.Name] == nil {
			m.addContact(known.PeerAddress, now)
		}
	}
}

// Tick suspects and removes members that have been silent for too long.
func (m *Members) Tick(now time.Time) []Change {
	var changes []Change
	for _, member := range m.sorted() {
		silence := now.Sub(member.LastHeartbeat)
		if silence > forgetFactor*m.timeout(member) {
			delete(m.members, member.Name)
			m.addContact(member.PeerAddress, now)
			changes = append(changes, Change{Member: member.Instance})
			continue
		}
		if member.State == Live && m.shouldSuspect(now, member) {
			member.State = Suspected
			member.StateSince = now
			changes = append(changes, Change{Member: member.Instance, State: Suspected})
		}
	}
	m.changed = m.changed || len(changes) > 0
	return changes
}

// shouldSuspect reports whether to shouldSuspect a member. A member of the local failure domain
// needs several witnesses; for other failure domains, which send few heartbeats here, this
// instance's own view is sufficient.
func (m *Members) shouldSuspect(now time.Time, member *Member) bool {
	if !m.isMissing(now, member) {
		return false
	}
	if !m.inOwnDomain(member) {
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

// inOwnDomain reports whether a member is in the local failure domain.
func (m *Members) inOwnDomain(member *Member) bool {
	return member.FailureDomain == m.self.FailureDomain
}

// isMissing reports whether a member has been silent for longer than its timeout.
func (m *Members) isMissing(now time.Time, member *Member) bool {
	return now.Sub(member.LastHeartbeat) > m.timeout(member)
}

// timeout returns the silence after which a member is missed. Members of other failure domains
// send each heartbeat to only a few instances here, so their timeout grows with the cluster.
func (m *Members) timeout(member *Member) time.Duration {
	if m.inOwnDomain(member) {
		return m.suspectAfter
	}
	out := fanout(len(m.members))
	turns := max(2, (len(m.members)+out-1)/out)
	return m.suspectAfter * time.Duration(turns)
}

// fanout returns the number of instances of other failure domains that get each heartbeat.
func fanout(others int) int {
	if others <= maxFullFanout {
		return max(1, others)
	}
	return crossDomainFanout
}

// possibleWitnesses returns the number of other live members in the local failure domain.
func (m *Members) possibleWitnesses(member *Member) int {
	n := 0
	for _, other := range m.members {
		if other != member && other.State == Live && m.inOwnDomain(other) {
			n++
		}
	}
	return n
}

// Message is a heartbeat with its recipients. The caller sets Leaving and Revision.
type Message struct {
	Heartbeat
	To []string
}

// Next returns the heartbeats to send now. The regular one goes to the local failure domain, a few
// members of others and unanswered contacts; a second one with a longer member list goes to new
// members. random returns a number in [0, n).
func (m *Members) Next(now time.Time, random func(n int) int) []Message {
	greeted := m.pendingGreetings
	m.pendingGreetings = nil
	messages := []Message{m.regular(now, greeted, random)}
	if len(greeted) > 0 {
		messages = append(messages, m.greeting(greeted, random))
	}
	return messages
}

// regular returns the regular heartbeat, without the recipients that get a greeting.
func (m *Members) regular(now time.Time, greeted []string, random func(n int) int) Message {
	m.sequence++
	h := Heartbeat{From: m.self, Sequence: m.sequence}
	var to []string
	var others []*Member
	for _, member := range m.sorted() {
		if !m.inOwnDomain(member) {
			others = append(others, member)
			continue
		}
		to = append(to, member.PeerAddress)
		// Suspected members are included, since others may still need a witness.
		if m.isMissing(now, member) {
			h.Suspects = append(h.Suspects, member.Name)
		}
	}
	for _, member := range pick(others, fanout(len(others)), random) {
		to = append(to, member.PeerAddress)
	}
	to = append(to, m.dueContacts(now)...)
	to = slices.DeleteFunc(to, func(address string) bool { return slices.Contains(greeted, address) })
	h.Known = m.sample(maxKnown, random)
	return Message{h, to}
}

// greeting returns the heartbeat to new members, which may know nobody else. Only they get the
// longer member list, to limit traffic when many instances start together: sent to all, it took
// 297 MB in the first 14 s of 295 instances, and 126 MB this way.
func (m *Members) greeting(to []string, random func(n int) int) Message {
	m.sequence++
	return Message{Heartbeat{From: m.self, Sequence: m.sequence, Known: m.sample(maxKnownInGreeting, random)}, to}
}

// sample returns up to n random live members.
func (m *Members) sample(n int, random func(n int) int) []Instance {
	var some []Instance
	for _, member := range pick(m.live(), n, random) {
		some = append(some, member.Instance)
	}
	return some
}

// dueContacts returns the contacts whose next heartbeat is due.
func (m *Members) dueContacts(now time.Time) []string {
	var due []string
	for address, c := range m.contacts {
		switch {
		case !c.permanent() && now.After(c.until):
			delete(m.contacts, address)
		case c.permanent() || !now.Before(c.next):
			c.interval = min(maxContactInterval, max(minContactInterval, 2*c.interval))
			c.next = now.Add(c.interval)
			due = append(due, address)
		}
	}
	return due
}

// Broadcast returns a heartbeat to all members, without a member list.
func (m *Members) Broadcast() Message {
	m.sequence++
	var to []string
	for _, member := range m.sorted() {
		to = append(to, member.PeerAddress)
	}
	return Message{Heartbeat{From: m.self, Sequence: m.sequence}, to}
}

// pick returns up to n random members.
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

// Changed reports whether the list has changed since the last call, apart from heartbeat times.
// Callers use it to avoid copying the list for every heartbeat: at 295 instances with 52 heartbeats a
// second that would take 5 ms of processor time per second (BenchmarkObserve).
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

// AddContact starts to send heartbeats to an address, unless it belongs to a member.
func (m *Members) AddContact(now time.Time, address string) {
	for _, member := range m.members {
		if member.PeerAddress == address {
			return
		}
	}
	m.addContact(address, now)
}
