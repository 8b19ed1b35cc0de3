package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

// HandleRequest answers a permit request of another instance.
func (l *Limiter) HandleRequest(a PermitRequest) PermitGrant {
	l.table.Merge([]Limit{{EndpointID: a.EndpointID, Limited: true, PerSecond: a.PerSecond, Age: time.Duration(a.AgeMs) * time.Millisecond}})
	perSecond, limited := l.table.PerSecond(a.EndpointID)
	if !limited {
		return PermitGrant{Lifted: true, AgeMs: l.table.age(a.EndpointID).Milliseconds()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	e := l.endpoint(now, a.EndpointID)
	if !e.own {
		return PermitGrant{AfterMs: requestTimeout.Milliseconds()}
	}
	rate := l.rate(perSecond)
	if granted := e.bucket.take(now, rate, max(0, min(a.Wanted, maxRequest(perSecond)))); granted > 0 {
		return PermitGrant{Granted: granted}
	}
	// Assign consecutive retry times to refused callers.
	next := now.Add(e.bucket.wait(now, rate))
	if reserved := e.reservedUntil.Add(time.Duration(float64(time.Second) / rate)); reserved.After(next) {
		next = reserved
	}
	e.reservedUntil = earlier(next, now.Add(maxRetryDelay))
	return PermitGrant{AfterMs: e.reservedUntil.Sub(now).Milliseconds() + 1}
}

// rate is the part of a limit that this instance grants, in calls per second: the share of the
// instances that it can see.
func (l *Limiter) rate(perSecond float64) float64 { return max(minPerSecond, perSecond) * l.share }

// maxRequest bounds the size of a single permit request.
func maxRequest(perSecond float64) int { return max(1, int(math.Ceil(maxRequestSeconds*perSecond))) }

// chooseGrantor returns the instance that grants the calls to an endpoint. All instances with the
// same members choose the same one.
func chooseGrantor(candidates []peer.Peer, id, domain string) peer.Peer {
	weight := func(p peer.Peer) uint64 { return xxhash.Sum64String("grantor/" + id + "/" + p.Name) }
	near := func(p peer.Peer) int {
		if p.FailureDomain == domain {
			return 1
		}
		return 0
	}
	return slices.MaxFunc(candidates, func(a, b peer.Peer) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(weight(a), weight(b)))
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
