package handover

import (
	"context"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// Permits asks other instances for calls to endpoints that name a limit for all.
type Permits struct {
	Client   *peers.Client
	Instance membership.Self
	// Stopping tells whether this instance leaves.
	Stopping func() bool
	// Members returns the others that live and do not leave, Departing those that live and leave.
	Members   func() []membership.Member
	Departing func() []membership.Member
}

var _ throttle.Peers = (*Permits)(nil)

func throttlePeer(s membership.Self) throttle.Peer {
	return throttle.Peer{Name: s.Name, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation}
}

func throttlePeers(members []membership.Member) []throttle.Peer {
	list := make([]throttle.Peer, len(members))
	for i, m := range members {
		list[i] = throttlePeer(m.Self)
	}
	return list
}

// Self implements throttle.Peers.
func (p *Permits) Self() throttle.Peer { return throttlePeer(p.Instance) }

// SelfLeaving implements throttle.Peers.
func (p *Permits) SelfLeaving() bool { return p.Stopping() }

// Live implements throttle.Peers.
func (p *Permits) Live() []throttle.Peer { return throttlePeers(p.Members()) }

// Leaving implements throttle.Peers.
func (p *Permits) Leaving() []throttle.Peer { return throttlePeers(p.Departing()) }

// RequestPermits implements throttle.Peers.
func (p *Permits) RequestPermits(ctx context.Context, to throttle.Peer, ask throttle.PermitRequest) (throttle.PermitGrant, error) {
	var grant throttle.PermitGrant
	err := p.Client.Call(ctx, to.Address, api.MethodPermits, ask, &grant)
	return grant, err
}
