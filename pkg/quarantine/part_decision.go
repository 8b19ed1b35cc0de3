package quarantine

import (
	"slices"
	"time"
)

const (
	// minOtherCrashes is the number of a part's crashes that must be left without those of any one request.
	// The parts of a single request have all of its crashes.
	minOtherCrashes = 2
	// oneMoment is the time within which crashes may have one cause that is not in any prompt.
	oneMoment = 50 * time.Millisecond
)

// evaluatePart decides whether a part is quarantined. As for requests, a crash counts unless another part
// that is over the threshold explains it better, by having more crashes.
func (t *Table) evaluatePart(d Digest, p *suspect) (quarantined bool, rivals []Digest) {
	counted := 0
	for incarnation, e := range p.crashes {
		if !e.cleared && !t.explainedByOther(p, incarnation) {
			counted++
		}
	}
	if counted < crashThreshold || p.atOneMoment() || t.dueToOneRequest(p) {
		return false, nil
	}
	return true, t.rivalsOf(d, p)
}

// dueToOneRequest reports whether a part's crashes are, all but one, those of one request, which is then
// quarantined by itself.
func (t *Table) dueToOneRequest(p *suspect) bool {
	for _, r := range t.coOccurring(p, Request) {
		if p.activeCrashes()-sharedCrashes(p, r) < minOtherCrashes {
			return true
		}
	}
	return false
}

// atOneMoment reports whether all crashes of a suspect happened at about the same time, as when a failure
// domain loses power.
func (r *suspect) atOneMoment() bool {
	var first, last time.Time
	for _, e := range r.crashes {
		if e.cleared {
			continue
		}
		if first.IsZero() || e.at.Before(first) {
			first = e.at
		}
		if e.at.After(last) {
			last = e.at
		}
	}
	return last.Sub(first) < oneMoment
}

// rivalsOf returns the other parts that have as many crashes and would leave less than the threshold of
// those of p unexplained.
func (t *Table) rivalsOf(d Digest, p *suspect) []Digest {
	active := p.activeCrashes()
	if active >= maxCrashesPerRequest {
		// No more crashes are kept that could tell them apart.
		return nil
	}
	var rivals []Digest
	for other, q := range t.coOccurring(p, PromptPart) {
		if other != d && q.activeCrashes() == active && active-sharedCrashes(p, q) < crashThreshold {
			rivals = append(rivals, other)
		}
	}
	return rivals
}

// coOccurring returns the suspects of a kind that share a crash with p which is cleared for neither. It may
// include p.
func (t *Table) coOccurring(p *suspect, k Kind) map[Digest]*suspect {
	found := map[Digest]*suspect{}
	for incarnation, e := range p.crashes {
		if e.cleared {
			continue
		}
		for d := range t.suspectsByIncarnation[incarnation] {
			if s := t.suspects[d]; s.kind == k && !s.crashes[incarnation].cleared {
				found[d] = s
			}
		}
	}
	return found
}

// sharedCrashes returns the number of crashes that are cleared for neither of two suspects.
func sharedCrashes(a, b *suspect) int {
	n := 0
	for incarnation, e := range a.crashes {
		if other := b.crashes[incarnation]; !e.cleared && other != nil && !other.cleared {
			n++
		}
	}
	return n
}

func containsAll(parts, wanted []Digest) bool {
	for _, d := range wanted {
		if !slices.Contains(parts, d) {
			return false
		}
	}
	return true
}
