package handover

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// relaysPerDomain is how many instances of a failure domain relay to the others; the
	// second follows the first. fewInDomain is how many instances all watch it themselves.
	relaysPerDomain = 2
	fewInDomain     = 4
)

// Knowledge asks peers for what they know of configuration and endpoints.
type Knowledge struct {
	Client *peers.Client
	Self   membership.Self
	Live   func() []membership.Member
	// Contacts are asked while no member is known.
	Contacts []string
}

var _ discovery.Peers = (*Knowledge)(nil)

// State implements discovery.Peers: it asks one of the peers, another each time.
func (k *Knowledge) State(ctx context.Context, newerThan uint64) (discovery.State, time.Duration, error) {
	addresses := k.Contacts
	if live := k.Live(); len(live) > 0 {
		addresses = nil
		for _, m := range live {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return discovery.State{}, 0, problem.New(problem.Unavailable, "name some peers in the settings", "no peer is known")
	}
	var known api.KnownState
	err := k.Client.Call(ctx, addresses[rand.IntN(len(addresses))], api.MethodState, api.StateSelect{NewerThan: newerThan}, &known)
	return known.State, time.Duration(known.AgeMs) * time.Millisecond, err
}

// Relays implements discovery.Peers: in a failure domain with many instances, the first two
// by rendezvous hashing relay to the others. The first watches the source; the second
// follows the first, and watches the source when that one does not answer.
func (k *Knowledge) Relays() []string {
	domain := []membership.Self{k.Self}
	for _, m := range k.Live() {
		if m.FailureDomain == k.Self.FailureDomain {
			domain = append(domain, m.Self)
		}
	}
	if len(domain) <= fewInDomain {
		return nil
	}
	slices.SortFunc(domain, func(a, b membership.Self) int {
		return cmp.Compare(xxhash.Sum64String("relay/"+b.Name), xxhash.Sum64String("relay/"+a.Name))
	})
	var relays []string
	for _, member := range domain[:relaysPerDomain] {
		if member.Name == k.Self.Name {
			return relays
		}
		relays = append(relays, member.PeerAddress)
	}
	return relays
}

// Relay implements discovery.Peers.
func (k *Knowledge) Relay(ctx context.Context, relay string, since uint64, wait time.Duration) (discovery.Changes, time.Duration, error) {
	var relayed api.Relayed
	err := k.Client.Call(ctx, relay, api.MethodRelay, api.RelaySelect{Since: since, WaitMs: wait.Milliseconds()}, &relayed)
	if err == nil && relayed.Gone {
		err = discovery.ErrHistoryGone
	}
	return relayed.Changes, time.Duration(relayed.AgeMs) * time.Millisecond, err
}
