// Package handover hands the stages of requests over between instances, so that those of
// all instances' requests are made by one planner, and tells peers what is known of
// configuration and endpoints.
//
// For each part of the endpoints one live instance is the owner: the one that claimed it last
// (pkg/ownership), and where none has, the first by rendezvous hashing, which claims it when it
// is handed the first plan. Owning is a preference, not a right: two owners at once only send
// smaller batches, and an instance that reaches no other makes its stages itself.
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
	// firstSuspect and lastSuspect bound how long an owner that did not answer gets no
	// plans; the time doubles with each time in a row.
	firstSuspect = 2 * time.Second
	lastSuspect  = 20 * time.Second
	// trialLasts is how long one plan tries an owner whose suspicion has ended, while
	// all others still pass it over.
	trialLasts = time.Second
	// joining is how long after its start an instance takes the contacts of its settings
	// for the owners, though it has not heard of them: others that start with it know no
	// more members than it does.
	joining = 1500 * time.Millisecond
	// partsPerContact is how many parts a contact can own meanwhile. Where there are more,
	// instances that start together plan for themselves at first.
	partsPerContact = 4
	// suspectsOfDomain is how many suspected instances of another failure domain make the
	// others of it be passed over too.
	suspectsOfDomain = 2
)

// suspicion is that of one instance.
type suspicion struct {
	until time.Time
	lasts time.Duration
	// trying says that one plan tries the instance, though it is suspected.
	trying bool
}

// owners chooses the owner of each part among the live members.
type owners struct {
	clock clockwork.Clock
	self  membership.Self
	live  func() []membership.Member
	// regions has the region of each failure domain.
	regions ownership.Regions
	// contacts own the first parts, one each while it lives, and until joined all parts.
	contacts []string
	joined   time.Time

	// leaving returns the members that live but leave; nil: none. leftAt is when this instance
	// began to leave; the zero time if it does not.
	leaving func() []membership.Member
	leftAt  atomic.Pointer[time.Time]

	mu       sync.Mutex
	suspects map[string]suspicion
}

func newOwners(clock clockwork.Clock, self membership.Self, live func() []membership.Member, contacts []string) *owners {
	return &owners{clock: clock, self: self, live: live, contacts: contacts, joined: clock.Now().Add(joining), suspects: map[string]suspicion{}}
}

// owner is an instance that may own a part.
type owner struct {
	membership.Self
	weight uint64
	// able says that its machine is able to work for all others.
	able bool
}

// candidates returns the peer addresses that a plan is handed to, in turn, until one
// answers: the owner, then the one that is first in the own failure domain, which all
// instances choose that are cut off together. This instance's own stands for the end.
//
// Contacts that are able are owners before others, so that instances that start together, and
// know nobody else yet, choose the same owners at first as later.
func (o *owners) candidates(part pipeline.Part) []string {
	if later := o.leavingLater(); len(later) > 0 && o.noneStays() {
		return []string{later[0].PeerAddress, o.self.PeerAddress}
	}
	list := o.ranked(part)
	chosen := o.contactsFor(part, list)
	if !slices.Contains(chosen, o.self.PeerAddress) {
		chosen = append(chosen, list[0].PeerAddress, firstOf(list[1:], o.self.FailureDomain), o.self.PeerAddress)
	}
	end := slices.Index(chosen, o.self.PeerAddress)
	chosen = unique(chosen[:end+1])
	o.try(chosen[0])
	return chosen
}

// contactsFor returns the contacts that own a part: while this instance joins, all in the
// part's order; later the one whose part it is, if it ranks and is able.
func (o *owners) contactsFor(part pipeline.Part, list []owner) []string {
	var chosen []string
	if o.clock.Now().Before(o.joined) && part.Of <= partsPerContact*len(o.contacts) {
		for i := range o.contacts {
			address := o.contacts[(part.Number+i)%len(o.contacts)]
			if !o.suspected(address) {
				chosen = append(chosen, address)
			}
		}
		return chosen
	}
	if part.Number < len(o.contacts) && o.regions.Of(part) == "" && ranks(list, o.contacts[part.Number]) {
		chosen = append(chosen, o.contacts[part.Number])
	}
	return chosen
}

