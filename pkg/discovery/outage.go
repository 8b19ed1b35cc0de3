package discovery

import (
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

const (
	// outageThreshold is how long the source must be unreachable before entries of live endpoints
	// may have expired there.
	outageThreshold = 2 * time.Second
	// minOutageCalls is how many calls in a row must have failed. A single one may have met a
	// connection that fell silent while the source serves others; the next one is made on a new
	// connection, and without waiting for changes.
	minOutageCalls = 2
	// reregistrationGrace is how long live endpoints may take to register again after an outage.
	reregistrationGrace = 2 * time.Second
)

// outageGrace retains endpoints whose entries expired during an outage of the source, because
// entries cannot be renewed then. Endpoints that have not registered again within
// reregistrationGrace are dropped, and departing endpoints are not retained. It is only accessed by
// the goroutine that owns the view.
type outageGrace struct{ until time.Time }

// sourceConfirmed records that the source confirmed the view at now, after it last did so at
// before, which is zero if it never did, and after a number of calls that failed in a row. It reports
// whether an outage has ended.
func (l *outageGrace) sourceConfirmed(before, now time.Time, failedCalls int) bool {
	if before.IsZero() || now.Sub(before) < outageThreshold || failedCalls < minOutageCalls {
		return false
	}
	l.until = now.Add(reregistrationGrace)
	return true
}

// retain returns the listed endpoints together with those of the previous snapshot that are within
// the grace period.
func (l *outageGrace) retain(now time.Time, before, listed *fleet.Snapshot) *fleet.Snapshot {
	if !now.Before(l.until) {
		return listed
	}
	kept := listed.All()
	for _, e := range before.All() {
		if !listed.HasName(e.Name()) && !e.Leaving {
			kept = append(kept, e)
		}
	}
	if len(kept) == len(listed.All()) {
		return listed
	}
	return listed.Replace(listed.Revision, kept)
}
