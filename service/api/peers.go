package api

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Methods of the JSON-RPC 2.0 API between instances. A connection starts with MethodHello.
const (
	MethodHello    = "peer.hello"
	MethodPing     = "peer.ping"
	MethodPull     = "config.pull"
	MethodForward  = "callers.forward"
	MethodStatus   = "instance.status"
	MethodTimeline = "timeline.select"
	// MethodState, MethodFollow and MethodPiece query the known endpoints and the configuration.
	// Older versions of the program have discovery.state and discovery.relay instead, whose
	// responses contain whole documents; instances that run them read the source directly.
	MethodState  = "discovery.known"
	MethodFollow = "discovery.follow"
	MethodPiece  = "discovery.piece"
	MethodRun    = "pipeline.run"
	MethodCancel = "pipeline.cancel"
	MethodFree   = "pipeline.free"
	// MethodReaderFailed reports the failure of an endpoint to the instance that selected it.
	MethodReaderFailed = "pipeline.reader_failed"
	// MethodProgress reports a completed stage to the instance that delegated the plan.
	MethodProgress = "pipeline.progress"
	// MethodTransfer transfers a part to its next owner.
	MethodTransfer = "pipeline.take"
	// MethodRollout sends a rollout.Report to the conductor, which responds with a
	// rollout.Instruction. Older versions respond that the method is unknown.
	MethodRollout = "rollout.report"
	// MethodPermits sends a throttle.PermitRequest for an endpoint with a global limit; the
	// response is a throttle.PermitGrant. Older versions ignore such limits and respond that the
	// method is unknown.
	MethodPermits = "throttle.permits"
	// MethodOrigin sends an origin.Query for a stream that a client resumes; the response is an
	// origin.Answer. Older versions respond that the method is unknown.
	MethodOrigin = "streams.origin"
)

// Hello authenticates a connection with the peers' token.
type Hello struct {
	Token    string `json:"token"`
	Instance string `json:"instance"`
}

// PullRequest requests the configuration changes after a revision. The response is a config.Update.
type PullRequest struct {
	AfterRevision uint64 `json:"from"`
}

// ForwardRequest sends a non-repeatable request to the instance that holds its claim. The response is a
// Result.
type ForwardRequest struct {
	HolderInstance    string `json:"holder_instance"`
	HolderIncarnation uint64 `json:"holder_incarnation"`
	Pipeline          string `json:"pipeline"`
	// DeadlineMs is the remaining time, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
	// Call is the request without its input. Input holds the original bytes, because a JSON value
	// would lose its whitespace.
	Call  Call   `json:"call"`
	Input []byte `json:"input"`
}

// InstanceStatus is the response to MethodStatus.
type InstanceStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Revision      uint64 `json:"revision"`
	Stopping      bool   `json:"stopping"`
}

