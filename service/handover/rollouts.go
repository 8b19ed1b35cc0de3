package handover

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

// RolloutPeers implements rollout.Peers: it sends rollout reports to the instances that conduct
// rollouts.
type RolloutPeers struct {
	Client   *peers.Client
	Instance membership.Instance
	Live     func() []membership.Member
}

var _ rollout.Peers = (*RolloutPeers)(nil)

// Self implements rollout.Peers.
func (c *RolloutPeers) Self() rollout.Peer {
	return rollout.Peer{Name: c.Instance.Name, Address: c.Instance.PeerAddress}
}

// Incarnation implements rollout.Peers.
func (c *RolloutPeers) Incarnation() uint64 { return c.Instance.Incarnation }

// Conductors implements rollout.Peers. Instances on capable machines come first, in rendezvous
// hashing order.
func (c *RolloutPeers) Conductors(service string) []rollout.Peer {
	weight := func(s membership.Instance) uint64 { return xxhash.Sum64String("rollout/" + service + "/" + s.Name) }
	list := []owner{{Instance: c.Instance, weight: weight(c.Instance)}}
	for _, m := range c.Live() {
		list = append(list, owner{Instance: m.Instance, weight: weight(m.Instance)})
	}
	rank(list)
	conductors := make([]rollout.Peer, len(list))
	for i, o := range list {
		conductors[i] = rollout.Peer{Name: o.Name, Address: o.PeerAddress}
	}
	return conductors
}

// Report implements rollout.Peers.
func (c *RolloutPeers) Report(ctx context.Context, to rollout.Peer, r rollout.Report) (rollout.Instruction, error) {
	var i rollout.Instruction
	err := c.Client.Call(ctx, to.Address, api.MethodRollout, r, &i)
	return i, err
}
