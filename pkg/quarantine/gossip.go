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

// Recent returns up to n crashes of each kind to report to other instances.
func (t *Table) Recent(n int) []Crash {
	return append(t.recentOf(Request, n), t.recentOf(PromptPart, n)...)
}

// recentOf returns up to n crashes of a kind. Half of them are the newest crashes of suspects with
// several; the rest are random, so that all are reported in time even after many endpoints have crashed
// at once.
func (t *Table) recentOf(k Kind, n int) []Crash {
	all := t.gossipCandidates(k)
	if len(all) <= n {
		return all
	}
	rest := all[(n+1)/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:n]
}

// gossipCandidates returns all crashes of a kind to report: those of suspects with several first, each
// group sorted by age, and the cleared ones last.
func (t *Table) gossipCandidates(k Kind) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var repeated, single []Crash
	for d, r := range t.suspects {
		switch {
		case r.kind != k:
		case len(r.crashes) > 1:
			repeated = r.appendTo(repeated, d, now)
		case now.Sub(r.lastCrash) < singleCrashGossipPeriod:
			single = r.appendTo(single, d, now)
		}
	}
	activeFirst := func(a, b Crash) int {
		if a.Cleared != b.Cleared {
			if a.Cleared {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Age, b.Age)
	}
	slices.SortFunc(repeated, activeFirst)
	slices.SortFunc(single, activeFirst)
	return append(repeated, single...)
}

// QuarantinedRequest describes a quarantined request or part.
type QuarantinedRequest struct {
	// Kind is "request" or "part".
	Kind   string `json:"kind"`
	Digest string `json:"digest"`
	// Endpoints are the incarnations that crashed.
	Endpoints []string `json:"endpoints"`
	// LastMs is the time since the last crash in milliseconds.
	LastMs int64 `json:"last_ms"`
}

// List returns the quarantined requests and parts, the newest first.
func (t *Table) List() []QuarantinedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []QuarantinedRequest{}
	for d, r := range t.suspects {
		if r.quarantined {
			list = append(list, QuarantinedRequest{Kind: r.kind.String(), Digest: d.String(), Endpoints: r.activeIncarnations(), LastMs: t.clock.Since(r.lastCrash).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.LastMs, b.LastMs) })
	return list
}

// activeIncarnations returns the incarnations whose crashes are not cleared.
func (r *suspect) activeIncarnations() []string {
	var incarnations []string
	for incarnation, e := range r.crashes {
		if !e.cleared {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// crashesOf returns the crashes of one suspect.
func (t *Table) crashesOf(d Digest) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.suspects[d]
	if r == nil {
		return nil
	}
	return r.appendTo(nil, d, t.clock.Now())
}

func (r *suspect) appendTo(crashes []Crash, d Digest, now time.Time) []Crash {
	for incarnation, e := range r.crashes {
		crashes = append(crashes, Crash{Kind: r.kind, Digest: d, Incarnation: incarnation, Age: now.Sub(e.at), Cleared: e.cleared})
	}
	return crashes
}
