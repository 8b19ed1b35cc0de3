package quarantine

import "time"

const (
	// soundFor is how long after a part ran without a crash its further crashes are excused. A part that
	// crashes endpoints does so each time, so that a good run clears it. It is limited because a part may
	// begin to crash them, for example with a new software version.
	soundFor = time.Minute
	// maxSoundParts limits the parts remembered as sound in each of two generations.
	maxSoundParts = 8192
)

// soundParts remembers the parts that ran without a crash lately. The zero value is empty.
type soundParts struct {
	// current and previous map parts to the time of their last good run. The previous ones are dropped when
	// the current ones are full or old.
	current, previous map[Digest]time.Time
	// begun is when the current generation was begun.
	begun time.Time
}

// note records a good run of a part.
func (s *soundParts) note(d Digest, now time.Time) {
	if s.current == nil || len(s.current) >= maxSoundParts || now.Sub(s.begun) >= soundFor {
		s.previous, s.current, s.begun = s.current, map[Digest]time.Time{}, now
	}
	s.current[d] = now
}

// excuses reports whether a part has run well after a time, or for soundFor before it.
func (s *soundParts) excuses(d Digest, at time.Time) bool {
	ran, known := s.current[d]
	if !known {
		ran, known = s.previous[d]
	}
	return known && at.Sub(ran) < soundFor
}
