package throttle

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// askTime is how long an answer to an Ask is expected to take, and askTimeout how long it is waited for.
	askTime    = 50 * time.Millisecond
	askTimeout = 500 * time.Millisecond
	// firstAfter and lastAfter bound how long after a refusal an instance asks again.
	firstAfter = 50 * time.Millisecond
	lastAfter  = 2 * time.Second
	// asksPerCall is how many instances ask in a second for each call a second that a limit allows: where many more
	// might use one, a few of them are drawn.
	asksPerCall = 2
	// wantedSeconds bounds what is asked for at once, in seconds of the whole limit.
	wantedSeconds = 0.25
)

// drop drops the permits that have run out.
func (e *endpoint) drop(now time.Time) {
	e.permits = slices.DeleteFunc(e.permits, func(end time.Time) bool { return !now.Before(end) })
}

// wanted is how many calls are asked for: twice as many as last time if all of those were used, and as many as were
// used if some were not.
func (e *endpoint) wanted(perSecond float64) int {
	wanted := e.spent
	if e.spent >= e.last {
		wanted = 2 * e.last
	}
	return max(1, min(wanted, mostWanted(perSecond)))
}

// ask asks the grantor for calls, unless so many instances might that this one is not drawn.
func (k *Keeper) ask(now time.Time, life string, e *endpoint, perSecond float64) {
	if k.draw()*float64(len(k.candidates)) > asksPerCall*max(leastPerSecond, perSecond) {
		e.nextAsk = now.Add(time.Second)
		return
	}
	e.asking = true
	ask := Ask{Life: life, Wanted: e.wanted(perSecond), PerSecond: perSecond, AgeMs: k.table.age(life).Milliseconds()}
	k.start(func() { k.take(now, e, ask) })
}

// take asks the grantor, and takes in what it grants.
func (k *Keeper) take(asked time.Time, e *endpoint, ask Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	k.mu.Lock()
	grantor := e.grantor
	k.mu.Unlock()
	grant, err := k.peers.Ask(ctx, grantor, ask)
	if grant.Lifted {
		k.table.Hear([]Limit{{Life: ask.Life, Age: time.Duration(grant.AgeMs) * time.Millisecond}})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	e.asking = false
	switch {
	case err != nil:
		e.nextAsk = now.Add(lastAfter)
		k.log.WithFields(logrus.Fields{"event": "permits_not_asked", "endpoint": ask.Life, "instance": grantor.Name}).Info(err)
	case grant.Granted == 0:
		after := time.Duration(grant.AfterMs) * time.Millisecond
		e.nextAsk = now.Add(max(firstAfter, min(lastAfter, after)))
	default:
		e.last, e.spent = grant.Granted, 0
		for range min(grant.Granted, ask.Wanted) {
			e.permits = append(e.permits, asked.Add(permitLife))
		}
	}
}
