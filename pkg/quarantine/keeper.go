package quarantine

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// recallTimeout bounds how long a request waits for what the store has of it; the store answers
	// within 10 ms when it is well.
	recallTimeout = 50 * time.Millisecond
	// keepTimeout bounds one writing. One that failed is made again keepTries times in all, after a pause
	// each, which outlasts a store that is slow or turns calls away for a while.
	keepTimeout = time.Second
	keepTries   = 5
	keepPause   = 500 * time.Millisecond
	// waiting bounds the ends that wait to be written, and atOnce those that are written together.
	waiting = 256
	atOnce  = 32
)

// Store keeps ends where instances find them that hear nothing of each other: across a cut, or after all
// have started anew. It may forget them after ten minutes.
type Store interface {
	// Keep writes ends.
	Keep(ctx context.Context, ends []End) error
	// Kept returns those of a request.
	Kept(ctx context.Context, d Digest) ([]End, error)
}

// Keeper is a table whose news go to the other instances and to a store. Safe for concurrent use.
type Keeper struct {
	*Table
	store Store
	// tellAll has all other instances told what is new in the table.
	tellAll func()
	clock   clockwork.Clock
	log     *logrus.Entry
	// unkept are the ends that wait to be written.
	unkept chan End
}

// NewKeeper returns a keeper of a table. The function tellAll has all other instances told at once what is
// new in it, and must not block.
func NewKeeper(table *Table, store Store, tellAll func(), clock clockwork.Clock, log *logrus.Entry) *Keeper {
	return &Keeper{Table: table, store: store, tellAll: tellAll, clock: clock, log: log, unkept: make(chan End, waiting)}
}

// Note takes in that an endpoint's life ended now under a request, as this instance saw.
func (k *Keeper) Note(d Digest, life string) {
	k.Table.Note(d, life)
	k.pass([]End{{Digest: d, Life: life}})
}

// Clear takes in that a request ran without ending its endpoint.
func (k *Keeper) Clear(d Digest) {
	if k.Table.Clear(d) {
		k.pass(k.Table.of(d))
	}
}

// pass has the other instances told, and ends written to the store.
func (k *Keeper) pass(ends []End) {
	k.tellAll()
	for _, e := range ends {
		select {
		case k.unkept <- e:
		default:
			k.log.WithFields(logrus.Fields{"event": "end_not_kept", "digest": e.Digest.String()}).Warn("too many wait to be written")
		}
	}
}

// Recall reads what the store has of a request, if an endpoint has ended under it and it is not held: the
// ends that make it three may have been seen by instances of which nothing is heard here. So each side
// of a cut sends such a request once by itself, and not three times; so do all together that have
// started anew.
func (k *Keeper) Recall(ctx context.Context, d Digest) {
	if !k.Suspects(d) || k.Holds(d) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	ends, err := k.store.Kept(ctx, d)
	if err != nil {
		k.log.WithFields(logrus.Fields{"event": "ends_not_recalled", "digest": d.String()}).Info(err)
		return
	}
	k.Hear(ends)
}

// Run writes ends to the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case e := <-k.unkept:
			k.keep(ctx, k.together(e))
		case <-ctx.Done():
			return
		}
	}
}

// together returns an end and those that wait beside it.
func (k *Keeper) together(first End) []End {
	ends := []End{first}
	for len(ends) < atOnce {
		select {
		case e := <-k.unkept:
			ends = append(ends, e)
		default:
			return ends
		}
	}
	return ends
}

// keep writes ends, again if it fails.
func (k *Keeper) keep(ctx context.Context, ends []End) {
	for try := 1; ; try++ {
		err := k.keepOnce(ctx, ends)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.log.WithFields(logrus.Fields{"event": "ends_not_kept", "ends": len(ends), "try": try}).Warn(err)
		if try == keepTries {
			return
		}
		select {
		case <-k.clock.After(keepPause):
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) keepOnce(ctx context.Context, ends []End) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return k.store.Keep(ctx, ends)
}
