package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

// An endpoint that has just started, or whose failure domain was evacuated, is cold: for some
// seconds it bears few requests a second, from all instances together, and collapses under more.
// No instance knows what the others send, and a share of the bound for each would be less than one
// request a second (20 over 59 instances), so that none is sent while any endpoint of the service is
// warm. If all are cold, each has one instance that alone sends to it, its sponsor.

const (
	// presumedCold is how long the endpoints of a failure domain are taken to be cold after it has
	// returned: they may have turned cold shortly before. Their entries tell so a heartbeat (1.2 s),
	// the source's delay (0.8 s) and a relay's watch (0.4 s) later.
	presumedCold = 2500 * time.Millisecond
	// sponsoredPart is the part of what a cold endpoint bears that its sponsor sends. Instances that
	// do not reach each other have a sponsor each; with four failure domains that are all cut off
	// from each other, and a bound of ten a second, five requests each are within half as many again
	// and five.
	sponsoredPart = 0.4
)

// Cold says what the cold endpoints of a service bear.
type Cold struct {
	// PerSecond is how many requests a second one bears, from all callers; 0: no bound.
	PerSecond float64
	// Sponsors tells whether this instance alone sends to an endpoint that is cold; nil: none.
	Sponsors func(endpoint string) bool
}

// pause is the least time between two requests of a sponsor.
func (c Cold) pause() time.Duration {
	return time.Duration(float64(time.Second) / (sponsoredPart * c.PerSecond))
}

// Sponsors tells whether an instance, of all that live, is the sponsor of an endpoint: the first by
// rendezvous hashing.
func Sponsors(instance string, others []string, endpoint string) bool {
	weight := func(name string) uint64 { return xxhash.Sum64String("sponsor/" + endpoint + "/" + name) }
	own := weight(instance)
	return !slices.ContainsFunc(others, func(other string) bool { return weight(other) > own })
}

// coldness is what is known of how long one endpoint stays cold.
type coldness struct {
	// toldIn is the revision of the entry that was last learnt from, and returned that as of which
	// the failure domain was.
	toldIn   uint64
	returned uint64
	until    time.Time
	// sentAt is when a request was last sent to it while it was cold.
	sentAt time.Time
}

// learn takes in what the endpoint's entry says. It counts from when it was learnt, which is not
// before it was told.
func (c *coldness) learn(now time.Time, e *fleet.Endpoint) {
	told := now.Add(time.Duration(e.ColdMs) * time.Millisecond)
	switch {
	case e.Returned != c.returned:
		c.until = later(told, now.Add(presumedCold))
	case e.ColdRevision != c.toldIn:
		c.until = told
	}
	c.toldIn, c.returned = e.ColdRevision, e.Returned
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *coldness) cold(now time.Time) bool { return now.Before(c.until) }

// usable returns the endpoints that a call may go to: of those that want no rest those that are warm, or if
// none of them is left the cold ones that this instance may send a request to now.
func (b *Balancer) usable(now time.Time, candidates []fleet.Endpoint, need Need) []fleet.Endpoint {
	candidates = b.rests.Awake(candidates)
	if need.Cold.PerSecond <= 0 || !b.learnCold(now, candidates) {
		return candidates
	}
	left := false
	warm := make([]fleet.Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if !b.look(e.ID).cold.cold(now) {
			warm = append(warm, e)
			left = left || !need.Exclude[e.ID]
		}
	}
	if left {
		return warm
	}
	return b.sponsored(now, candidates, need)
}

// learnCold takes in what the entries of endpoints say, and tells whether any is cold.
func (b *Balancer) learnCold(now time.Time, candidates []fleet.Endpoint) bool {
	cold := false
	for i := range candidates {
		e := &candidates[i]
		if b.endpoints[e.ID] == nil && e.ColdRevision == 0 && e.Returned == 0 {
			// It is warm, and there is nothing to learn of it.
			continue
		}
		s := b.seen(e.ID)
		s.cold.learn(now, e)
		cold = cold || s.cold.cold(now)
	}
	return cold
}

// sponsored returns the cold endpoints that this instance may send a request to now.
func (b *Balancer) sponsored(now time.Time, candidates []fleet.Endpoint, need Need) []fleet.Endpoint {
	if need.Cold.Sponsors == nil {
		return nil
	}
	var sponsored []fleet.Endpoint
	for _, e := range candidates {
		c := &b.look(e.ID).cold
		if c.cold(now) && now.Sub(c.sentAt) >= need.Cold.pause() && need.Cold.Sponsors(e.ID) {
			sponsored = append(sponsored, e)
		}
	}
	return sponsored
}
