package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// stallTimeout is how long a response may stall. It allows for the retransmission of a lost
	// packet on a saturated link.
	stallTimeout = time.Second
	// maxTransferTime bounds a response that keeps arriving. The source retains its history for the
	// same time, so that a watch could not continue from a later response.
	maxTransferTime = 20 * time.Second
)

// transfer bounds a call by inactivity instead of total duration, which depends on the size of the
// response and the bandwidth. A response that is cut off has to be requested again in full.
type transfer struct {
	clock      clockwork.Clock
	begin      time.Time
	stallTimer clockwork.Timer
	totalTimer clockwork.Timer
	cancel     context.CancelFunc
	bytes      atomic.Int64
	// firstAt is when the first bytes arrived, and lastAt when the latest did.
	firstAt atomic.Pointer[time.Time]
	lastAt  atomic.Pointer[time.Time]
}

// newTransfer returns the context of a call whose response has to start within the given time. The
// caller must call end when the call is finished.
func newTransfer(ctx context.Context, clock clockwork.Clock, first time.Duration) (context.Context, *transfer) {
	ctx, cancel := context.WithCancel(ctx)
	t := &transfer{clock: clock, begin: clock.Now(), cancel: cancel}
	t.stallTimer = clock.AfterFunc(first, cancel)
	t.totalTimer = clock.AfterFunc(maxTransferTime, cancel)
	return ctx, t
}

// progress records received bytes and resets the stall timer.
func (t *transfer) progress(bytes int) {
	now := t.clock.Now()
	t.lastAt.Store(&now)
	if t.bytes.Add(int64(bytes)) == int64(bytes) {
		t.firstAt.Store(&now)
	}
	t.stallTimer.Reset(stallTimeout)
}

// confirmedAt returns when the source confirmed the response to a watch: when the response started
// to arrive, but no later than the end of the watch, after which the source responds at once.
// Network delay beyond that does not make the response more recent.
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

// receiving reports whether bytes arrived within the last lookBack.
func (t *transfer) receiving(now time.Time, lookBack time.Duration) bool {
	last := t.lastAt.Load()
	return last != nil && now.Sub(*last) < lookBack
}

func (t *transfer) end() {
	t.stallTimer.Stop()
	t.totalTimer.Stop()
	t.cancel()
}
