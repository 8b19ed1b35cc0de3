// Package handover routes request plans to the instance that owns their part of the stage
// endpoints, so that one planner batches the calls to each endpoint. It also serves the
// configuration and endpoint state of this instance to its peers.
//
// Each part has one owner: the instance with the latest claim (pkg/ownership). Without a claim, the
// first candidate by rendezvous hashing claims the part when it receives a plan. Ownership is
// advisory. Two owners of one part only cause smaller batches, and an isolated instance runs its
// plans itself.
package handover

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

const (
	// minSuspicion and maxSuspicion bound how long an unresponsive owner is skipped. The time
	// doubles with each consecutive failure.
	minSuspicion = 2 * time.Second
	maxSuspicion = 20 * time.Second
	// probePeriod is how long other plans skip an owner whose suspicion has expired while one
	// plan probes it.
	probePeriod = time.Second
	// joinPeriod is how long after its start an instance uses the configured contacts as owners,
	// even without heartbeats from them. Instances that start together agree on owners this way
	// before they know each other.
	joinPeriod = 1500 * time.Millisecond
	// maxPartsPerContact bounds the parts that each contact owns during that time. With more
	// parts, each starting instance plans for itself.
	maxPartsPerContact = 4
	// domainSuspectThreshold is how many suspected instances make another failure domain count as
	// unreachable.
	domainSuspectThreshold = 2
)

// suspicion is the state of an unresponsive instance.
type suspicion struct {
	until    time.Time
	duration time.Duration
	// probing is set while one plan probes the instance.
	probing bool
}

// owners chooses the owner of each part among the live members.
type owners struct {
	clock clockwork.Clock
	self  membership.Instance
	live  func() []membership.Member
	// regions maps failure domains to regions.
	regions ownership.Regions
	// contacts are the configured peer addresses. The n-th contact owns part n while it is live;
	// until joinedAt, the contacts own all parts.
	contacts []string
	joinedAt time.Time

	// leaving returns the members that are leaving; it may be nil. leftAt is when this instance
	// began to leave, nil if it has not.
	leaving func() []membership.Member
	leftAt  atomic.Pointer[time.Time]

	mu       sync.Mutex
	suspects map[string]suspicion
}

func newOwners(clock clockwork.Clock, self membership.Instance, live func() []membership.Member, contacts []string) *owners {
	return &owners{clock: clock, self: self, live: live, contacts: contacts, joinedAt: clock.Now().Add(joinPeriod), suspects: map[string]suspicion{}}
}

// owner is an instance that may own a part.
type owner struct {
	membership.Instance
	weight uint64
	// capable is set if the machine is large enough to plan for the whole cluster.
	capable bool
}

// candidates returns the peer addresses to try for a part, in order: the owner, the first instance
// of the local failure domain, and this instance itself. All instances of a partitioned failure
// domain choose the same second candidate.
//
// Contacts on capable machines come before other members, so that instances that start together
// choose the same owners before and after they know all members.
func (o *owners) candidates(part pipeline.Part) []string {
	if later := o.leavingLater(); len(later) > 0 && o.noStayingMember() {
		return []string{later[0].PeerAddress, o.self.PeerAddress}
	}
	list := o.ranked(part)
	chosen := o.contactsFor(part, list)
	if !slices.Contains(chosen, o.self.PeerAddress) {
		chosen = append(chosen, list[0].PeerAddress, firstInDomain(list[1:], o.self.FailureDomain), o.self.PeerAddress)
	}
	end := slices.Index(chosen, o.self.PeerAddress)
	chosen = unique(chosen[:end+1])
	o.startProbe(chosen[0])
	return chosen
}

// contactsFor returns the contacts that own a part. While this instance joins, these are all
// contacts in the part's order; later it is the contact of the part, if it is live and capable.
func (o *owners) contactsFor(part pipeline.Part, list []owner) []string {
	var chosen []string
	if o.clock.Now().Before(o.joinedAt) && part.Of <= maxPartsPerContact*len(o.contacts) {
		for i := range o.contacts {
			address := o.contacts[(part.Number+i)%len(o.contacts)]
			if !o.suspected(address) {
				chosen = append(chosen, address)
			}
		}
		return chosen
	}
	if part.Number < len(o.contacts) && o.regions.OfPart(part) == "" && containsCapable(list, o.contacts[part.Number]) {
		chosen = append(chosen, o.contacts[part.Number])
	}
	return chosen
}

