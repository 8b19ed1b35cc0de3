package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// Option is an endpoint that a call may go to.
type Option struct {
	Endpoint fleet.Endpoint
	// Cost is the expected time of the call there, with what speaks against it.
	Cost time.Duration
	// Reading is the part of it that reading the prompt takes.
	Reading time.Duration
}

// Options returns the endpoints with the least cost, and those of the other failure
// domains, at most so many, from the best on. Those that are left out for failures are not
// among them.
func (b *Balancer) Options(candidates []fleet.Endpoint, need Need, most int) []Option {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	candidates = b.usable(now, candidates, need)
	home := b.homeOf(now, candidates, need)
	usual := b.usual(candidates)
	options := make([]Option, 0, len(candidates))
	for i := range candidates {
		e := &candidates[i]
		s := b.seen(e.ID)
		if need.Exclude[e.ID] || now.Before(s.outUntil) {
			continue
		}
		cost := b.cost(now, e, need, usual, e.ID == home)
		unread := need.tokens() - s.kept.match(need.Parts)
		options = append(options, Option{Endpoint: *e, Cost: time.Duration(cost * float64(time.Millisecond)), Reading: readTime(unread, s.slowness)})
	}
	slices.SortFunc(options, func(a, b Option) int { return cmp.Compare(a.Cost, b.Cost) })
	return diverse(options, most)
}

// bestOptions is how many of the best options are kept whatever their failure domain.
const bestOptions = 2

// diverse keeps the best options, and the best of each other failure domain, at most so
// many in order.
func diverse(options []Option, most int) []Option {
	var kept []Option
	domains := map[string]bool{}
	for _, option := range options {
		domain := option.Endpoint.FailureDomain
		if len(kept) < most && (len(kept) < bestOptions || !domains[domain]) {
			kept = append(kept, option)
			domains[domain] = true
		}
	}
	return kept
}

// preferred counts a call in at the endpoint that a need prefers, unless something speaks
// against that one; nil then.
func (b *Balancer) preferred(now time.Time, candidates []fleet.Endpoint, need Need) *Call {
	for _, e := range candidates {
		if e.ID != need.Prefer {
			continue
		}
		s := b.seen(e.ID)
		if need.Exclude[e.ID] || now.Before(s.outUntil) || s.overdue(now) {
			return nil
		}
		return b.begin(now, e, need)
	}
	return nil
}
