package balance

import (
	"cmp"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/room"
)

// Room limits the calls to endpoints that fail when they reject too many.
type Room interface {
	// Limits reports whether the calls to the endpoints of a service are limited.
	Limits(service string) bool
	// Allowance returns the limits of the calls to an endpoint with the given number of slots, of
	// which all endpoints of its service have total.
	Allowance(endpoint string, slots, total int) room.Allowance
	// SpacedAllowance returns them for an instance that has a share of no endpoint of the service.
	SpacedAllowance(slots int) room.Allowance
}

// defaultDuration is the assumed duration of calls before any has ended.
const defaultDuration = 100 * time.Millisecond

// UseRoom sets the limits for endpoints that fail when they reject too many calls. It must be called
// before the first call.
func (b *Balancer) UseRoom(room Room) { b.room = room }

// RoomLimited reports whether the calls to the endpoints, which are of one service, are limited.
func (b *Balancer) RoomLimited(endpoints []fleet.Endpoint) bool {
	return b.room != nil && len(endpoints) > 0 && b.room.Limits(endpoints[0].Service)
}

// withRoom returns the candidates that have room for a call of this instance.
func (b *Balancer) withRoom(now time.Time, candidates []fleet.Endpoint, spec CallSpec) []fleet.Endpoint {
	if !b.RoomLimited(candidates) {
		return candidates
	}
	slots := func(e fleet.Endpoint) int { return max(spec.Slots, e.Slots, 1) }
	total := 0
	for _, e := range candidates {
		total += slots(e)
	}
	allowances := make(map[string]room.Allowance, len(candidates))
	none := true
	for _, e := range candidates {
		a := b.room.Allowance(e.ID, slots(e), total)
		allowances[e.ID] = a
		none = none && a.InFlight == 0
	}
	return fleet.Exclude(candidates, func(e fleet.Endpoint) bool {
		a := allowances[e.ID]
		if none {
			a = b.room.SpacedAllowance(slots(e))
		}
		return !b.peek(e.ID).hasRoom(now, a)
	})
}

// hasRoom reports whether a call may begin.
func (s *endpointState) hasRoom(now time.Time, a room.Allowance) bool {
	return len(s.calls) < a.InFlight && now.Sub(s.beganAt) >= scale(cmp.Or(s.duration, defaultDuration), a.Spacing)
}

// recordDuration updates the duration of calls.
func (s *endpointState) recordDuration(took time.Duration) {
	if s.duration == 0 {
		s.duration = took
		return
	}
	s.duration += scale(took-s.duration, sampleWeight)
}
