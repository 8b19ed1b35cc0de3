package handover

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// relaysPerDomain is how many instances of a failure domain relay configuration changes to
	// the others.
	relaysPerDomain = 2
	// maxDirectWatchers is the largest failure domain in which every instance watches the source
	// itself.
	maxDirectWatchers = 4
)

// DiscoveryPeers implements discovery.Peers: it fetches configuration and endpoint state from peers.
type DiscoveryPeers struct {
	Client *peers.Client
	Self   membership.Instance
	Live   func() []membership.Member
	// Configured are the addresses to use while no member is known.
	Configured []string
	// SendHeartbeat triggers a heartbeat.
	SendHeartbeat func()
}

var _ discovery.Peers = (*DiscoveryPeers)(nil)

// State implements discovery.Peers. It asks a random peer.
func (k *DiscoveryPeers) State(ctx context.Context, newerThan revision.Revision) (discovery.PeerState, error) {
	addresses := k.Contacts()
	if len(addresses) == 0 {
		return discovery.PeerState{}, problem.New(problem.Unavailable, "name some peers in the settings", "no peer is known")
	}
	var known api.StateResponse
	err := k.Client.Call(ctx, addresses[rand.IntN(len(addresses))], api.MethodState, api.StateRequest{NewerThan: newerThan, AcceptsPacked: true}, &known)
	if err == nil {
		err = unpack(known.PackedEndpoints, &known.State.Endpoints)
	}
	for i, e := range known.State.Endpoints {
		known.State.Endpoints[i] = fleet.RestoreEntry(e)
	}
	return known.PeerState, err
}

// Contacts implements discovery.Peers. The configured addresses are the same for all instances and may
// include this one, which must not take itself for a peer.
func (k *DiscoveryPeers) Contacts() []string {
	live := k.Live()
	if len(live) == 0 {
		return slices.DeleteFunc(slices.Clone(k.Configured), func(address string) bool { return address == k.Self.PeerAddress })
	}
	addresses := make([]string, 0, len(live))
	for _, m := range live {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// Relays implements discovery.Peers. In a large failure domain, the first two instances by
// rendezvous hashing, capable machines first, relay to the others. The first relay watches the
// source; the second follows the first and falls back to the source.
//
// All other instances also try the first relay of another failure domain before the source. If the
// relays of a domain are slow, the source would otherwise be watched by the whole domain: 48
// instances with one call each 1.5 s.
func (k *DiscoveryPeers) Relays() []string {
	live := k.Live()
	domain := k.ranked(live, k.Self.FailureDomain)
	if len(domain) <= maxDirectWatchers {
		return nil
	}
	var relays []string
	for _, member := range domain[:relaysPerDomain] {
		if member.Name == k.Self.Name {
			break
		}
		relays = append(relays, member.PeerAddress)
	}
	if len(relays) == 0 {
		return nil
	}
	if other := k.otherDomain(live); other != "" {
		relays = append(relays, k.ranked(live, other)[0].PeerAddress)
	}
	return relays
}

// ranked returns the instances of a failure domain in relay order.
func (k *DiscoveryPeers) ranked(live []membership.Member, domain string) []owner {
	var list []owner
	if domain == k.Self.FailureDomain {
		list = append(list, owner{Instance: k.Self, weight: relayWeight(k.Self)})
	}
	for _, m := range live {
		if m.FailureDomain == domain {
			list = append(list, owner{Instance: m.Instance, weight: relayWeight(m.Instance)})
		}
	}
	rank(list)
	return list
}

// otherDomain returns another failure domain, chosen by rendezvous hashing on this instance's name;
// empty if there is none.
func (k *DiscoveryPeers) otherDomain(live []membership.Member) string {
	best, most := "", uint64(0)
	for _, m := range live {
		if m.FailureDomain == k.Self.FailureDomain || m.FailureDomain == best {
			continue
		}
		if weight := xxhash.Sum64String(k.Self.Name + "/" + m.FailureDomain); best == "" || weight > most {
			best, most = m.FailureDomain, weight
		}
	}
	return best
}

func relayWeight(s membership.Instance) uint64 { return xxhash.Sum64String("relay/" + s.Name) }

// Relay implements discovery.Peers.
func (k *DiscoveryPeers) Relay(ctx context.Context, relay string, selection discovery.RelayRequest) (discovery.RelayResponse, error) {
	var relayed api.RelayResponse
	call := api.RelayRequest{Since: selection.Since, DocumentRevision: selection.Document.Revision, DocumentVersion: selection.Document.Version, Evacuations: selection.Evacuations, Rollouts: selection.Rollouts, WaitMs: selection.Wait.Milliseconds(), AcceptsPacked: true}
	err := k.Client.Call(ctx, relay, api.MethodFollow, call, &relayed)
	if err == nil {
		err = unpack(relayed.PackedChanges, &relayed.Changes.Endpoints)
	}
	for i, c := range relayed.Changes.Endpoints {
		relayed.Changes.Endpoints[i].Endpoint = fleet.RestoreEntry(c.Endpoint)
	}
	return relayed.RelayResponse, err
}

// Holders implements discovery.Peers. Peers of the same failure domain come first, newer documents
// before older ones; ties are in random order to spread the load.
func (k *DiscoveryPeers) Holders(wanted func(discovery.DocumentID) bool) []string {
	var holders []membership.Member
	for _, m := range k.Live() {
		if wanted(discovery.DocumentID{Version: m.ConfigVersion, Revision: revision.Revision(m.Revision)}) {
			holders = append(holders, m)
		}
	}
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	slices.SortStableFunc(holders, func(a, b membership.Member) int {
		if ours := a.FailureDomain == k.Self.FailureDomain; ours != (b.FailureDomain == k.Self.FailureDomain) {
			if ours {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Revision, a.Revision)
	})
	addresses := make([]string, 0, len(holders))
	for _, m := range holders {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// Piece implements discovery.Peers.
func (k *DiscoveryPeers) Piece(ctx context.Context, peer string, selection discovery.PieceRequest) (discovery.Piece, error) {
	selection.Asker = k.Self.Name
	var piece discovery.Piece
	err := k.Client.Call(ctx, peer, api.MethodPiece, selection, &piece)
	return piece, err
}

// Announce implements discovery.Peers.
func (k *DiscoveryPeers) Announce() { k.SendHeartbeat() }
