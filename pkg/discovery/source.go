// Package discovery keeps the configuration and the endpoints up to date from a source, such as a
// metadata store, and from peers. The two are followed separately: endpoint changes are small and
// urgent, while a configuration may be large and is distributed between peers. The state carries
// the time of its last confirmation and never goes backward during the lifetime of a process.
package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// ErrHistoryGone is returned by a watch whose revision has been compacted. All data has to be read
// again.
var ErrHistoryGone = errors.New("the changes since that revision are no longer available")

// Document is a configuration as written by the operator. Revision 0 means none.
type Document struct {
	Revision revision.Revision `json:"revision"`
	Data     []byte            `json:"data"`
}

// State contains the endpoints that the source lists as of a revision.
type State struct {
	Revision  revision.Revision `json:"revision"`
	Endpoints []fleet.Endpoint  `json:"endpoints"`
	// Refused contains the invalid entries.
	Refused []fleet.Change `json:"-"`
}

// Changes contains the changes of the endpoints up to a revision.
type Changes struct {
	Revision  revision.Revision `json:"revision"`
	Endpoints []fleet.Change    `json:"endpoints,omitempty"`
}

// LatestDocument is the newest document as of a revision of the source.
type LatestDocument struct {
	// At is the revision of the source, which increases with every write.
	At revision.Revision
	// Document has revision 0 if the caller already has the newest one.
	Document Document
	// Evacuations contains the evacuation orders in the order in which they were given: all that
	// are in force for a read, those after the requested revision for a watch.
	Evacuations []fleet.Evacuation
	// Rollouts contains the rollout orders, with the same scope as Evacuations.
	Rollouts []fleet.RolloutOrder
}

// Progress is called whenever bytes of a response have arrived.
type Progress func(bytes int)

// Source provides the configuration and the endpoints. Its calls end with their contexts and report
// their progress.
type Source interface {
	State(ctx context.Context, progress Progress) (State, error)
	// Watch returns the changes of the endpoints after a revision as soon as there are any, or none
	// when the wait time expires. It returns ErrHistoryGone if they are no longer available.
	Watch(ctx context.Context, since revision.Revision, wait time.Duration, progress Progress) (Changes, error)
	// Document reads the newest document and the orders in force.
	Document(ctx context.Context, progress Progress) (LatestDocument, error)
	// WatchDocument returns as soon as a document was written or an order was given or withdrawn
	// after a revision of the source, or when the wait time expires. It returns ErrHistoryGone if
	// the changes since that revision are no longer available.
	WatchDocument(ctx context.Context, since revision.Revision, wait time.Duration, progress Progress) (LatestDocument, error)
	Decode(d Document) (route.Config, error)
}

// DocumentStatus describes the document that an instance has in force and how recently it was confirmed to be
// the newest.
type DocumentStatus struct {
	// Revision is the revision of the document; 0 means none.
	Revision revision.Revision `json:"revision"`
	// Version is the operator's version of the document. Instances of older versions omit it.
	Version uint64 `json:"version,omitempty"`
	// At is the revision of the source as of which the document was the newest. That was confirmed
	// Age, in nanoseconds, before the status was created.
	At  revision.Revision `json:"at"`
	Age time.Duration     `json:"age_ns"`
	// Newest and NewestVersion identify the newest document known to the instance.
	Newest        revision.Revision `json:"newest"`
	NewestVersion uint64            `json:"newest_version,omitempty"`
	// Evacuations contains the evacuated failure domains. Instances of older versions omit it; the
	// receiver then queries the source.
	Evacuations fleet.Evacuations `json:"evacuations,omitzero"`
	// Rollouts contains the rollout orders in force. Instances of older versions omit it, as with
	// Evacuations.
	Rollouts fleet.Rollouts `json:"rollouts,omitzero"`
}

// id identifies the document in force at the instance.
func (m DocumentStatus) id() DocumentID { return DocumentID{Version: m.Version, Revision: m.Revision} }

// newest identifies the newest document known to the instance.
func (m DocumentStatus) newest() DocumentID {
	return DocumentID{Version: m.NewestVersion, Revision: m.Newest}
}

// PeerState is the state that a peer returns.
type PeerState struct {
	State State `json:"state"`
	// Same is set if the requester already has the endpoints of that revision, which are then
	// omitted.
	Same bool `json:"same,omitempty"`
	// Age is the time since the source confirmed the state, in nanoseconds.
	Age    time.Duration  `json:"age_ns"`
	Status DocumentStatus `json:"mark"`
}

// RelayResponse is the response of a relay.
type RelayResponse struct {
	Changes Changes `json:"changes"`
	// Gone is set if the changes are no longer available and the endpoints have to be read again.
	Gone bool `json:"gone,omitempty"`
	// Age is the time since the source confirmed the endpoints, in nanoseconds.
	Age    time.Duration  `json:"age_ns"`
	Status DocumentStatus `json:"mark"`
}

// RelayRequest describes the data that the requester already has.
type RelayRequest struct {
	// Since is the revision of the endpoints. Document is the newest document that the requester has
	// or knows of.
	Since    revision.Revision
	Document DocumentID
	// Evacuations contains the evacuations known to the requester.
	Evacuations fleet.Evacuations
	// Rollouts contains the rollout orders known to the requester.
	Rollouts fleet.Rollouts
	// Wait is how long the relay may wait for newer data.
	Wait time.Duration
}

// Peers provides the state of other instances.
type Peers interface {
	// State requests the endpoints of a live instance if they are newer than the given revision.
	State(ctx context.Context, newerThan revision.Revision) (PeerState, error)
	// Relay requests data that is newer than the requester's. It returns as soon as there is any,
	// or when the requested wait time expires.
	Relay(ctx context.Context, relay string, selection RelayRequest) (RelayResponse, error)
	// Relays returns the peer addresses of the instances that relay the source's changes to this
	// one, in order of preference. It returns none if this instance has to watch the source itself.
	Relays() []string
	// Holders returns the peer addresses of live instances whose document is wanted, in order of
	// preference.
	Holders(wanted func(DocumentID) bool) []string
	// Piece requests a piece of the compressed document that a peer has in force.
	Piece(ctx context.Context, peer string, selection PieceRequest) (Piece, error)
	// Contacts returns the peer addresses of other instances, which may not be live.
	Contacts() []string
	// Announce notifies the other instances of the document in force.
	Announce()
}
