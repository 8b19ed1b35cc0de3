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
	// minStallTimeout is the minimum gap between tokens that counts as a stall.
	minStallTimeout = 250 * time.Millisecond
	// The first token may take the mean call latency plus stallDeviations mean
	// deviations; later tokens may take stallGaps times the stream's mean token gap.
	stallDeviations = 8
	stallGaps       = 20
)

// generate makes one attempt at a generation stage, resuming after the tokens that
// earlier attempts returned. A stalled attempt is cancelled so that the stream can be
// resumed at another endpoint.
func (s *stageRun) generate(ctx context.Context, grant *scheduling.Grant, call endpoint.Call) (endpoint.Response, error) {
	if len(s.tokens) > 0 {
		s.Metrics.resumes.Inc()
		s.Ring.Add(timeline.Event{Kind: timeline.StreamResumed, Request: s.request.ID, Stage: s.stage.Name, Endpoint: grant.Endpoint.Name})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := newStallTimer(s.firstTokenTimeout(), cancel)
	defer stall.stop()
	var first time.Time
	received := 0
	return s.Caller.Generate(ctx, grant.Endpoint.Address, call, s.tokens, func(token endpoint.Token) error {
		if received == 0 {
			first = time.Now()
		}
		received++
		stall.restart(s.nextTokenTimeout(time.Since(first), received))
		s.tokens = append(s.tokens, token)
		return s.emit(token)
	})
}

// canResume reports whether a stalled stream can be resumed elsewhere: the request
// must be repeatable, and an attempt and an untried endpoint must be left.
func (s *stageRun) canResume() bool {
	return !s.Baseline && s.request.Repeatable && len(s.tried) < s.attemptLimit() && s.pool.HasUntried(s.tried)
}

// noStallTimeout exceeds the duration of any request.
const noStallTimeout = 24 * time.Hour

// firstTokenTimeout returns the timeout of the first token. It doubles with each
// attempt, since long prompts take longer to process.
func (s *stageRun) firstTokenTimeout() time.Duration {
	if !s.canResume() {
		return noStallTimeout
	}
	mean, deviation := s.pool.Latency(s.Clock.Now())
	if mean == 0 {
		return max(minStallTimeout, time.Until(s.request.Deadline)/3)
	}
	return max(minStallTimeout, mean+stallDeviations*deviation) << (len(s.tried) - 1)
}

// nextTokenTimeout returns the timeout of the next token, given the number of tokens
// received and the time since the first.
func (s *stageRun) nextTokenTimeout(since time.Duration, received int) time.Duration {
	if !s.canResume() {
		return noStallTimeout
	}
	gap := since / time.Duration(max(received-1, 1))
	return max(minStallTimeout, stallGaps*gap)
}

// emit passes a token to the caller's sink, if there is one and this is the last stage.
func (s *stageRun) emit(token endpoint.Token) error {
	if s.sink == nil || s.index != len(s.pipeline.Stages)-1 {
		return nil
	}
	s.streamMu.Lock()
	defer s.streamMu.Unlock()
	if s.streamClosed {
		return errStreamClosed
	}
	return s.sink(token)
}

// errStreamClosed stops the stream of a request that is already completed.
var errStreamClosed = errors.New("request already completed")

// stallTimer calls a function unless it is restarted or stopped in time.
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
