package handover

import (
	"context"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// ThrottlePeers implements throttle.Peers: it requests permits for endpoints that have a limit
// shared by all instances.
type ThrottlePeers struct {
	Client   *peers.Client
	Instance membership.Instance
	// IsLeaving reports whether this instance is leaving.
	IsLeaving func() bool
	// LiveMembers returns the other live members that are not leaving, Departing those that are.
	LiveMembers    func() []membership.Member
	LeavingMembers func() []membership.Member
}

var _ throttle.Peers = (*ThrottlePeers)(nil)

// Self implements throttle.Peers.
func (p *ThrottlePeers) Self() peer.Peer { return peerOf(p.Instance) }

// SelfLeaving implements throttle.Peers.
func (p *ThrottlePeers) SelfLeaving() bool { return p.IsLeaving() }

// Live implements throttle.Peers.
func (p *ThrottlePeers) Live() []peer.Peer { return peersOf(p.LiveMembers()) }

// Leaving implements throttle.Peers.
func (p *ThrottlePeers) Leaving() []peer.Peer { return peersOf(p.LeavingMembers()) }

// RequestPermits implements throttle.Peers.
func (p *ThrottlePeers) RequestPermits(ctx context.Context, to peer.Peer, ask throttle.PermitRequest) (throttle.PermitGrant, error) {
	var grant throttle.PermitGrant
	err := p.Client.Call(ctx, to.Address, api.MethodPermits, ask, &grant)
	return grant, err
}
