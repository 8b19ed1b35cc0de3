package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

const (
	// keeperCount is the number of other instances that are told of a stream. The second is in another
	// failure domain if there is one.
	keeperCount = 2
	// maxAsked is how many instances are asked for a stream among many: the keepers, and those that are
	// keepers to an instance which knows other members.
	maxAsked = 4
	// maxAllAsked is up to how many other instances are all asked.
	maxAllAsked = 8
)

// weight is the rank of an instance for a stream by rendezvous hashing; the highest comes first.
func weight(key Key, name string) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], uint64(key))
	binary.BigEndian.PutUint64(b[8:], xxhash.Sum64String(name))
	return xxhash.Sum64(b[:])
}

// keepers returns the instances that are told of a stream.
func keepers(key Key, peers []peer.Peer) []peer.Peer {
	chosen := make([]peer.Peer, 0, keeperCount)
	first := heaviest(key, peers, func(peer.Peer) bool { return true })
	if first < 0 {
		return chosen
	}
	chosen = append(chosen, peers[first])
	second := heaviest(key, peers, func(p peer.Peer) bool { return p.FailureDomain != peers[first].FailureDomain })
	if second < 0 {
		second = heaviest(key, peers, func(p peer.Peer) bool { return p.Name != peers[first].Name })
	}
	if second >= 0 {
		chosen = append(chosen, peers[second])
	}
	return chosen
}

// heaviest returns the index of the matching peer with the highest weight, or -1 if none matches.
func heaviest(key Key, peers []peer.Peer, match func(peer.Peer) bool) int {
	best, most := -1, uint64(0)
	for i, p := range peers {
		if !match(p) {
			continue
		}
		if w := weight(key, p.Name); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

// peersToAsk returns the instances that are asked for a stream.
func peersToAsk(key Key, peers []peer.Peer) []peer.Peer {
	if len(peers) <= maxAllAsked {
		return peers
	}
	list := keepers(key, peers)
	rest := slices.DeleteFunc(slices.Clone(peers), func(p peer.Peer) bool { return slices.Contains(list, p) })
	slices.SortFunc(rest, func(a, b peer.Peer) int { return cmp.Compare(weight(key, b.Name), weight(key, a.Name)) })
	return append(list, rest[:maxAsked-len(list)]...)
}

// inDomains returns the peers in the given failure domains; nil means any.
func inDomains(domains []string, peers []peer.Peer) []peer.Peer {
	if domains == nil {
		return peers
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p peer.Peer) bool { return !slices.Contains(domains, p.FailureDomain) })
}