// containsCapable reports whether the list has a capable instance with the given address.
func containsCapable(list []owner, address string) bool {
	return slices.ContainsFunc(list, func(candidate owner) bool { return candidate.PeerAddress == address && candidate.capable })
}

// firstInDomain returns the address of the first instance in a failure domain; empty if there is
// none.
func firstInDomain(list []owner, domain string) string {
	for _, candidate := range list {
		if candidate.FailureDomain == domain {
			return candidate.PeerAddress
		}
	}
	return ""
}

// unique removes duplicates, keeping the first of each.
func unique(list []string) []string {
	var kept []string
	for _, s := range list {
		if !slices.Contains(kept, s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// ranked returns this instance and all members that are not suspected, capable machines first, in
// rendezvous hashing order for a part.
func (o *owners) ranked(part pipeline.Part) []owner {
	name := strconv.Itoa(part.Number) + "/"
	list := []owner{{Instance: o.self, weight: xxhash.Sum64String(name + o.self.Name)}}
	live := o.live()
	unreachable := o.unreachableDomains(live)
	for _, m := range live {
		if !o.suspected(m.PeerAddress) && !unreachable[m.FailureDomain] {
			list = append(list, owner{Instance: m.Instance, weight: xxhash.Sum64String(name + m.Name)})
		}
	}
	rank(list)
	o.preferRegion(part, list)
	return list
}

// preferRegion moves the instances in the part's region ahead of others that are equally capable.
func (o *owners) preferRegion(part pipeline.Part, list []owner) {
	region := o.regions.OfPart(part)
	if region == "" {
		return
	}
	inRegion := func(candidate owner) bool { return o.regions.OfDomain(candidate.FailureDomain) == region }
	slices.SortStableFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.capable, a.capable), compareBool(inRegion(b), inRegion(a)))
	})
}

// outsideRegion reports whether a part is assigned to a region other than the instance's.
func (o *owners) outsideRegion(part pipeline.Part, candidate owner) bool {
	region := o.regions.OfPart(part)
	return region != "" && o.regions.OfDomain(candidate.FailureDomain) != region
}

// rank sorts instances by capability, then by weight.
func rank(list []owner) {
	machines := make([]membership.Machine, len(list))
	for i, candidate := range list {
		machines[i] = candidate.Machine
	}
	for i, able := range membership.Capable(machines) {
		list[i].capable = able
	}
	slices.SortFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.capable, a.capable), cmp.Compare(b.weight, a.weight))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int { return choose(a, 1, 0) - choose(b, 1, 0) }

// preferredOwner returns the preferred owner of a part that nobody has claimed.
func (o *owners) preferredOwner(part pipeline.Part) ownership.Owner {
	list := o.ranked(part)
	address := o.candidates(part)[0]
	for _, candidate := range list {
		if candidate.PeerAddress == address {
			return candidate.Owner()
		}
	}
	return list[0].Owner()
}

// unreachableDomains returns the other failure domains with several suspected instances.
func (o *owners) unreachableDomains(live []membership.Member) map[string]bool {
	suspects := map[string]int{}
	unreachable := map[string]bool{}
	for _, m := range live {
		if m.FailureDomain == o.self.FailureDomain || !o.suspected(m.PeerAddress) {
			continue
		}
		suspects[m.FailureDomain]++
		unreachable[m.FailureDomain] = suspects[m.FailureDomain] >= domainSuspectThreshold
	}
	return unreachable
}

func (o *owners) suspected(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clock.Now().Before(o.suspects[address].until)
}

// suspect marks an owner as unresponsive.
func (o *owners) suspect(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	s := o.suspects[address]
	if now.Before(s.until) && !s.probing {
		// Concurrent calls that fail together count once.
		return
	}
	s.probing = false
	s.duration = min(maxSuspicion, max(minSuspicion, 2*s.duration))
	s.until = now.Add(s.duration)
	o.suspects[address] = s
}

// startProbe extends the suspicion of an owner while one plan probes it, so that other plans do not
// wait for an owner that may still be down.
func (o *owners) startProbe(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.suspects[address]; ok {
		s.until = o.clock.Now().Add(probePeriod)
		s.probing = true
		o.suspects[address] = s
	}
}

// clearSuspicion clears the suspicion of an owner that responded.
func (o *owners) clearSuspicion(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.suspects, address)
}
