package handover

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// Knowledge asks peers for what they know of configuration and endpoints.
type Knowledge struct {
	Client *peers.Client
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
