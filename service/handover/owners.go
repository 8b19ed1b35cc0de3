// Package handover hands pieces over between instances, so that the pieces of all
// instances' requests wait together at one of them, and tells peers what is known of
// configuration and endpoints.
//
// For each queue one live instance is the owner, by rendezvous hashing. Owning is a
// preference, not a right: two owners at once only send smaller batches, and an instance
// whose owner is silent has its pieces made itself.
package handover

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
)

const (
	// endpointsPerQueue is how many endpoints one owner serves at most.
	endpointsPerQueue = 8
	// suspectFor is how long an owner that did not answer gets no pieces.
	suspectFor = 2 * time.Second
)

// owners chooses the owner of each queue among the live members.
type owners struct {
	clock clockwork.Clock
	self  membership.Self
	live  func() []membership.Member

	mu       sync.Mutex
	suspects map[string]time.Time
}

// queueOf returns the queue of a request's pieces at a service with so many endpoints.
func queueOf(service, request string, endpoints int) batch.Queue {
	parts := (endpoints + endpointsPerQueue - 1) / endpointsPerQueue
	if parts <= 1 {
		return batch.Queue{Service: service}
	}
	return batch.Queue{Service: service, Part: int(xxhash.Sum64String(request) % uint64(parts)), Parts: parts}
}

// owner is an instance that may own a queue.
type owner struct {
	address string
	weight  uint64
}

// of returns the peer addresses that a queue's pieces are handed to, in turn; this
// instance's own stands for the end of the list.
func (o *owners) of(queue batch.Queue) []string {
	name := queue.Service + "/" + strconv.Itoa(queue.Part) + "/"
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
	until, ok := o.suspects[address]
	if ok && !o.clock.Now().Before(until) {
		delete(o.suspects, address)
		return false
	}
	return ok
}

func (o *owners) suspect(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspects[address] = o.clock.Now().Add(suspectFor)
}
