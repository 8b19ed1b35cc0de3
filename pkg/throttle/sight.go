package throttle

import "time"

// missedFor is how long an instance counts as cut off that was silent without having left: regions lose each other for
// an hour now and then. Of 400 instances 15 fail in that time, which takes a twenty-fifth from what all others may send.
const missedFor = 2 * time.Hour

// sight knows which part of the instances this one sees. Those that it does not see may live on behind a cut, and send to
// the same endpoints.
type sight struct {
	// seen has when each other instance was last seen, by name.
	seen map[string]time.Time
}

// look takes in which other instances live and which leave, and returns the part that is seen of those that may live.
func (s *sight) look(now time.Time, live, leaving []Peer) float64 {
	if s.seen == nil {
		s.seen = map[string]time.Time{}
	}
	for _, p := range live {
		s.seen[p.Name] = now
	}
	for _, p := range leaving {
		delete(s.seen, p.Name)
	}
	for name, at := range s.seen {
		if now.Sub(at) > missedFor {
			delete(s.seen, name)
		}
	}
	return float64(1+len(live)) / float64(1+len(s.seen))
}
