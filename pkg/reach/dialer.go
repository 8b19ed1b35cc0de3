package reach

import (
	"context"
	"net"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

// Dialer connects to endpoints and records the outcome.
type Dialer struct {
	Direct  httpconn.Dialer
	Tracker *Tracker
}

var _ httpconn.Dialer = (*Dialer)(nil)

// Dial implements httpconn.Dialer.
func (d *Dialer) Dial(ctx context.Context, target httpconn.Target) (net.Conn, error) {
	conn, err := d.Direct.Dial(ctx, target)
	switch {
	case err == nil:
		d.Tracker.Connected(target.FailureDomain, target.ID)
	case ctx.Err() == nil:
		d.Tracker.Failed(target.FailureDomain, target.ID)
	}
	return conn, err
}
