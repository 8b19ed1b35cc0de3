// Package discovery follows the configuration and the endpoints. They come from a
// source, such as a metadata store, and from peers. The two are followed apart: changes of
// endpoints are small and urgent, a configuration may be large and is passed on between
// peers. What is known carries when it was last confirmed; it never goes backward within
// the life of a process.
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

// State is the endpoints that the source lists, as of a revision.
type State struct {
	Revision  uint64           `json:"revision"`
	Endpoints []fleet.Endpoint `json:"endpoints"`
	// Refused are the entries that name no endpoint to use.
	Refused []fleet.Change `json:"-"`
}

// Changes is what has changed of the endpoints up to a revision.
type Changes struct {
	Revision  uint64         `json:"revision"`
	Endpoints []fleet.Change `json:"endpoints,omitempty"`
}

// Newest is the newest document as of a revision of the source.
type Newest struct {
	// At is the revision of the source; each change of anything raises it.
	At uint64
	// Document has revision 0 if there is none that the asker does not have.
	Document Document
	// Evacuations are the orders to evacuate failure domains, in the order in which they were
	// given: of a reading all that are in force, of a watch those after its revision.
	Evacuations []fleet.Evacuation
	// Rollouts are the orders to move traffic between versions, told as the evacuations are.
	Rollouts []fleet.RolloutOrder
}

// Progress is told each time that bytes of an answer have come.
type Progress func(bytes int)

// Source gives configuration and endpoints. Its calls end with their contexts, and tell
// their progress.
type Source interface {
	// State reads all endpoints.
	State(ctx context.Context, progress Progress) (State, error)
	// Watch returns the changes of endpoints after a revision as soon as there is one, or
	// none after the time to wait. It fails with ErrHistoryGone if they are not kept.
	Watch(ctx context.Context, since uint64, wait time.Duration, progress Progress) (Changes, error)
	// Document reads the newest document, and the orders in force.
	Document(ctx context.Context, progress Progress) (Newest, error)
	// WatchDocument returns the newest document as soon as one was written after a revision
	// of the source, or an order given or taken back, or neither after the time to wait.
	// It fails as Watch does.
	WatchDocument(ctx context.Context, since uint64, wait time.Duration, progress Progress) (Newest, error)
	// Decode reads a document.
	Decode(d Document) (route.Config, error)
}

// Mark says which document an instance has in force, and how far it knows that to be the
// newest.
type Mark struct {
	// Revision is that of the document; 0 stands for none.
	Revision uint64 `json:"revision"`
	// At is the source's revision as of which it was the newest, confirmed Age before the
	// mark was given, in nanoseconds.
	At  uint64        `json:"at"`
	Age time.Duration `json:"age_ns"`
	// Newest is the revision of the newest document that the instance has heard of.
	Newest uint64 `json:"newest"`
	// Evacuations are the failure domains that it knows to be evacuated. A version that does not
	// tell them knows none; who hears it asks the source.
	Evacuations fleet.Evacuations `json:"evacuations,omitzero"`
	// Rollouts are the orders to move traffic between versions that it knows; as for evacuations, a version
	// that does not tell them knows none.
	Rollouts fleet.Rollouts `json:"rollouts,omitzero"`
}

// Known is what a peer knows.
type Known struct {
	State State `json:"state"`
	// Same says that the asker has the endpoints of that revision, which are left out.
	Same bool `json:"same,omitempty"`
	// Age is how long before the answer the source confirmed the state, in nanoseconds.
	Age  time.Duration `json:"age_ns"`
	Mark Mark          `json:"mark"`
}

// Relayed is what a relay tells of the endpoints after a revision.
type Relayed struct {
	Changes Changes `json:"changes"`
	// Gone says that the changes are not kept: the endpoints have to be read anew.
	Gone bool `json:"gone,omitempty"`
	// Age is how long before the answer the source confirmed it, in nanoseconds.
	Age  time.Duration `json:"age_ns"`
	Mark Mark          `json:"mark"`
}

// RelaySelect says what the asker of a relay has.
type RelaySelect struct {
	// Since is the revision of the endpoints, Document the one up to which the asker knows, or
	// has heard of, all documents.
	Since    uint64
	Document uint64
	// Evacuations are those that the asker knows of.
	Evacuations fleet.Evacuations
	// Rollouts are the orders that the asker knows of.
	Rollouts fleet.Rollouts
	// Wait is how long to wait for something newer.
	Wait time.Duration
}

// Peers gives what other instances know.
type Peers interface {
	// State asks some live instance for the endpoints that it knows, if they are newer than
	// those of a revision.
	State(ctx context.Context, newerThan uint64) (Known, error)
	// Relay returns what a relay knows beyond what the asker has, as soon as there is
	// something, or nothing new after the time to wait.
	Relay(ctx context.Context, relay string, selection RelaySelect) (Relayed, error)
	// Relays returns the peer addresses of the instances that may relay the source's
	// changes to this one, in order; none if this one watches the source itself.
	Relays() []string
	// Holders returns the peer addresses of live instances that have a document in force that
	// is newer than a revision, best first.
	Holders(newerThan uint64) []string
	// Piece returns a piece of the packed document that a peer has in force.
	Piece(ctx context.Context, peer string, selection PieceSelect) (Piece, error)
	// Announce has the others told at once which document is in force here.
	Announce()
}
