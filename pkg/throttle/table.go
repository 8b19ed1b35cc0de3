// Package throttle keeps the limits that endpoints in need name in their answers: the requests a second that one
// takes from all instances together, for as long as it says so.
package throttle

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Table has the limits that endpoints name. Safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// inForce is how many limits hold, so that it costs nothing to ask while there are none.
	inForce atomic.Int64

	mu sync.Mutex
	// standings are by the ID of an endpoint's life.
	standings map[string]standing
	// turn is how many limits were told, so that the next are others.
	turn int
}

// standing is what an endpoint's life said last of its limit.
type standing struct {
	limited bool
	// perSecond is the limit, in requests a second.
	perSecond float64
	// said is when an instance heard it.
	said time.Time
}

// NewTable returns a table without limits.
func NewTable(clock clockwork.Clock, log *logrus.Entry) *Table {
	return &Table{clock: clock, log: log, standings: map[string]standing{}}
}

// Name takes in that an endpoint's life has just named a limit, in requests a second.
func (t *Table) Name(life string, perSecond float64) {
	t.take(life, standing{limited: true, perSecond: perSecond, said: t.clock.Now()})
}

// Lift takes in that an endpoint's life has just answered without naming a limit.
func (t *Table) Lift(life string) {
	if t.inForce.Load() > 0 {
		t.take(life, standing{said: t.clock.Now()})
	}
}

// take keeps a standing that is newer than what is known.
func (t *Table) take(life string, s standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.standings[life]
	if known && !s.said.After(before.said) || !known && !s.limited {
		return
	}
	t.standings[life] = s
	if s.limited && !before.limited {
		t.inForce.Add(1)
	}
	if !s.limited && before.limited {
		t.inForce.Add(-1)
	}
	if s.limited != before.limited || s.perSecond != before.perSecond {
		t.log.WithFields(logrus.Fields{"event": "endpoint_limits", "endpoint": life, "limited": s.limited, "per_second": s.perSecond}).Info()
	}
}

// PerSecond is the limit of an endpoint's life, in requests a second, and whether it names one.
func (t *Table) PerSecond(life string) (float64, bool) {
	if t.inForce.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.standings[life]
	return s.perSecond, s.limited
}

// age is how long ago an endpoint's life said what is known of its limit.
func (t *Table) age(life string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Since(t.standings[life].said)
}

// onTheWay is added to the age of what is told, for the time until it is heard: otherwise old news would become newer with each
// instance that passes it on, and win over what an endpoint has said since.
const onTheWay = 250 * time.Millisecond

// Tell returns up to n limits, and others the next time if there are more.
func (t *Table) Tell(n int) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.standings) == 0 {
		return nil
	}
	lives := slices.Sorted(maps.Keys(t.standings))
	n = min(n, len(lives))
	told := make([]Limit, 0, n)
	for i := range n {
		life := lives[(t.turn+i)%len(lives)]
		s := t.standings[life]
		told = append(told, Limit{Life: life, Limited: s.limited, PerSecond: s.perSecond, Age: t.clock.Since(s.said) + onTheWay})
	}
	t.turn = (t.turn + n) % len(lives)
	return told
}

// Hear takes in what another instance tells.
func (t *Table) Hear(limits []Limit) {
	now := t.clock.Now()
	for _, l := range limits {
		t.take(l.Life, standing{limited: l.Limited, perSecond: l.PerSecond, said: now.Add(-l.Age)})
	}
}

// Count is how many limits hold.
func (t *Table) Count() int { return int(t.inForce.Load()) }

// List returns the limits that hold, in requests a second.
func (t *Table) List() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]float64{}
	for life, s := range t.standings {
		if s.limited {
			list[life] = s.perSecond
		}
	}
	return list
}

// liftedKept is how long it is remembered that a limit was lifted, so that older news of it is known to be old.
const liftedKept = time.Minute

// Sweep forgets limits that were lifted, and those of endpoints that are gone.
func (t *Table) Sweep(exists func(life string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for life, s := range t.standings {
		old := t.clock.Since(s.said) > liftedKept
		if s.limited && exists(life) || !old {
			continue
		}
		if s.limited {
			t.inForce.Add(-1)
		}
		delete(t.standings, life)
	}
}
