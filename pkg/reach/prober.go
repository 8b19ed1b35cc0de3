package reach

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

const (
	// probePeriod is the time between two rounds of probes.
	probePeriod = 200 * time.Millisecond
	// maxProbes bounds the probes of a failure domain in a round, maxTunneledProbes those where other
	// instances reach it, so that only the return of the direct path is of interest.
	maxProbes         = 8
	maxTunneledProbes = 2
	// maxRunning bounds the probes in progress.
	maxRunning = 32
	// probeTimeout bounds a probe.
	probeTimeout = time.Second
)

// Endpoints gives access to the endpoints that exist.
type Endpoints interface {
	// Target returns the endpoint with an ID, if it exists.
	Target(endpoint string) (httpconn.Target, bool)
	// InDomain returns the endpoints of a failure domain.
	InDomain(failureDomain string) []httpconn.Target
}

// Prober finds out when endpoints that this instance does not reach directly are reached again, and
// which endpoints of a failure domain are reached by no path.
type Prober struct {
	Dialer    *Dialer
	Endpoints Endpoints
	Clock     clockwork.Clock
	// running is the number of probes in progress.
	running atomic.Int64
	// round is the number of rounds so far.
	round int
}

// Run probes until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	ticker := p.Clock.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			for _, c := range p.Dialer.Tracker.ProbeCandidates() {
				p.probeSome(ctx, c)
			}
			p.round++
		}
	}
}

// probeSome probes some endpoints of a failure domain in the background, unless many probes are in
// progress.
func (p *Prober) probeSome(ctx context.Context, c ProbeCandidates) {
	for _, target := range p.choose(c) {
		if p.running.Add(1) > maxRunning {
			p.running.Add(-1)
			return
		}
		go func() {
			defer p.running.Add(-1)
			p.probe(ctx, target, c.All)
		}()
	}
}

// choose returns the endpoints of a failure domain that are probed in this round.
func (p *Prober) choose(c ProbeCandidates) []httpconn.Target {
	if c.All {
		return p.nextInTurn(p.Endpoints.InDomain(c.FailureDomain))
	}
	targets := p.targets(c)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(maxTunneledProbes, len(targets))]
}

// nextInTurn returns the endpoints whose turn it is in this round. Requests do not try an endpoint that
// was not reached while none of its failure domain is, so that none may wait long for its probe.
func (p *Prober) nextInTurn(targets []httpconn.Target) []httpconn.Target {
	slices.SortFunc(targets, func(a, b httpconn.Target) int { return cmp.Compare(a.ID, b.ID) })
	next := make([]httpconn.Target, 0, maxProbes)
	for i := range min(maxProbes, len(targets)) {
		next = append(next, targets[(p.round*maxProbes+i)%len(targets)])
	}
	return next
}

// targets returns the candidates that still exist.
func (p *Prober) targets(c ProbeCandidates) []httpconn.Target {
	var targets []httpconn.Target
	for _, endpoint := range c.Endpoints {
		if target, found := p.Endpoints.Target(endpoint); found {
			targets = append(targets, target)
		}
	}
	return targets
}

// probe connects to an endpoint, by any path or directly, and closes the connection.
func (p *Prober) probe(ctx context.Context, target httpconn.Target, anyPath bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dial := p.Dialer.DialDirect
	if anyPath {
		dial = p.Dialer.DialAnyPath
	}
	if conn, err := dial(ctx, target); err == nil {
		_ = conn.Close()
	}
}
