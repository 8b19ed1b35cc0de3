package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

const (
	// shareHalfLife is the time in which half of what was seen of prompts is forgotten.
	shareHalfLife = 20 * time.Second
	// unseenTokens stand for the prompts of others before much was seen.
	unseenTokens = 100_000
	// homesPerShare is by how much the engines of a first part are more than its share of
	// all tokens would take, so that its subjects spread.
	homesPerShare = 1.5
	// maxFirsts bounds the first parts that are noted.
	maxFirsts = 4096
)

// shares is how much of all prompt tokens begins with each first part, as this instance has
// seen it lately. Prompts share their first part with many others, and the next one with
// fewer: if each subject had any engine for its home, each engine would read every first
// part; if all of one first part had the same, that one would have too much to read.
type shares struct {
	tokens map[string]float64
	total  float64
	at     time.Time
}

func newShares() *shares { return &shares{tokens: map[string]float64{}, total: unseenTokens} }

// add notes a prompt.
func (s *shares) add(now time.Time, first string, tokens int) {
	s.decay(now)
	if len(s.tokens) >= maxFirsts {
		clear(s.tokens)
	}
	s.tokens[first] += float64(tokens)
	s.total += float64(tokens)
}

// decay forgets with time, in steps so that it is seldom done.
func (s *shares) decay(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	passed := now.Sub(s.at)
	if passed < shareHalfLife/20 {
		return
	}
	s.at = now
	left := math.Exp2(-float64(passed) / float64(shareHalfLife))
	s.total = max(unseenTokens, s.total*left)
	for first, tokens := range s.tokens {
		if s.tokens[first] = tokens * left; tokens < 1 {
			delete(s.tokens, first)
		}
	}
}

// homes returns how many of so many engines are homes of prompts that begin with a first
// part: a power of two, so that instances which have seen different prompts mostly agree.
func (s *shares) homes(first string, engines int) int {
	wanted := homesPerShare * float64(engines) * s.tokens[first] / s.total
	homes := 1
	for 2*homes <= int(wanted) {
		homes *= 2
	}
	return min(homes, engines)
}

// homeOf returns the engine that is first for the shared parts of a prompt, so that all
// instances send kindred requests to the same one; empty if there is none. The last part
// is the request's own, the one before it its subject.
func (b *Balancer) homeOf(now time.Time, candidates []fleet.Endpoint, need Need) string {
	if !need.Engine || len(need.Parts) < 2 {
		return ""
	}
	first, subject := need.Parts[0].ID, need.Parts[len(need.Parts)-2].ID
	homes := len(candidates)
	if first != subject {
		homes = b.shares.homes(first, len(candidates))
	}
	least := uint64(math.MaxUint64)
	if homes < len(candidates) {
		least -= uint64(float64(homes) / float64(len(candidates)) * math.MaxUint64)
	} else {
		least = 0
	}
	var home, nearest choice
	for _, e := range candidates {
		if now.Before(b.seen(e.ID).outUntil) {
			continue
		}
		ofFirst := xxhash.Sum64String(first + "/" + e.ID)
		nearest.offer(e.ID, ofFirst)
		if ofFirst >= least {
			home.offer(e.ID, xxhash.Sum64String(subject+"/"+e.ID))
		}
	}
	if home.id == "" {
		return nearest.id
	}
	return home.id
}

// choice is the engine with the greatest weight of those offered.
type choice struct {
	id     string
	weight uint64
}

func (c *choice) offer(id string, weight uint64) {
	if c.id == "" || weight > c.weight {
		c.id, c.weight = id, weight
	}
}
