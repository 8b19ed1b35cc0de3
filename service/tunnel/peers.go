package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/reach"
)

const (
	// maxPeersTried bounds the instances that are asked for one tunnel.
	maxPeersTried = 3
	// avoidPartitioned is how long an instance is not asked that cannot connect to a failure domain
	// itself, avoidBroken one that did not answer.
	avoidPartitioned = time.Second
	avoidBroken      = 2 * time.Second
)

// Peers opens tunnels through those of the other instances that reach the endpoint. It is safe for
// concurrent use.
type Peers struct {
	client Client
	// live returns the other instances that are live and not leaving.
	live func() []membership.Member
	// regionOf returns the region of a failure domain.
	regionOf func(failureDomain string) string
	clock    clockwork.Clock
	opened   *metrics.Counter

	mu sync.Mutex
	// avoid contains until when instances are not asked for endpoints of a failure domain.
	avoid map[route]time.Time
}

// route is a way to the endpoints of a failure domain; all of them if it is empty.
type route struct{ peer, failureDomain string }

var _ reach.Tunnels = (*Peers)(nil)

// NewPeers returns the tunnels through the live instances. It registers its counter in set.
func NewPeers(client Client, live func() []membership.Member, regionOf func(string) string, clock clockwork.Clock, set *metrics.Set) *Peers {
	return &Peers{client: client, live: live, regionOf: regionOf, clock: clock, opened: set.NewCounter("cobaltcroft_tunnels_used_total"), avoid: map[route]time.Time{}}
}

// Dial implements reach.Tunnels. Only instances in the region of the endpoint are used, because a
// request may be limited to regions.
func (p *Peers) Dial(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	peers := p.candidates(target)
	if len(peers) == 0 {
		return nil, reach.ErrNoTunnel
	}
	last := error(&RefusedError{Reason: string(reasonPartitioned)})
	for tried, peer := range p.preferred(peers, target.FailureDomain) {
		if tried >= maxPeersTried || ctx.Err() != nil {
			break
		}
		conn, err := p.client.Open(ctx, peer.PeerAddress, target.ID)
		if err == nil {
			p.opened.Inc()
			p.connected(peer.PeerAddress, target.FailureDomain)
			return conn, nil
		}
		if IsUnreached(err) {
			return nil, errors.Join(reach.ErrUnreached, err)
		}
		if ctx.Err() == nil {
			p.avoidFor(peer.PeerAddress, target.FailureDomain, err)
		}
		last = err
	}
	return nil, last
}

// candidates returns the instances in the region of an endpoint in random order, those in its
// failure domain first.
func (p *Peers) candidates(target httpconn.Target) []membership.Member {
	var near, far []membership.Member
	region := p.regionOf(target.FailureDomain)
	for _, m := range p.live() {
		switch {
		case m.FailureDomain == target.FailureDomain:
			near = append(near, m)
		case p.regionOf(m.FailureDomain) == region:
			far = append(far, m)
		}
	}
	for _, list := range [][]membership.Member{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(near, far...)
}

// preferred returns the instances that are not avoided. If there are none, it returns those that answered
// lately, though they could not connect: one of them may have met endpoints that had just failed. That
// one was not asked as long as others were, so that the order is that of the refusals.
func (p *Peers) preferred(peers []membership.Member, failureDomain string) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var preferred, answered []membership.Member
	for _, peer := range peers {
		switch {
		case now.Before(p.avoid[route{peer: peer.PeerAddress}]):
		case now.Before(p.avoid[route{peer.PeerAddress, failureDomain}]):
			answered = append(answered, peer)
		default:
			preferred = append(preferred, peer)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	slices.SortStableFunc(answered, func(a, b membership.Member) int {
		return p.avoid[route{a.PeerAddress, failureDomain}].Compare(p.avoid[route{b.PeerAddress, failureDomain}])
	})
	return answered
}

// connected records that an instance connects to a failure domain.
func (p *Peers) connected(peer, failureDomain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.avoid, route{peer, failureDomain})
}

// avoidFor keeps an instance from being asked again for a while.
func (p *Peers) avoidFor(peer, failureDomain string, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for r, until := range p.avoid {
		if now.After(until) {
			delete(p.avoid, r)
		}
	}
	var refused *RefusedError
	switch {
	case !errors.As(cause, &refused):
		p.avoid[route{peer: peer}] = now.Add(avoidBroken)
	case refused.Reason == string(reasonPartitioned), refused.Reason == string(reasonBusy):
		p.avoid[route{peer, failureDomain}] = now.Add(avoidPartitioned)
	}
}
