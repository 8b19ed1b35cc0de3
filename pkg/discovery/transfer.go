package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// stallTimeout is how long an answer may pause. It is more than a lost packet's second
	// sending takes on a full link.
	stallTimeout = time.Second
	// longestTransfer bounds an answer that goes on coming: the source keeps its history for
	// as long, so that what comes later is not followed by a watch.
	longestTransfer = 20 * time.Second
)

// transfer bounds a call by the silence of the other side, and not by how long its answer
// takes: that grows with the answer's size and shrinks with the link's rate, and an answer
// that is cut off has to be begun anew.
type transfer struct {
	clock   clockwork.Clock
	begin   time.Time
	silence clockwork.Timer
	whole   clockwork.Timer
	cancel  context.CancelFunc
	bytes   atomic.Int64
	// firstAt is when the first bytes came, lastAt when the last ones did.
	firstAt atomic.Pointer[time.Time]
	lastAt  atomic.Pointer[time.Time]
}

// newTransfer returns the context of a call whose answer must begin within a time. End has
// to be called when it is over.
func newTransfer(ctx context.Context, clock clockwork.Clock, first time.Duration) (context.Context, *transfer) {
	ctx, cancel := context.WithCancel(ctx)
	t := &transfer{clock: clock, begin: clock.Now(), cancel: cancel}
	t.silence = clock.AfterFunc(first, cancel)
	t.whole = clock.AfterFunc(longestTransfer, cancel)
	return ctx, t
}

// progress is told of bytes that have come.
func (t *transfer) progress(bytes int) {
	now := t.clock.Now()
	t.lastAt.Store(&now)
	if t.bytes.Add(int64(bytes)) == int64(bytes) {
		t.firstAt.Store(&now)
	}
	t.silence.Reset(stallTimeout)
}

// confirmedAt is when the source confirmed what the answer to a watch says: when it began to
// come, but no later than the watch's time to wait, after which the source answers at once. What
// an answer is held up beyond that does not make it younger.
func (t *transfer) confirmedAt(wait time.Duration) time.Time {
	latest := t.begin.Add(wait)
	if first := t.firstAt.Load(); first != nil && first.Before(latest) {
		return *first
	}
	if now := t.clock.Now(); now.Before(latest) {
		return now
	}
	return latest
}

// coming tells whether bytes came within the last time to look back.
func (t *transfer) coming(now time.Time, lookBack time.Duration) bool {
	last := t.lastAt.Load()
	return last != nil && now.Sub(*last) < lookBack
}

func (t *transfer) end() {
	t.silence.Stop()
	t.whole.Stop()
	t.cancel()
}
