package discovery

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

const (
	// outageAfter is the time without word from the source after which entries may have
	// lapsed there whose endpoints live.
	outageAfter = 2 * time.Second
	// backWithin is the time within which those entries are back after an outage.
	backWithin = 2 * time.Second
)

// lapses keeps endpoints for a while after an outage of the source whose entries are gone:
// the source lets entries lapse that are not renewed, and while it is out none can be. One
// that is still missing after backWithin is taken as gone; one that said it was leaving is
// not kept. It belongs to the goroutine that owns the view.
type lapses struct{ until time.Time }

// confirmed notes that the source confirmed the view at a time, and before that last at
// another, if ever. It tells whether an outage ended.
func (l *lapses) confirmed(before, now time.Time) bool {
	if before.IsZero() || now.Sub(before) < outageAfter {
		return false
	}
	l.until = now.Add(backWithin)
	return true
}

// keep returns the listed endpoints, and those of the snapshot before that are kept.
func (l *lapses) keep(now time.Time, before, listed *fleet.Snapshot) *fleet.Snapshot {
	if !now.Before(l.until) {
		return listed
	}
	kept := listed.All()
	for _, e := range before.All() {
		if !listed.Lists(e.Name()) && !e.Leaving {
			kept = append(kept, e)
		}
	}
	if len(kept) == len(listed.All()) {
		return listed
	}
	return listed.Replace(listed.Revision, kept)
}
