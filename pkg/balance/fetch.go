package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// An engine can fetch the shared parts of a prompt from another engine that has them cached, which
// takes a few milliseconds where prefill takes tens. The source is the engine where this instance has
// recorded the longest prefix of them (holders.go). If it has recorded none, the source is the
// affinity target of the parts: all instances agree on it without exchanging what engines have
// cached, and send requests there first. A source that does not have the parts costs nothing but the
// prefill.

const (
	// minFetchTokens is the least number of shared tokens that an engine fetches. A smaller transfer
	// costs more than the prefill.
	minFetchTokens = 256
	// fetchOverhead is the time of a transfer apart from that of its bytes.
	fetchOverhead = 2 * time.Millisecond
	// maxTransfer bounds the expected time of a transfer, so that extreme figures of the
	// configuration do not overflow a duration.
	maxTransfer = 10 * time.Second
	bitsPerByte = 8
	// bitsPerMegabit converts link rates.
	bitsPerMegabit = 1e6
)

// Fetch describes the transfer of cached prompt parts between engines. The zero value disables it.
type Fetch struct {
	// TokenBytes is the size of one token in the KV cache.
	TokenBytes float64
	// LinkMbps is the rate of an engine's link in megabits per second.
	LinkMbps float64
}

func (f Fetch) enabled() bool { return f.TokenBytes > 0 && f.LinkMbps > 0 }

// transferTime is the expected time to fetch a number of tokens.
func (f Fetch) transferTime(tokens int) time.Duration {
	bits := float64(tokens) * f.TokenBytes * bitsPerByte
	seconds := bits / (f.LinkMbps * bitsPerMegabit)
	return fetchOverhead + time.Duration(min(seconds, maxTransfer.Seconds())*float64(time.Second))
}

// sharedTokens is the number of tokens in the shared parts, which are all but the last.
func (s CallSpec) sharedTokens() int {
	if len(s.Parts) < 2 {
		return 0
	}
	return s.tokens() - s.Parts[len(s.Parts)-1].Tokens
}

// missingShared is the number of shared tokens at an engine that has a number of tokens cached.
func (s CallSpec) missingShared(cached int) int { return max(0, s.sharedTokens()-cached) }

// fetches reports whether an engine may fetch shared parts for a call.
func (s CallSpec) fetches() bool {
	return s.Engine && s.Fetch.enabled() && s.IsolationKey == "" && s.sharedTokens() >= minFetchTokens
}

// canFetch reports whether an engine may fetch from another. Engines of different versions may not be
// able to read each other's KV cache.
func canFetch(e, source *fleet.Endpoint) bool {
	return e.ID != source.ID && e.Version == source.Version
}

// prepare returns the candidates that may be called now, and the spec with its possible sources.
func (b *Balancer) prepare(now time.Time, candidates []fleet.Endpoint, spec CallSpec) ([]fleet.Endpoint, CallSpec) {
	usable := b.usable(now, candidates, spec)
	if spec.fetches() {
		spec.source = b.fetchSource(now, candidates, spec)
		spec.holders = b.fetchHolders(now, usable, spec)
	}
	return usable, spec
}

// fetchSource returns the affinity target of the shared parts of a call if others can fetch from it,
// or nil. It considers all candidates, also those that this instance avoids at present: if it avoids the
// affinity target, the next endpoint in order is not the one where other instances send the parts.
func (b *Balancer) fetchSource(now time.Time, candidates []fleet.Endpoint, spec CallSpec) *fleet.Endpoint {
	target := b.highestRanked(candidates, spec, time.Time{})
	if target == nil || spec.Exclude[target.ID] || !b.canServeFetch(now, target) {
		return nil
	}
	return target
}

// canServeFetch reports whether an endpoint is expected to answer other engines without delay and
// to have parts cached.
func (b *Balancer) canServeFetch(now time.Time, e *fleet.Endpoint) bool {
	s := b.peek(e.ID)
	switch {
	case now.Before(s.ejectedUntil), s.overdue(now), s.cold.cold(now):
		return false
	case b.backoffs.Remaining(e.ID) > 0, now.Before(b.silentUntil[e.FailureDomain]):
		return false
	}
	return true
}

// rankPrefix is the input of rendezvous hashing for the last shared part, apart from the endpoint ID.
func (s CallSpec) rankPrefix() []byte {
	return append(make([]byte, 0, hashBufferSize), s.Parts[len(s.Parts)-2].ID+"/"...)
}

// highestRanked returns the endpoint that rendezvous hashing ranks first for the last shared part of
// the prompt, or nil if there is none. It skips endpoints that are ejected at a time, none if that is
// zero.
func (b *Balancer) highestRanked(candidates []fleet.Endpoint, spec CallSpec, at time.Time) *fleet.Endpoint {
	text := spec.rankPrefix()
	var first *fleet.Endpoint
	highest := uint64(0)
	for i := range candidates {
		e := &candidates[i]
		if at.Before(b.peek(e.ID).ejectedUntil) && !at.IsZero() {
			continue
		}
		if weight := xxhash.Sum64(append(text, e.ID...)); first == nil || weight > highest {
			first, highest = e, weight
		}
	}
	return first
}

// promptWork is what an engine is expected to do for a prompt before the first event.
type promptWork struct {
	// prefill is the number of tokens that it computes.
	prefill int
	// source is the endpoint from which it fetches others first, or nil.
	source *fleet.Endpoint
	// transfer is the time that the fetch takes.
	transfer time.Duration
}

// promptWork returns the expected work of an engine for a call.
func (s *endpointState) promptWork(spec CallSpec, e *fleet.Endpoint) promptWork {
	cached := s.cache.cachedTokens(spec.Parts)
	work := promptWork{prefill: spec.tokens() - cached}
	source, tokens := spec.sourceFor(e, cached)
	if tokens < minFetchTokens {
		return work
	}
	work.prefill -= tokens
	work.source = source
	work.transfer = spec.Fetch.transferTime(tokens)
	return work
}

// sourceFor returns the endpoint from which an engine that has a number of tokens cached fetches
// shared parts, and the number of tokens that it would fetch, which may be too few for a transfer.
// The affinity target is expected to have all shared parts; of the others that is known only from
// the calls of this instance, which many engines have received for the first part alone.
func (s *CallSpec) sourceFor(e *fleet.Endpoint, cached int) (*fleet.Endpoint, int) {
	h := s.longestHolder(e)
	if s.source != nil && canFetch(e, s.source) && (h == nil || h.tokens < s.sharedTokens()) {
		return s.source, s.missingShared(cached)
	}
	if h == nil {
		return nil, 0
	}
	return h.endpoint, max(0, h.tokens-cached)
}
