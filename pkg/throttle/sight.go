package throttle

import "time"

// missedFor is how long an instance counts as cut off that was silent without having left: regions lose each other for
// an hour now and then. Of 400 instances 15 fail in that time, which takes a twenty-fifth from what all others may send.
const missedFor = 2 * time.Hour

// sight knows which part of the instances this one sees. Those that it does not see may live on behind a cut, and send to
// the same endpoints.
type sight struct {
	// seen has the other instances, by name.
	seen map[string]sighting
}

// sighting is when another instance was seen.
type sighting struct {
	incarnation uint64
	// first is when it was first seen since its start, and last when it was last.
	first time.Time
	last  time.Time
}

// look takes in which other instances live and which leave, and returns the part that is seen of those that may live.
func (s *sight) look(now time.Time, live, leaving []Peer) float64 {
	if s.seen == nil {
		s.seen = map[string]sighting{}
	}
	for _, p := range live {
		known := s.seen[p.Name]
		if known.first.IsZero() || known.incarnation != p.Incarnation {
			known = sighting{incarnation: p.Incarnation, first: now}
		}
		known.last = now
		s.seen[p.Name] = known
	}
	for _, p := range leaving {
		delete(s.seen, p.Name)
	}
	for name, known := range s.seen {
		if now.Sub(known.last) > missedFor {
			delete(s.seen, name)
		}
	}
	return float64(1+len(live)) / float64(1+len(s.seen))
}

// knows tells whether another instance that lives has had the time to know all others, as this one has if it was there
// before it: a cut that is over makes nobody new.
func (s *sight) knows(now, settled time.Time, p Peer) bool {
	first := s.seen[p.Name].first
	return !now.Before(settled) && (first.Before(settled) || now.Sub(first) >= settling)
}