// TimelineRequest selects events. An empty field matches all events.
type TimelineRequest struct {
	Request  string `json:"request,omitempty"`
	Change   string `json:"change,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Limit is the maximum number of events. The newest ones are returned.
	Limit int `json:"limit"`
}

// TimelineResponse is the response to a TimelineRequest.
type TimelineResponse struct {
	Instance string  `json:"instance"`
	Events   []Event `json:"events"`
	// Dropped is the number of older events that the instance has discarded.
	Dropped uint64 `json:"dropped"`
}

// Event is a timeline event.
type Event struct {
	WallMs   int64  `json:"wall_ms"`
	Logical  uint32 `json:"logical"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Change   string `json:"change,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Stage    string `json:"stage,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// StateRequest requests the known endpoints if their revision is newer than NewerThan. The response
// is a StateResponse.
type StateRequest struct {
	NewerThan revision.Revision `json:"newer_than"`
	// AcceptsPacked is set if the caller accepts packed endpoints.
	AcceptsPacked bool `json:"packs,omitempty"`
}

// StateResponse is the response to a StateRequest.
type StateResponse struct {
	discovery.PeerState
	// PackedEndpoints holds the endpoints of the state as gzip-compressed JSON, if they are not
	// included there.
	PackedEndpoints []byte `json:"packed_endpoints,omitempty"`
}

// RelayRequest waits for changes that the caller does not have yet. The response is a RelayResponse.
type RelayRequest struct {
	// Since is the caller's revision of the endpoints; DocumentRevision and DocumentVersion are those of
	// the newest document it knows of.
	Since            revision.Revision `json:"since"`
	DocumentRevision revision.Revision `json:"document"`
	DocumentVersion  uint64            `json:"document_version,omitempty"`
	// Evacuations are those known to the caller. Changes of evacuations do not end the wait if the
	// caller's version does not send the field.
	Evacuations fleet.Evacuations `json:"evacuations,omitzero"`
	// Rollouts are those known to the caller, with the same rule as Evacuations.
	Rollouts fleet.Rollouts `json:"rollouts,omitzero"`
	// WaitMs is the longest time to wait, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// AcceptsPacked is set if the caller accepts packed changes.
	AcceptsPacked bool `json:"packs,omitempty"`
}

// RelayResponse is the response to a RelayRequest.
type RelayResponse struct {
	discovery.RelayResponse
	// PackedChanges holds the endpoint changes as gzip-compressed JSON, if they are not included
	// there.
	PackedChanges []byte `json:"packed_changes,omitempty"`
}

// RunRequest executes the stages of a plan. The response is a RunResponse.
type RunRequest struct {
	// Call identifies the call for MethodCancel. It is unique among all callers.
	Call string        `json:"call"`
	Part pipeline.Part `json:"part"`
	Plan pipeline.Plan `json:"plan"`
	// DueMs and DeadlineMs are the plan's times relative to now, in milliseconds.
	DueMs      int64 `json:"due_ms"`
	DeadlineMs int64 `json:"deadline_ms"`
	// ProgressAddress is the peer address to which progress is reported. Optional.
	ProgressAddress string `json:"from,omitempty"`
	// Owner is the owner of the part as known to the caller. The caller cannot reach that owner if
	// it calls another instance. Older versions do not set it and select the owner by rank.
	Owner ownership.Claim `json:"known"`
	// Relayed is set if the caller cannot reach the owner and sends the plan through an instance
	// that can.
	Relayed bool `json:"relayed,omitempty"`
	// Division is the division that the caller uses; its term is 0 if none has been agreed. Older
	// versions do not set it and count the endpoints themselves.
	Division ownership.Division `json:"division,omitzero"`
	// Observations is what the caller has observed of engines since its last call, newest first.
	// Older versions do not set it.
	Observations []balance.Observation `json:"observations,omitempty"`
}

// RunResponse is the response to MethodRun.
type RunResponse struct {
	pipeline.Outcome
	// Owner is the owner of the part as known to the called instance.
	Owner ownership.Claim `json:"owner"`
	// Division is the division that supersedes the caller's; zero if the caller's is current.
	Division ownership.Division `json:"division,omitzero"`
	// Engines is the called instance's view of the engines offered in the plan. Older versions do not
	// set it.
	Engines []balance.EngineView `json:"engines,omitempty"`
}

// Progress reports a completed stage of a plan. It has no response.
type Progress struct {
	Call    string         `json:"call"`
	Stage   int            `json:"stage"`
	Results []batch.Result `json:"results"`
}

// TransferRequest transfers a part to another owner. The response is empty.
type TransferRequest struct {
	Claim  ownership.Claim `json:"claim"`
	Ledger pipeline.Ledger `json:"ledger"`
}

// CancelRequest cancels a call of MethodRun. It has no response.
type CancelRequest struct {
	Call string `json:"call"`
}

// ReaderFailed reports an endpoint at which a request failed. It has no response.
type ReaderFailed struct {
	Endpoint string `json:"endpoint"`
}

// FreeRequest releases results. It has no response.
type FreeRequest struct {
	Results []batch.Result `json:"results"`
}
