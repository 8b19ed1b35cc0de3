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
	// Tell has a heartbeat sent at once.
	Tell func()
}

var _ discovery.Peers = (*Knowledge)(nil)

// State implements discovery.Peers: it asks one of the peers, another each time.
func (k *Knowledge) State(ctx context.Context, newerThan uint64) (discovery.Known, error) {
	addresses := k.Contacts
	if live := k.Live(); len(live) > 0 {
		addresses = nil
		for _, m := range live {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return discovery.Known{}, problem.New(problem.Unavailable, "name some peers in the settings", "no peer is known")
	}
	var known api.StateResponse
	err := k.Client.Call(ctx, addresses[rand.IntN(len(addresses))], api.MethodState, api.StateRequest{NewerThan: newerThan, AcceptsPacked: true}, &known)
	if err == nil {
		err = unpack(known.PackedEndpoints, &known.State.Endpoints)
	}
	for i, e := range known.State.Endpoints {
		known.State.Endpoints[i] = fleet.Told(e)
	}
	return known.Known, err
}

// Relays implements discovery.Peers: in a failure domain with many instances, the first two of
// those that are able, by rendezvous hashing, relay to the others. The first watches the source; the
// second follows the first, and watches the source when that one does not answer. Others ask the
// first of another failure domain before they do, another for each, so that the source is not
// watched by a whole domain whose relays are slow: 48 instances there, one call each 1.5 s.
func (k *Knowledge) Relays() []string {
	live := k.Live()
	domain := k.ranked(live, k.Self.FailureDomain)
	if len(domain) <= fewInDomain {
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

// ranked returns the instances of a failure domain in the order in which they relay.
func (k *Knowledge) ranked(live []membership.Member, domain string) []owner {
	var list []owner
	if domain == k.Self.FailureDomain {
		list = append(list, owner{Self: k.Self, weight: relayWeight(k.Self)})
	}
	for _, m := range live {
		if m.FailureDomain == domain {
			list = append(list, owner{Self: m.Self, weight: relayWeight(m.Self)})
		}
	}
	rank(list)
	return list
}

// otherDomain returns a failure domain of other instances, chosen by this one's name; empty if there
// is none.
func (k *Knowledge) otherDomain(live []membership.Member) string {
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

func relayWeight(s membership.Self) uint64 { return xxhash.Sum64String("relay/" + s.Name) }

// Relay implements discovery.Peers.
func (k *Knowledge) Relay(ctx context.Context, relay string, selection discovery.RelaySelect) (discovery.Relayed, error) {
	var relayed api.RelayResponse
	call := api.RelayRequest{Since: selection.Since, DocumentRevision: selection.Document, Evacuations: selection.Evacuations, Rollouts: selection.Rollouts, WaitMs: selection.Wait.Milliseconds(), AcceptsPacked: true}
	err := k.Client.Call(ctx, relay, api.MethodFollow, call, &relayed)
	if err == nil {
		err = unpack(relayed.PackedChanges, &relayed.Changes.Endpoints)
	}
	for i, c := range relayed.Changes.Endpoints {
		relayed.Changes.Endpoints[i].Endpoint = fleet.Told(c.Endpoint)
	}
	return relayed.Relayed, err
}

// Holders implements discovery.Peers: those of the own failure domain come first, and among
// them those with the newest document; the rest is left to chance, so that all are asked.
func (k *Knowledge) Holders(newerThan uint64) []string {
	var holders []membership.Member
	for _, m := range k.Live() {
		if m.Revision > newerThan {
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
func (k *Knowledge) Piece(ctx context.Context, peer string, selection discovery.PieceSelect) (discovery.Piece, error) {
	selection.Asker = k.Self.Name
	var piece discovery.Piece
	err := k.Client.Call(ctx, peer, api.MethodPiece, selection, &piece)
	return piece, err
}

// Announce implements discovery.Peers.
func (k *Knowledge) Announce() { k.Tell() }
