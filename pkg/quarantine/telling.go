package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// toldFor is how long an end is told that is the only one of its request: most of those are of requests
// that ran beside the cause. The others are told for as long as they are kept.
const toldFor = 30 * time.Second

// Tell returns up to n ends for other instances. The first half are the newest ones of requests under which
// several endpoints ended, as far as there are any: after a crash of many endpoints a hundred others may
// have one each. The second half are others in turn.
func (t *Table) Tell(n int) []End {
	all := t.told()
	if len(all) <= n {
		return all
	}
	rest := all[(n+1)/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:n]
}

// told returns all ends that others are told of: those of requests with several first, and the newest of
// each kind first.
func (t *Table) told() []End {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var several, single []End
	for d, r := range t.requests {
		switch {
		case len(r.ends) > 1:
			several = r.appendTo(several, d, now)
		case now.Sub(r.last) < toldFor:
			single = r.appendTo(single, d, now)
		}
	}
	byAge := func(a, b End) int { return cmp.Compare(a.Age, b.Age) }
	slices.SortFunc(several, byAge)
	slices.SortFunc(single, byAge)
	return append(several, single...)
}

// HeldRequest is a request that is refused, and what speaks against it.
type HeldRequest struct {
	Digest string `json:"digest"`
	// Endpoints are the lives that ended under it.
	Endpoints []string `json:"endpoints"`
	// LastMs is the time since the last of them ended, in milliseconds.
	LastMs int64 `json:"last_ms"`
}

// List returns the requests that are refused, the newest first.
func (t *Table) List() []HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []HeldRequest{}
	for d, r := range t.requests {
		if r.held {
			list = append(list, HeldRequest{Digest: d.String(), Endpoints: r.lives(), LastMs: t.clock.Since(r.last).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b HeldRequest) int { return cmp.Compare(a.LastMs, b.LastMs) })
	return list
}

// lives returns the lives that ended under a request, and were not taken back.
func (r *request) lives() []string {
	var lives []string
	for life, e := range r.ends {
		if !e.cleared {
			lives = append(lives, life)
		}
	}
	slices.Sort(lives)
	return lives
}

// of returns the ends of one request.
func (t *Table) of(d Digest) []End {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return nil
	}
	return r.appendTo(nil, d, t.clock.Now())
}

func (r *request) appendTo(ends []End, d Digest, now time.Time) []End {
	for life, e := range r.ends {
		ends = append(ends, End{Digest: d, Life: life, Age: now.Sub(e.at), Cleared: e.cleared})
	}
	return ends
}
