package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Answer grants calls to another instance, if this one may.
func (k *Keeper) Answer(a Ask) Grant {
	k.table.Hear([]Limit{{Life: a.Life, Limited: true, PerSecond: a.PerSecond, Age: time.Duration(a.AgeMs) * time.Millisecond}})
	perSecond, limited := k.table.PerSecond(a.Life)
	if !limited {
		return Grant{Lifted: true, AgeMs: k.table.age(a.Life).Milliseconds()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e := k.endpoint(now, a.Life)
	if !e.own {
		return Grant{AfterMs: askTimeout.Milliseconds()}
	}
	rate := k.rate(perSecond)
	if granted := e.bucket.take(now, rate, max(0, min(a.Wanted, mostWanted(perSecond)))); granted > 0 {
		return Grant{Granted: granted}
	}
	// Those who ask in vain are told to come one after another.
	next := now.Add(e.bucket.wait(now, rate))
	if booked := e.booked.Add(time.Duration(float64(time.Second) / rate)); booked.After(next) {
		next = booked
	}
	e.booked = earliest(next, now.Add(lastAfter))
	return Grant{AfterMs: e.booked.Sub(now).Milliseconds() + 1}
}

// rate is how many calls a second are granted of a limit: the part of it that belongs to the instances in sight.
func (k *Keeper) rate(perSecond float64) float64 { return max(leastPerSecond, perSecond) * k.part }

// mostWanted bounds what is asked for at once.
func mostWanted(perSecond float64) int { return max(1, int(math.Ceil(wantedSeconds*perSecond))) }

// chooseGrantor returns the instance that grants the calls to an endpoint: all that see the same others choose the same.
func chooseGrantor(candidates []Peer, life, domain string) Peer {
	weight := func(p Peer) uint64 { return xxhash.Sum64String("grantor/" + life + "/" + p.Name) }
	near := func(p Peer) int {
		if p.FailureDomain == domain {
			return 1
		}
		return 0
	}
	return slices.MaxFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(weight(a), weight(b)))
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
