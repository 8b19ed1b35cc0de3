// Package handover hands the stages of requests over between instances, so that those of
// all instances' requests are made by one planner, and tells peers what is known of
// configuration and endpoints.
//
// For each part of the endpoints one live instance is the owner, by rendezvous hashing.
// Owning is a preference, not a right: two owners at once only send smaller batches, and an
// instance whose owner is silent makes its stages itself.
package handover

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

const (
	// endpointsPerPart is how many endpoints of each service a part has at least: with
	// fewer, pieces wait longer for one to be free.
	endpointsPerPart = 5
	// firstSuspect and lastSuspect bound how long an owner that did not answer gets no
	// plans; the time doubles with each time in a row.
	firstSuspect = 2 * time.Second
	lastSuspect  = 20 * time.Second
)

// suspicion is that of one instance.
type suspicion struct {
	until time.Time
	lasts time.Duration
}

// owners chooses the owner of each part among the live members.
type owners struct {
	clock clockwork.Clock
	self  membership.Self
	live  func() []membership.Member

	mu       sync.Mutex
	suspects map[string]suspicion
}

// partOf returns the part that a request falls to, where the least service that takes
// pieces has so many endpoints.
//
// The number of parts is a power of two, so that it seldom changes when endpoints come and
// go: instances that disagree on it send calls to endpoints that are at work for others.
func partOf(request string, endpoints int) pipeline.Part {
	of := 1
	for 2*of*endpointsPerPart <= endpoints {
		of *= 2
	}
	return pipeline.Part{Number: int(xxhash.Sum64String(request) % uint64(of)), Of: of}
}

// owner is an instance that may own a part.
type owner struct {
	address string
	weight  uint64
}

// of returns the peer addresses that a part's plans are handed to, in turn; this
// instance's own stands for the end of the list.
func (o *owners) of(part pipeline.Part) []string {
	name := strconv.Itoa(part.Number) + "/"
	list := []owner{{o.self.PeerAddress, xxhash.Sum64String(name + o.self.Name)}}
	for _, m := range o.live() {
		if !o.suspected(m.PeerAddress) {
			list = append(list, owner{m.PeerAddress, xxhash.Sum64String(name + m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b owner) int { return cmp.Compare(b.weight, a.weight) })
	addresses := make([]string, 0, len(list))
	for _, candidate := range list {
		addresses = append(addresses, candidate.address)
		if candidate.address == o.self.PeerAddress {
			break
		}
	}
	return addresses
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
	if now.Before(s.until) {
		// Several calls that were under way end together.
		return
	}
	s.lasts = min(lastSuspect, max(firstSuspect, 2*s.lasts))
	s.until = now.Add(s.lasts)
	o.suspects[address] = s
}

// trust notes that an owner answered.
func (o *owners) trust(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.suspects, address)
}
