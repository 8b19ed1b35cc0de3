package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/decision"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

// minStall is the shortest pause in a stream that counts as a stall.
const minStall = 100 * time.Millisecond

// generate makes one attempt at a generation stage. It goes on behind the tokens
// that earlier attempts brought. An attempt that stalls is broken off, so that the
// stream can be resumed at another endpoint.
func (s *stageRun) generate(ctx context.Context, grant *decision.Grant, call endpoint.Call) (endpoint.Answer, error) {
	if len(s.tokens) > 0 {
		s.Metrics.resumes.Inc()
		s.Ring.Add(timeline.Event{Kind: timeline.StreamResumed, Request: s.request.ID, Stage: s.stage.Name, Endpoint: grant.Endpoint.Name})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := newStallTimer(s.stallTime(), cancel)
	defer stall.stop()
	return s.Caller.Generate(ctx, grant.Endpoint.Address, call, s.tokens, func(token endpoint.Token) error {
		stall.restart()
		s.tokens = append(s.tokens, token)
		return s.emit(token)
	})
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

// stallTime is how long a stream may pause. A request that may not be repeated can
// gain nothing from breaking off, and so never stalls.
func (s *stageRun) stallTime() time.Duration {
	if s.Baseline || !s.request.Repeatable {
		return time.Until(s.request.Deadline) + time.Minute
	}
	mean, deviation := s.pool.Latency(s.Clock.Now())
	if mean == 0 {
		return max(minStall, time.Until(s.request.Deadline)/3)
	}
	return max(minStall, mean+hedgeDeviations*deviation)
}

// stallTimer calls a function when it has not been restarted for a time.
type stallTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	after   time.Duration
	stopped bool
}

func newStallTimer(after time.Duration, f func()) *stallTimer {
	return &stallTimer{timer: time.AfterFunc(after, f), after: after}
}

func (t *stallTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.after)
	}
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
