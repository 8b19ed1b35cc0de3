package bootclock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithDeadline returns a context that ends with ctx or at the given time of the clock. Go's context
// deadlines do not advance while the machine is suspended.
func WithDeadline(ctx context.Context, clock clockwork.Clock, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(at.Sub(clock.Now()), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
