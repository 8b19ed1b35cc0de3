package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
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

// Peer is another instance.
type Peer struct {
	Name          string
	Incarnation   uint64
	Address       string
	FailureDomain string
}

// ranked returns the peers in the order of their weight for a stream, with the first one of another
// failure domain than the first in second place.
func ranked(key Key, peers []Peer) []Peer {
	type weighed struct {
		Peer
		weight uint64
	}
	list := make([]weighed, len(peers))
	for i, p := range peers {
		list[i] = weighed{p, weight(key, p.Name)}
	}
	slices.SortFunc(list, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	order := make([]Peer, len(list))
	for i, w := range list {
		order[i] = w.Peer
	}
	second := slices.IndexFunc(order, func(p Peer) bool { return p.FailureDomain != order[0].FailureDomain })
	if second > 1 {
		other := order[second]
		order = slices.Insert(slices.Delete(order, second, second+1), 1, other)
	}
	return order
}

func weight(key Key, name string) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(key))
	return xxhash.Sum64String(string(b[:]) + name)
}

// keepers returns the instances that are told of a stream.
func keepers(key Key, peers []Peer) []Peer {
	order := ranked(key, peers)
	return order[:min(keeperCount, len(order))]
}

// asked returns the instances that are asked for a stream.
func asked(key Key, peers []Peer) []Peer {
	if len(peers) <= maxAllAsked {
		return peers
	}
	return ranked(key, peers)[:maxAsked]
}

// within returns the peers in the given failure domains; nil means any.
func within(domains []string, peers []Peer) []Peer {
	if domains == nil {
		return peers
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !slices.Contains(domains, p.FailureDomain) })
}
