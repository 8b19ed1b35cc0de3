package decision

import (
	"time"
)

const (
	// prefixLife is how long a hint counts. Cache events come late and with gaps,
	// and engines evict by their own rules: an old hint is worth nothing.
	prefixLife = 30 * time.Second
	// prefixLoadBound is how much more than the mean load a hinted target may have.
	prefixLoadBound = 1.25
)

// prefixHint says which endpoint last ran work with a prompt prefix.
type prefixHint struct {
	target *target
	until  time.Time
}

// hinted returns the available target whose cache likely holds the work's prefix,
// unless it is loaded much more than the others (consistent hashing with bounded
// loads, Mirrokni et al., 2018, uses the same bound).
func (p *Pool) hinted(now time.Time, work *Work, poolMean float64) *target {
	if work.Prefix == 0 {
		return nil
	}
	hint, ok := p.prefixes.Get(work.Prefix)
	if !ok || now.After(hint.until) {
		return nil
	}
	t := hint.target
	if t.place == nowhere || p.targets[t.Name] != t || !p.fit(now, t, work, poolMean) {
		return nil
	}
	if float64(t.inFlight) > prefixLoadBound*p.meanInFlight()+1 {
		return nil
	}
	return t
}

// meanInFlight is this instance's calls in flight for each live endpoint.
func (p *Pool) meanInFlight() float64 {
	free := len(p.local) + len(p.remote)
	busy := max(p.live-free-len(p.ejected), 0)
	if p.live == 0 {
		return 0
	}
	// The available ones are taken as half full: counting them would cost a scan.
	return (float64(busy)*float64(p.config.Concurrency) + float64(free)*float64(p.config.Concurrency)/2) / float64(p.live)
}

func (p *Pool) rememberPrefix(now time.Time, prefix uint64, t *target) {
	if prefix == 0 {
		return
	}
	p.prefixes.Add(prefix, prefixHint{target: t, until: now.Add(prefixLife)})
}

// ForgetPrefix drops the hint of a prefix that an endpoint is known to have evicted.
func (p *Pool) ForgetPrefix(prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.Remove(prefix)
}
