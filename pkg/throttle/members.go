package throttle

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

// absentTTL is how long an instance that disappeared without leaving counts as partitioned away.
// It is longer than a network partition between regions, which lasts an hour now and then. Of 400
// instances 15 fail in that time, which reduces the rate of all others by one in 25.
const absentTTL = 2 * time.Hour

// memberView tracks which fraction of the instances is visible. The others may be on the other
// side of a partition and still send to the same endpoints.
type memberView struct {
	// members holds the other instances by name.
	members map[string]memberRecord
}

// memberRecord is when another instance was visible.
type memberRecord struct {
	incarnation uint64
	// first is when this incarnation was first visible, and last when it last was.
	first time.Time
	last  time.Time
}

// update records the live and leaving instances and returns the visible fraction of all instances
// that may be running.
func (s *memberView) update(now time.Time, live, leaving []peer.Peer) float64 {
	if s.members == nil {
		s.members = map[string]memberRecord{}
	}
	for _, p := range live {
		known := s.members[p.Name]
		if known.first.IsZero() || known.incarnation != p.Incarnation {
			known = memberRecord{incarnation: p.Incarnation, first: now}
		}
		known.last = now
		s.members[p.Name] = known
	}
	for _, p := range leaving {
		delete(s.members, p.Name)
	}
	for name, known := range s.members {
		if now.Sub(known.last) > absentTTL {
			delete(s.members, name)
		}
	}
	return float64(1+len(live)) / float64(1+len(s.members))
}

// settled reports whether a live peer has had time to learn all members. Peers that were there
// before this instance settled count as settled, and stay so after a partition heals.
func (s *memberView) settled(now, settledAt time.Time, p peer.Peer) bool {
	first := s.members[p.Name].first
	return !now.Before(settledAt) && (first.Before(settledAt) || now.Sub(first) >= settleTime)
}
