package gateway

import (
	"context"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
)

// maxStartWaiting limits the requests that wait for the first view at the same time. Their bodies are
// accounted for by the reader of the requests.
const maxStartWaiting = 256

// StartWait lets requests that arrive before an instance has loaded its first view wait for it.
type StartWait struct {
	// Until is when waiting ends. The zero value stands for no waiting.
	Until time.Time
	// Loaded is closed when the first view is loaded.
	Loaded <-chan struct{}
}

// StopStartWait refuses the requests that wait for the first view, now or later. It is called when a
// planned stop begins.
func (x *Executor) StopStartWait() {
	x.stopStartWait.Do(func() { close(x.startWaitStopped) })
}

// awaitView waits until the first view is loaded and then uses the newest view. It reports whether the
// request is still to be handled; otherwise it has ended the request.
func (u *run) awaitView(ctx context.Context) bool {
	limit := u.startWaitLimit()
	if limit <= 0 || u.view.Loaded() || !u.reserveStartWait() {
		return true
	}
	defer u.startWaiting.Add(-1)
	arrived := u.Clock.Now()
	timer := u.Clock.NewTimer(limit)
	defer timer.Stop()
	stopped := false
	select {
	case <-u.StartWait.Loaded:
	case <-timer.Chan():
	case <-u.startWaitStopped:
		stopped = true
	case <-ctx.Done():
	}
	u.waitedForView = true
	u.startWaited = u.Clock.Since(arrived)
	if ctx.Err() != nil {
		u.logEnd(0, "client_left")
		return false
	}
	if stopped {
		u.refuse(RefuseStopping())
		return false
	}
	u.useView(u.View())
	return true
}

// startWaitLimit returns how long the request may wait for the first view: until the end of the start
// wait or, if that is earlier, until its client gives up.
func (u *run) startWaitLimit() time.Duration {
	until := u.StartWait.Until
	if u.request.MaxWait > 0 {
		until = earlier(until, u.request.Arrived.Add(u.request.MaxWait))
	}
	return until.Sub(u.Clock.Now())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reserveStartWait reports whether one more request may wait, and counts it if so.
func (u *run) reserveStartWait() bool {
	if u.startWaiting.Add(1) > maxStartWaiting {
		u.startWaiting.Add(-1)
		return false
	}
	return true
}

// useView sets the view by which the request is handled.
func (u *run) useView(view *discovery.View) {
	u.view = view
	u.age = view.Age(u.Clock.Now())
}