func ranks(list []owner, address string) bool {
	return slices.ContainsFunc(list, func(candidate owner) bool { return candidate.PeerAddress == address && candidate.able })
}

// firstOf returns the address of the first of a failure domain; empty if there is none.
func firstOf(list []owner, domain string) string {
	for _, candidate := range list {
		if candidate.FailureDomain == domain {
			return candidate.PeerAddress
		}
	}
	return ""
}

// unique removes what stands in a list before.
func unique(list []string) []string {
	var kept []string
	for _, s := range list {
		if !slices.Contains(kept, s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// ranked returns this instance and all members that are not suspected: those that are able first,
// by their weight for a part.
func (o *owners) ranked(part pipeline.Part) []owner {
	name := strconv.Itoa(part.Number) + "/"
	list := []owner{{Self: o.self, weight: xxhash.Sum64String(name + o.self.Name)}}
	live := o.live()
	silent := o.silentDomains(live)
	for _, m := range live {
		if !o.suspected(m.PeerAddress) && !silent[m.FailureDomain] {
			list = append(list, owner{Self: m.Self, weight: xxhash.Sum64String(name + m.Name)})
		}
	}
	rank(list)
	o.preferRegion(part, list)
	return list
}

// preferRegion sorts those of the part's region before others that are as able.
func (o *owners) preferRegion(part pipeline.Part, list []owner) {
	region := o.regions.Of(part)
	if region == "" {
		return
	}
	here := func(candidate owner) bool { return o.regions.In(candidate.FailureDomain) == region }
	slices.SortStableFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.able, a.able), compareBool(here(b), here(a)))
	})
}

// elsewhere tells whether an instance stands in another region than a part that is cut by region.
func (o *owners) elsewhere(part pipeline.Part, candidate owner) bool {
	region := o.regions.Of(part)
	return region != "" && o.regions.In(candidate.FailureDomain) != region
}

// rank sorts instances: those that are able first, by their weight.
func rank(list []owner) {
	machines := make([]membership.Machine, len(list))
	for i, candidate := range list {
		machines[i] = candidate.Machine
	}
	for i, able := range membership.Able(machines) {
		list[i].able = able
	}
	slices.SortFunc(list, func(a, b owner) int {
		return cmp.Or(compareBool(b.able, a.able), cmp.Compare(b.weight, a.weight))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int { return choose(a, 1, 0) - choose(b, 1, 0) }

// first returns the instance that would own a part.
func (o *owners) first(part pipeline.Part) ownership.Owner {
	list := o.ranked(part)
	address := o.candidates(part)[0]
	for _, candidate := range list {
		if candidate.PeerAddress == address {
			return candidate.Owner()
		}
	}
	return list[0].Owner()
}

// silentDomains returns the other failure domains of which several are suspected.
func (o *owners) silentDomains(live []membership.Member) map[string]bool {
	suspects := map[string]int{}
	silent := map[string]bool{}
	for _, m := range live {
		if m.FailureDomain == o.self.FailureDomain || !o.suspected(m.PeerAddress) {
			continue
		}
		suspects[m.FailureDomain]++
		silent[m.FailureDomain] = suspects[m.FailureDomain] >= suspectsOfDomain
	}
	return silent
}

func (o *owners) suspected(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clock.Now().Before(o.suspects[address].until)
}

// suspect notes that an owner did not answer.
func (o *owners) suspect(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	s := o.suspects[address]
	if now.Before(s.until) && !s.trying {
		// Several calls that were under way end together.
		return
	}
	s.trying = false
	s.lasts = min(lastSuspect, max(firstSuspect, 2*s.lasts))
	s.until = now.Add(s.lasts)
	o.suspects[address] = s
}

// try has one plan alone try an owner that was suspected: the others pass it over for a
// while longer, so that they do not all wait for it if it is still silent.
func (o *owners) try(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.suspects[address]; ok {
		s.until = o.clock.Now().Add(trialLasts)
		s.trying = true
		o.suspects[address] = s
	}
}

// trust notes that an owner answered.
func (o *owners) trust(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.suspects, address)
}
