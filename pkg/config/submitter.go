package config

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// maxBatch bounds the changes written in one swap.
	maxBatch = 64
	// firstPause and maxPause bound the random pause after a lost race or an
	// outage.
	firstPause = 5 * time.Millisecond
	maxPause   = 250 * time.Millisecond
)

// Result of a submitted change that was accepted.
type Result struct {
	Revision uint64
	// Repeated is true if the change had been accepted before this call.
	Repeated bool
}

// Submitter writes the changes submitted at one instance, those that wait
// together in one swap.
type Submitter struct {
	store *Store
	queue chan *submission
}

type submission struct {
	ctx    context.Context
	change Change
	done   chan outcome
	// doubt is true while a write of the change that had no answer may still
	// take effect. That write compares with doubtVersion of the head.
	doubt        bool
	doubtVersion int64
}

type outcome struct {
	result Result
	err    error
}

// NewSubmitter returns a submitter over store; Run must be called for it to work.
func NewSubmitter(store *Store) *Submitter {
	return &Submitter{store: store, queue: make(chan *submission, maxBatch)}
}

// Submit offers a change and waits for its fate. Without an error it is accepted.
// The kinds Invalid, Conflict, NotFound and Unavailable mean that it is not, and
// will not be unless submitted again; Unknown that it may be, and that the same
// id should be submitted again to learn which.
func (s *Submitter) Submit(ctx context.Context, change Change) (Result, error) {
	sub := &submission{ctx: ctx, change: change, done: make(chan outcome, 1)}
	select {
	case s.queue <- sub:
	case <-ctx.Done():
		return Result{}, notAccepted(ctx.Err(), change.ID)
	}
	// The fate is waited for even if ctx ends: Run looks at ctx itself, and only
	// it knows whether the change may have been written.
	o := <-sub.done
	return o.result, o.err
}

// Run writes submitted changes until ctx ends, then refuses those that wait.
func (s *Submitter) Run(ctx context.Context) {
	for {
		select {
		case sub := <-s.queue:
			s.settle(ctx, s.batch(sub))
		case <-ctx.Done():
			s.refuseAll(ctx.Err())
			return
		}
	}
}

func (s *Submitter) refuseAll(cause error) {
	for {
		select {
		case sub := <-s.queue:
			sub.done <- outcome{err: notAccepted(cause, sub.change.ID)}
		default:
			return
		}
	}
}

// batch returns first and what waits behind it.
func (s *Submitter) batch(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatch {
		select {
		case sub := <-s.queue:
			batch = append(batch, sub)
		default:
			return batch
		}
	}
	return batch
}

// settle tries until each of the batch has its fate.
func (s *Submitter) settle(ctx context.Context, batch []*submission) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	for len(batch) > 0 {
		cause := s.attempt(ctx, &batch)
		batch = dropEnded(ctx, batch, cause)
		if len(batch) > 0 {
			sleep(ctx, pause.NextBackOff())
		}
	}
}

// dropEnded answers those whose time is up and returns the others.
func dropEnded(ctx context.Context, batch []*submission, cause error) []*submission {
	var left []*submission
	for _, sub := range batch {
		ended := sub.ctx.Err() != nil || ctx.Err() != nil
		switch {
		case !ended:
			left = append(left, sub)
		case sub.doubt:
			sub.done <- outcome{err: unknownFate(cause, sub.change.ID)}
		default:
			sub.done <- outcome{err: notAccepted(cause, sub.change.ID)}
		}
	}
	return left
}

func notAccepted(cause error, id string) error {
	return problem.Wrap(cause, problem.Unavailable, "apply again when the platform's key-value service answers; nothing was changed", "change %s is not accepted", id)
}

// attempt reads the head, answers what can be answered, and tries to write the
// rest. It returns why something is left, and leaves that in batch.
func (s *Submitter) attempt(ctx context.Context, batch *[]*submission) error {
	ctx, cancel := batchContext(ctx, *batch)
	defer cancel()
	read, err := s.store.read(ctx)
	if err != nil {
		return err
	}
	before := s.store.replica.Current()
	next := before
	var changes []Change
	var writing []*submission
	for _, sub := range *batch {
		if done, ok := next.FindChange(sub.change.ID); ok {
			sub.done <- answerFound(sub, done, before)
			continue
		}
		sub.resolveDoubt(read.version)
		candidate := sub.change
		candidate.Revision = next.revision + 1
		checked, err := next.Check(candidate)
		if err != nil {
			sub.done <- outcome{err: sub.refusal(err)}
			continue
		}
		next = checked
		changes = append(changes, candidate)
		writing = append(writing, sub)
	}
	*batch = writing
	if len(writing) == 0 {
		return nil
	}
	err = s.store.write(ctx, read, before, next, changes)
	if err != nil {
		markDoubt(writing, read.version, err)
		return err
	}
	for i, sub := range writing {
		sub.done <- outcome{result: Result{Revision: changes[i].Revision}}
	}
	*batch = nil
	return nil
}

// answerFound answers a submission whose id is among the accepted changes. It is a
// repeat unless an earlier write of this very submission put it there.
func answerFound(sub *submission, done Accepted, before *Configuration) outcome {
	if done.Revision > before.revision {
		return outcome{result: Result{Revision: done.Revision, Repeated: true}}
	}
	return outcome{result: Result{Revision: done.Revision, Repeated: !sub.doubt}}
}

func markDoubt(subs []*submission, version int64, err error) {
	if problem.KindOf(err) != problem.Unknown {
		return
	}
	for _, sub := range subs {
		sub.doubt = true
		sub.doubtVersion = version
	}
}

// resolveDoubt ends the doubt if the head, which lacks the change, has moved past
// the version that the doubtful write compares with: that write fails now.
func (s *submission) resolveDoubt(version int64) {
	if version > s.doubtVersion {
		s.doubt = false
	}
}

// refusal returns err, or Unknown in its place while a doubtful write may still
// take effect.
func (s *submission) refusal(err error) error {
	if !s.doubt {
		return err
	}
	return unknownFate(err, s.change.ID)
}

func unknownFate(cause error, id string) error {
	return problem.Wrap(cause, problem.Unknown, "apply again with the same change id to learn its fate", "change %s may or may not be accepted", id)
}

// batchContext ends with ctx, or when the last submission's context ends.
func batchContext(ctx context.Context, batch []*submission) (context.Context, context.CancelFunc) {
	var latest time.Time
	for _, sub := range batch {
		deadline, ok := sub.ctx.Deadline()
		if !ok {
			return context.WithCancel(ctx)
		}
		if deadline.After(latest) {
			latest = deadline
		}
	}
	return context.WithDeadline(ctx, latest)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
