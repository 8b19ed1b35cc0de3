package handover

import (
	"context"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// OriginPeers implements origin.Peers: it tells other instances which software version began a stream,
// and asks them.
type OriginPeers struct {
	Client *peers.Client
	Gossip *peers.Gossip
	// LiveMembers returns the other live members that are not leaving.
	LiveMembers func() []membership.Member
}

var _ origin.Peers = (*OriginPeers)(nil)

// Live implements origin.Peers.
func (p *OriginPeers) Live() []peer.Peer { return peersOf(p.LiveMembers()) }

// Send implements origin.Peers.
func (p *OriginPeers) Send(to peer.Peer, records []origin.Record) {
	p.Gossip.SendOrigins(to.Address, records)
}

// Ask implements origin.Peers.
func (p *OriginPeers) Ask(ctx context.Context, to peer.Peer, q origin.Query) (origin.Answer, error) {
	var answer origin.Answer
	err := p.Client.Call(ctx, to.Address, api.MethodOrigin, q, &answer)
	return answer, err
}
