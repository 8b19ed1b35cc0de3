package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// singleCrashGossipPeriod is how long the only crash of a request is reported to others: most such
// requests were merely running beside the cause. Other crashes are reported as long as they are
// kept.
const singleCrashGossipPeriod = 30 * time.Second

// Recent returns up to n crashes to report to other instances. Half of them are the newest crashes of
// requests with several; the rest are random, so that all are reported in time even after many
// endpoints have crashed at once.
func (t *Table) Recent(n int) []Crash {
	all := t.gossipCandidates()
	if len(all) <= n {
		return all
	}
	rest := all[(n+1)/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:n]
}

// gossipCandidates returns all crashes to report: those of requests with several first, each group
// sorted by age.
func (t *Table) gossipCandidates() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var repeated, single []Crash
	for d, r := range t.requests {
		switch {
		case len(r.crashes) > 1:
			repeated = r.appendTo(repeated, d, now)
		case now.Sub(r.lastCrash) < singleCrashGossipPeriod:
			single = r.appendTo(single, d, now)
		}
	}
	byAge := func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) }
	slices.SortFunc(repeated, byAge)
	slices.SortFunc(single, byAge)
	return append(repeated, single...)
}

// QuarantinedRequest describes a quarantined request.
type QuarantinedRequest struct {
	Digest string `json:"digest"`
	// Endpoints are the incarnations that crashed.
	Endpoints []string `json:"endpoints"`
	// LastMs is the time since the last crash in milliseconds.
	LastMs int64 `json:"last_ms"`
}

// List returns the quarantined requests, the newest first.
func (t *Table) List() []QuarantinedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []QuarantinedRequest{}
	for d, r := range t.requests {
		if r.quarantined {
			list = append(list, QuarantinedRequest{Digest: d.String(), Endpoints: r.activeIncarnations(), LastMs: t.clock.Since(r.lastCrash).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.LastMs, b.LastMs) })
	return list
}

// activeIncarnations returns the incarnations whose crashes are not cleared.
func (r *request) activeIncarnations() []string {
	var incarnations []string
	for incarnation, e := range r.crashes {
		if !e.cleared {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// crashesOf returns the crashes of one request.
func (t *Table) crashesOf(d Digest) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return nil
	}
	return r.appendTo(nil, d, t.clock.Now())
}

func (r *request) appendTo(crashes []Crash, d Digest, now time.Time) []Crash {
	for incarnation, e := range r.crashes {
		crashes = append(crashes, Crash{Digest: d, Incarnation: incarnation, Age: now.Sub(e.at), Cleared: e.cleared})
	}
	return crashes
}
