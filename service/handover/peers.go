package handover

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

func peerOf(i membership.Instance) peer.Peer {
	return peer.Peer{Name: i.Name, Incarnation: i.Incarnation, Address: i.PeerAddress, FailureDomain: i.FailureDomain}
}

func peersOf(members []membership.Member) []peer.Peer {
	list := make([]peer.Peer, len(members))
	for i, m := range members {
		list[i] = peerOf(m.Instance)
	}
	return list
}
