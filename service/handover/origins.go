package handover

import (
	"context"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
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
func (p *OriginPeers) Live() []origin.Peer {
	members := p.LiveMembers()
	list := make([]origin.Peer, len(members))
	for i, m := range members {
		list[i] = origin.Peer{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress, FailureDomain: m.FailureDomain}
	}
	return list
}

// Send implements origin.Peers.
func (p *OriginPeers) Send(to origin.Peer, records []origin.Record) {
	p.Gossip.SendOrigins(to.Address, records)
}

// Ask implements origin.Peers.
func (p *OriginPeers) Ask(ctx context.Context, to origin.Peer, q origin.Query) (origin.Answer, error) {
	var answer origin.Answer
	err := p.Client.Call(ctx, to.Address, api.MethodOrigin, q, &answer)
	return answer, err
}
