package quarantine

import "time"

// loadInterval is the minimum time between two loads of a suspect's crashes from the store. A part may
// stand in most requests of a route.
const loadInterval = time.Second

// Subject is what the crashes of a request may be blamed on.
type Subject struct {
	Request Digest
	// Parts are the parts of the prompt that other requests may share.
	Parts []Digest
}

// all returns the digests of the request and its parts.
func (s Subject) all() []Digest { return append([]Digest{s.Request}, s.Parts...) }

// Refused returns what a request is quarantined for: itself or a part of its prompt. If other parts may as
// well have caused the crashes of a part, it is quarantined only where they all stand in the prompt: the
// requests with some of them show which it is.
func (t *Table) Refused(s Subject) (Digest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.suspects[s.Request]; r != nil && r.quarantined {
		return s.Request, true
	}
	for _, d := range s.Parts {
		if p := t.suspects[d]; p != nil && p.quarantined && containsAll(s.Parts, p.rivals) {
			return d, true
		}
	}
	return Digest{}, false
}

// Suspected returns what of a request has the most crashes, if anything has any.
func (t *Table) Suspected(s Subject) (Digest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var worst Digest
	most := 0
	for _, d := range s.all() {
		if r := t.suspects[d]; r != nil && r.activeCrashes() > most {
			worst, most = d, r.activeCrashes()
		}
	}
	return worst, most > 0
}

// crashesOfSubject returns the crashes that the end of an endpoint under a request gives rise to. The parts
// that this instance has seen run well lately are left out.
func (t *Table) crashesOfSubject(s Subject, incarnation string) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	crashes := []Crash{{Kind: Request, Digest: s.Request, Incarnation: incarnation}}
	for _, d := range s.Parts {
		if !t.sound.excuses(d, now) {
			crashes = append(crashes, Crash{Kind: PromptPart, Digest: d, Incarnation: incarnation})
		}
	}
	return crashes
}

// noteSound records that an answer to a request with the parts was complete. It returns the parts whose
// crashes were cleared by that.
func (t *Table) noteSound(parts []Digest) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var cleared []Digest
	for _, d := range parts {
		t.sound.note(d, now)
		if t.clear(d) {
			cleared = append(cleared, d)
		}
	}
	return cleared
}

// loadable is a suspect whose crashes are due to be loaded from the store.
type loadable struct {
	kind   Kind
	digest Digest
}

// takeLoads returns the suspects of a request whose crashes are due to be loaded from the store.
func (t *Table) takeLoads(s Subject) []loadable {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var due []loadable
	for _, d := range s.all() {
		r := t.suspects[d]
		if r == nil || r.quarantined || r.activeCrashes() == 0 {
			continue
		}
		if r.kind == PromptPart && now.Sub(r.loadedAt) < loadInterval {
			continue
		}
		r.loadedAt = now
		due = append(due, loadable{r.kind, d})
	}
	return due
}
