// Package discovery follows the configuration and the endpoints. They come from a
// source, such as a metadata store, and from peers while the source is not reached.
// What is known carries when it was last confirmed; it never goes backward within the
// life of a process.
package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// ErrHistoryGone says that a watch can't go on from its revision: read all anew.
var ErrHistoryGone = errors.New("the source no longer has the changes since that revision")

// Document is a configuration as the operator wrote it. Revision 0 stands for none.
type Document struct {
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// State is all that the source holds, as of a revision.
type State struct {
	Revision  uint64           `json:"revision"`
	Document  Document         `json:"document"`
	Endpoints []fleet.Endpoint `json:"endpoints"`
}

// Changes is what has changed up to a revision.
type Changes struct {
	Revision uint64 `json:"revision"`
	// Document is the newest configuration among the changes; revision 0 if none is.
	Document  Document       `json:"document"`
	Endpoints []fleet.Change `json:"endpoints,omitempty"`
}

// Source gives configuration and endpoints. Its calls end with their contexts.
type Source interface {
	// State reads everything.
	State(ctx context.Context) (State, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the time to wait. It fails with ErrHistoryGone if they are not kept.
	Watch(ctx context.Context, since uint64, wait time.Duration) (Changes, error)
	// Decode reads a document.
	Decode(d Document) (route.Config, error)
}

// Peers gives what other instances know.
type Peers interface {
	// State asks some live instance for all that it knows, if that is newer than a
	// revision or as new. The age is how long before the answer the source confirmed it.
	State(ctx context.Context, newerThan uint64) (state State, age time.Duration, err error)
	// Relay returns the changes after a revision that a relay knows, as soon as there is
	// one, or none after the time to wait. It fails with ErrHistoryGone as a source does.
	Relay(ctx context.Context, relay string, since uint64, wait time.Duration) (changes Changes, age time.Duration, err error)
	// Relays returns the peer addresses of the instances that may relay the source's
	// changes to this one, in order; none if this one watches the source itself.
	Relays() []string
}

// View is what an instance knows. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table    *route.Table
	Document Document
	// Fleet has the endpoints that may be alive: those listed, and for a while after an
	// outage of the source those whose entries have lapsed.
	Fleet *fleet.Snapshot
	// listed has the endpoints that the source listed.
	listed *fleet.Snapshot
	// Confirmed is when the source last confirmed all this, by the steady clock;
	// the zero time if never.
	Confirmed time.Time
}

// Age is how long ago the source confirmed the view.
func (v *View) Age(now time.Time) time.Duration {
	if v.Confirmed.IsZero() {
		return 1 << 62
	}
	return now.Sub(v.Confirmed)
}
