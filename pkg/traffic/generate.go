package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// minStall is the shortest pause in a stream that counts as a stall.
	minStall = 250 * time.Millisecond
	// stallDeviations is how many mean deviations above the mean of whole calls a
	// first token may take, and stallGaps how many times the mean gap of its own
	// stream a later one.
	stallDeviations = 8
	stallGaps       = 20
)

// generate makes one attempt at a generation stage. It goes on behind the tokens
// that earlier attempts brought. An attempt that stalls is broken off, so that the
// stream can be resumed at another endpoint.
func (s *stageRun) generate(ctx context.Context, grant *scheduling.Grant, call endpoint.Call) (endpoint.Response, error) {
	if len(s.tokens) > 0 {
		s.Metrics.resumes.Inc()
		s.Ring.Add(timeline.Event{Kind: timeline.StreamResumed, Request: s.request.ID, Stage: s.stage.Name, Endpoint: grant.Endpoint.Name})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := newStallTimer(s.firstTokenTime(), cancel)
	defer stall.stop()
	var first time.Time
	received := 0
	return s.Caller.Generate(ctx, grant.Endpoint.Address, call, s.tokens, func(token endpoint.Token) error {
		if received == 0 {
			first = time.Now()
		}
		received++
		stall.restart(s.nextTokenTime(time.Since(first), received))
		s.tokens = append(s.tokens, token)
		return s.emit(token)
	})
}

// mayStall tells whether anything could be gained by breaking a stream off: a request
// that may not be repeated, or has no attempt or no other endpoint left, can only wait.
func (s *stageRun) mayStall() bool {
	return !s.Baseline && s.request.Repeatable && len(s.tried) < s.attemptBound() && s.pool.HasUntried(s.tried)
}

// never is longer than any request lasts.
const never = 24 * time.Hour

// firstTokenTime is how long the first token of an attempt may take. Prompts differ
// in length, and so the time doubles with each attempt.
func (s *stageRun) firstTokenTime() time.Duration {
	if !s.mayStall() {
		return never
	}
	mean, deviation := s.pool.Latency(s.Clock.Now())
	if mean == 0 {
		return max(minStall, time.Until(s.request.Deadline)/3)
	}
	return max(minStall, mean+stallDeviations*deviation) << (len(s.tried) - 1)
}

// nextTokenTime is how long the token after the received ones may take, which came
// over a time since the first.
func (s *stageRun) nextTokenTime(since time.Duration, received int) time.Duration {
	if !s.mayStall() {
		return never
	}
	gap := since / time.Duration(max(received-1, 1))
	return max(minStall, stallGaps*gap)
}

// emit gives a token to the caller, if it wants tokens and this stage is the last.
func (s *stageRun) emit(token endpoint.Token) error {
	if s.sink == nil || s.index != len(s.pipeline.Stages)-1 {
		return nil
	}
	s.streaming.Lock()
	defer s.streaming.Unlock()
	if s.closed {
		return errStreamClosed
	}
	return s.sink(token)
}

// errStreamClosed stops a stream whose request has its result already.
var errStreamClosed = errors.New("the request has its result")

// stallTimer calls a function when it has not been restarted for a time.
type stallTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newStallTimer(after time.Duration, f func()) *stallTimer {
	return &stallTimer{timer: time.AfterFunc(after, f)}
}

func (t *stallTimer) restart(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(after)
	}
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
