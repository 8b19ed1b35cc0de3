package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// holder is an endpoint that is expected to have a prefix of the shared parts of a prompt cached.
type holder struct {
	endpoint *fleet.Endpoint
	// tokens is the length of the prefix.
	tokens int
	// rank is the weight of the endpoint in the rendezvous hashing of the last shared part.
	rank uint64
}

// longer reports whether a holder is preferred to another as a source. Of holders of the same prefix,
// the rank selects different ones for different prompts.
func (h *holder) longer(other *holder) bool {
	if h.tokens != other.tokens {
		return h.tokens > other.tokens
	}
	return h.rank > other.rank
}

// fetchHolders returns the endpoints where this instance has recorded at least minFetchTokens of the
// shared parts and from which others can fetch them.
func (b *Balancer) fetchHolders(now time.Time, usable []fleet.Endpoint, spec CallSpec) []holder {
	shared := spec.Parts[:len(spec.Parts)-1]
	text := spec.rankPrefix()
	var holders []holder
	for i := range usable {
		e := &usable[i]
		tokens := b.peek(e.ID).cache.cachedTokens(shared)
		if tokens < minFetchTokens || spec.Exclude[e.ID] || !b.canServeFetch(now, e) {
			continue
		}
		holders = append(holders, holder{endpoint: e, tokens: tokens, rank: xxhash.Sum64(append(text, e.ID...))})
	}
	return holders
}

// longestHolder returns the preferred holder for an engine, or nil if there is none.
func (s *CallSpec) longestHolder(e *fleet.Endpoint) *holder {
	var longest *holder
	for i := range s.holders {
		h := &s.holders[i]
		if canFetch(e, h.endpoint) && (longest == nil || h.longer(longest)) {
			longest = h
		}
	}
	return longest
}
