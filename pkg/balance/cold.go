package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// An endpoint that has just started, or whose failure domain has returned from an evacuation, is
// cold: it can serve only a few requests per second from all instances together, and collapses under
// more. Dividing that rate among all instances would leave each less than one request per second (20
// over 59 instances). Cold endpoints are
// therefore avoided while any endpoint of the service is warm and not ejected; otherwise each is used
// by a single instance, its warm-up owner.

const (
	// coldAfterReturn is how long the endpoints of a returned failure domain are assumed to be
	// cold. It covers the delay until their entries report it: heartbeat interval (1.2 s), discovery
	// delay (0.8 s) and relay watch (0.4 s).
	coldAfterReturn = 2500 * time.Millisecond
	// warmupShare is the fraction of a cold endpoint's rate that its warm-up owner uses. It is
	// below 1 because partitioned instances may each consider themselves the owner.
	warmupShare = 0.4
)

// ColdLimit limits the requests to the cold endpoints of a service.
type ColdLimit struct {
	// PerSecond is the request rate that a cold endpoint can serve in total; 0 for no limit.
	PerSecond float64
	// IsOwner reports whether this instance is the warm-up owner of an endpoint; nil if it owns
	// none.
	IsOwner func(endpoint string) bool
}

// minInterval is the minimum time between two requests of a warm-up owner.
func (c ColdLimit) minInterval() time.Duration {
	return time.Duration(float64(time.Second) / (warmupShare * c.PerSecond))
}

// IsWarmupOwner reports whether an instance ranks first among the live instances for an endpoint
// by rendezvous hashing.
func IsWarmupOwner(instance string, others []string, endpoint string) bool {
	weight := func(name string) uint64 { return xxhash.Sum64String("sponsor/" + endpoint + "/" + name) }
	own := weight(instance)
	return !slices.ContainsFunc(others, func(other string) bool { return weight(other) > own })
}

// coldState tracks until when an endpoint is cold.
type coldState struct {
	// revision and returned are those of the last endpoint entry that was applied.
	revision revision.Revision
	returned revision.Revision
	until    time.Time
	// sentAt is when this instance last sent a request to the endpoint while it was cold.
	sentAt time.Time
}

// domainReturn is the return of a failure domain from an evacuation.
type domainReturn struct {
	revision revision.Revision
	// seenAt is when this instance first met an endpoint of the failure domain after it.
	seenAt time.Time
}

// returnOf returns the return that an endpoint's entry names.
func (b *Balancer) returnOf(now time.Time, e *fleet.Endpoint) domainReturn {
	if e.Returned == 0 {
		return domainReturn{}
	}
	if b.returns[e.FailureDomain].revision != e.Returned {
		b.returns[e.FailureDomain] = domainReturn{e.Returned, now}
	}
	return b.returns[e.FailureDomain]
}

// update applies an endpoint entry. Durations count from the time of receipt, but for what follows a return:
// the entries of endpoints that start later report by themselves whether they are cold.
func (c *coldState) update(now time.Time, e *fleet.Endpoint, last domainReturn) {
	reported := now.Add(time.Duration(e.ColdMs) * time.Millisecond)
	switch {
	case e.Returned != c.returned:
		c.until = later(reported, last.seenAt.Add(coldAfterReturn))
	case e.ColdRevision != c.revision:
		c.until = reported
	}
	c.revision, c.returned = e.ColdRevision, e.Returned
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *coldState) cold(now time.Time) bool { return now.Before(c.until) }

// usable filters out endpoints that are backing off. Of the remaining ones it returns the warm
// endpoints, unless all of them are ejected or excluded and there are cold ones that this instance may
// call now.
func (b *Balancer) usable(now time.Time, candidates []fleet.Endpoint, spec CallSpec) []fleet.Endpoint {
	candidates = b.backoffs.Available(candidates)
	if spec.Cold.PerSecond <= 0 || !b.updateCold(now, candidates) {
		return candidates
	}
	remaining := false
	warm := make([]fleet.Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if s := b.peek(e.ID); !s.cold.cold(now) {
			warm = append(warm, e)
			remaining = remaining || !spec.Exclude[e.ID] && !now.Before(s.ejectedUntil)
		}
	}
	if remaining {
		return warm
	}
	if targets := b.warmupTargets(now, candidates, spec); len(targets) > 0 {
		return targets
	}
	return warm
}

// updateCold applies the endpoint entries and reports whether any endpoint is cold.
func (b *Balancer) updateCold(now time.Time, candidates []fleet.Endpoint) bool {
	cold := false
	for i := range candidates {
		e := &candidates[i]
		if b.endpoints[e.ID] == nil && e.ColdRevision == 0 && e.Returned == 0 {
			// The endpoint was never called or reported as cold.
			continue
		}
		s := b.state(e.ID)
		s.cold.update(now, e, b.returnOf(now, e))
		cold = cold || s.cold.cold(now)
	}
	return cold
}

// warmupTargets returns the cold endpoints that this instance may call now as their warm-up owner.
func (b *Balancer) warmupTargets(now time.Time, candidates []fleet.Endpoint, spec CallSpec) []fleet.Endpoint {
	if spec.Cold.IsOwner == nil {
		return nil
	}
	var targets []fleet.Endpoint
	for _, e := range candidates {
		c := &b.peek(e.ID).cold
		if c.cold(now) && now.Sub(c.sentAt) >= spec.Cold.minInterval() && spec.Cold.IsOwner(e.ID) {
			targets = append(targets, e)
		}
	}
	return targets
}
