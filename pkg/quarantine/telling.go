package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// toldFor is how long an end is told that is the only one of its request: most of those are of requests
// that ran beside the cause. The others are told for as long as they are kept.
const toldFor = 30 * time.Second

// Tell returns up to n ends for other instances: the newest ones first, to half of n, and others in turn.
func (t *Table) Tell(n int) []End {
	all := t.told()
	if len(all) <= n {
		return all
	}
	slices.SortFunc(all, func(a, b End) int { return int(a.Age - b.Age) })
	newest := (n + 1) / 2
	rest := all[newest:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:n]
}

// told returns all ends that others are told of, in no order.
func (t *Table) told() []End {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []End
	for d, r := range t.requests {
		if len(r.ends) > 1 || now.Sub(r.last) < toldFor {
			all = r.appendTo(all, d, now)
		}
	}
	return all
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
