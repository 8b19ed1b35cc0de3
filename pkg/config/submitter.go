package config

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// maxBatch is the maximum number of changes written in one compare-and-swap.
	maxBatch = 64
	// initialBackoff and maxBackoff are the bounds of the randomised backoff after
	// a conflict or an outage.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// Result is the result of an accepted change.
type Result struct {
	Revision uint64
	// Repeated is set if the change had already been accepted before this call.
	Repeated bool
}

// Submitter writes the changes submitted at one instance. Queued changes are
// written in batches, each with one compare-and-swap.
type Submitter struct {
	store *Store
	queue chan *submission
}

type submission struct {
	ctx    context.Context
	change Change
	done   chan outcome
	// inDoubt is set while an earlier write of the change, whose result is unknown,
	// may still take effect. That write expects the head at inDoubtVersion.
	inDoubt        bool
	inDoubtVersion int64
}

type outcome struct {
	result Result
	err    error
}

// NewSubmitter returns a submitter over store; Run must be called for it to work.
func NewSubmitter(store *Store) *Submitter {
	return &Submitter{store: store, queue: make(chan *submission, maxBatch)}
}

// Submit submits a change and waits for its outcome. A nil error means that it is
// accepted. The kinds Invalid, Conflict, NotFound and Unavailable mean that it is
// not accepted and will not be unless submitted again. Unknown means that it may
// be accepted; submitting the same ID again returns the outcome.
func (s *Submitter) Submit(ctx context.Context, change Change) (Result, error) {
	sub := &submission{ctx: ctx, change: change, done: make(chan outcome, 1)}
	select {
	case s.queue <- sub:
	case <-ctx.Done():
		return Result{}, notAccepted(ctx.Err(), change.ID)
	}
	// Wait even if ctx is done: Run checks ctx itself, and only it knows whether
	// the change may have been written.
	o := <-sub.done
	return o.result, o.err
}

// Run writes submitted changes until ctx is done, then rejects those still queued.
func (s *Submitter) Run(ctx context.Context) {
	for {
		select {
		case sub := <-s.queue:
			s.process(ctx, s.batch(sub))
		case <-ctx.Done():
			s.rejectQueued(ctx.Err())
			return
		}
	}
}

func (s *Submitter) rejectQueued(cause error) {
	for {
		select {
		case sub := <-s.queue:
			sub.done <- outcome{err: notAccepted(cause, sub.change.ID)}
		default:
			return
		}
	}
}

// batch returns first and the submissions queued behind it.
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

// process retries until every submission of the batch has an outcome.
func (s *Submitter) process(ctx context.Context, batch []*submission) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialBackoff
	delay.MaxInterval = maxBackoff
	for len(batch) > 0 {
		cause := s.attempt(ctx, &batch)
		batch = dropExpired(ctx, batch, cause)
		if len(batch) > 0 {
			sleep(ctx, delay.NextBackOff())
		}
	}
}

// dropExpired completes the submissions whose context is done and returns the
// others.
func dropExpired(ctx context.Context, batch []*submission, cause error) []*submission {
	var remaining []*submission
	for _, sub := range batch {
		ended := sub.ctx.Err() != nil || ctx.Err() != nil
		switch {
		case !ended:
			remaining = append(remaining, sub)
		case sub.inDoubt:
			sub.done <- outcome{err: outcomeUnknown(cause, sub.change.ID)}
		default:
			sub.done <- outcome{err: notAccepted(cause, sub.change.ID)}
		}
	}
	return remaining
}

func notAccepted(cause error, id string) error {
	return problem.Wrap(cause, problem.Unavailable, "apply again when the platform's key-value service is available; nothing was changed", "change %s was not accepted", id)
}

// attempt reads the head, completes the submissions whose outcome is known, and
// tries to write the others. Submissions without an outcome remain in batch; the
// error says why.
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
			sub.done <- existingOutcome(sub, done, before)
			continue
		}
		sub.resolveInDoubt(read.version)
		candidate := sub.change
		candidate.Revision = next.revision + 1
		checked, err := next.Check(candidate)
		if err != nil {
			sub.done <- outcome{err: sub.rejection(err)}
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
		markInDoubt(writing, read.version, err)
		return err
	}
	for i, sub := range writing {
		sub.done <- outcome{result: Result{Revision: changes[i].Revision}}
	}
	*batch = nil
	return nil
}

// existingOutcome returns the outcome of a submission whose ID is already accepted.
// It is a repeat unless an earlier write of the same submission was accepted.
func existingOutcome(sub *submission, done AcceptedChange, before *Configuration) outcome {
	if done.Revision > before.revision {
		return outcome{result: Result{Revision: done.Revision, Repeated: true}}
	}
	return outcome{result: Result{Revision: done.Revision, Repeated: !sub.inDoubt}}
}

func markInDoubt(subs []*submission, version int64, err error) {
	if problem.KindOf(err) != problem.Unknown {
		return
	}
	for _, sub := range subs {
		sub.inDoubt = true
		sub.inDoubtVersion = version
	}
}

// resolveInDoubt clears the in-doubt state if the head, which lacks the change, is
// past the version that the earlier write expects: that write can only fail.
func (s *submission) resolveInDoubt(version int64) {
	if version > s.inDoubtVersion {
		s.inDoubt = false
	}
}

// rejection returns err, or a problem of kind Unknown if an earlier write may still
// take effect.
func (s *submission) rejection(err error) error {
	if !s.inDoubt {
		return err
	}
	return outcomeUnknown(err, s.change.ID)
}

func outcomeUnknown(cause error, id string) error {
	return problem.Wrap(cause, problem.Unknown, "apply again with the same change id to learn its outcome", "outcome of change %s is unknown", id)
}

// batchContext returns a context that is done with ctx or at the latest deadline of
// the batch.
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
