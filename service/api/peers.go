package api

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/batch"
	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
)

// The methods of the peers' jsonrpc2 face. A connection begins with MethodHello.
const (
	MethodHello    = "peer.hello"
	MethodPing     = "peer.ping"
	MethodPull     = "config.pull"
	MethodForward  = "callers.forward"
	MethodStatus   = "instance.status"
	MethodTimeline = "timeline.select"
	// MethodState, MethodFollow and MethodPiece ask for what is known of endpoints and of the
	// configuration. Versions of the program before them had discovery.state and
	// discovery.relay, with whole documents in their answers; they read the source instead.
	MethodState  = "discovery.known"
	MethodFollow = "discovery.follow"
	MethodPiece  = "discovery.piece"
	MethodRun    = "pipeline.run"
	MethodCancel = "pipeline.cancel"
	MethodFree   = "pipeline.free"
	// MethodReaderFailed tells the planner of a failure of an endpoint that it chose.
	MethodReaderFailed = "pipeline.reader_failed"
	// MethodProgress tells the instance that handed a plan over of a stage that is made.
	MethodProgress = "pipeline.progress"
	// MethodTake hands a part over to its next owner.
	MethodTake = "pipeline.take"
	// MethodRollout reports a rollout (rollout.Report) to its conductor; the answer is a rollout.Instruction. A
	// version before it knows no rollouts, and answers that it does not know the method.
	MethodRollout = "rollout.report"
	// MethodPermits asks for calls (throttle.PermitRequest) to an endpoint that names a limit for all instances; the answer is a
	// throttle.PermitGrant. A version before it heeds no such limit, and answers that it does not know the method.
	MethodPermits = "throttle.permits"
)

// Hello presents the peers' token.
type Hello struct {
	Token    string `json:"token"`
	Instance string `json:"instance"`
}

// Pull asks for the configuration after a revision; the answer is a config.Update.
type Pull struct {
	From uint64 `json:"from"`
}

// Forward hands a not-repeatable request to the instance it is bound to; the answer
// is a Result.
type Forward struct {
	HolderInstance    string `json:"holder_instance"`
	HolderIncarnation uint64 `json:"holder_incarnation"`
	Pipeline          string `json:"pipeline"`
	// DeadlineMs is the time left, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
	// Call is the request without its input, which is in Input as it came: a JSON
	// value would lose its blanks on the way.
	Call  Call   `json:"call"`
	Input []byte `json:"input"`
}

// InstanceStatus answers MethodStatus.
type InstanceStatus struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Revision      uint64 `json:"revision"`
	Stopping      bool   `json:"stopping"`
}

// TimelineSelect asks for events; empty fields select all.
type TimelineSelect struct {
	Request  string `json:"request,omitempty"`
	Change   string `json:"change,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Limit is the greatest number of events, the newest ones.
	Limit int `json:"limit"`
}

// TimelineEvents answers it.
type TimelineEvents struct {
	Instance string  `json:"instance"`
	Events   []Event `json:"events"`
	// Dropped is how many older events the instance no longer has.
	Dropped uint64 `json:"dropped"`
}

// Event is one event of the time line.
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

// StateSelect asks for what an instance knows of the endpoints, if it knows
// more than a revision; the answer is a Known.
type StateSelect struct {
	NewerThan uint64 `json:"newer_than"`
	// Packs says that the asker reads packed endpoints.
	Packs bool `json:"packs,omitempty"`
}

// Known answers StateSelect.
type Known struct {
	discovery.PeerState
	// PackedEndpoints are the endpoints of the state as JSON, compressed with gzip, if they are not told
	// there.
	PackedEndpoints []byte `json:"packed_endpoints,omitempty"`
}

// RelaySelect asks for what a relay knows beyond what the asker has, and waits for it; the
// answer is a Relayed.
type RelaySelect struct {
	// Since is the revision of the endpoints, Document that of the newest document heard of.
	Since    uint64 `json:"since"`
	Document uint64 `json:"document"`
	// Evacuations are those that the asker knows of; a version that does not tell them is not woken
	// for them.
	Evacuations fleet.Evacuations `json:"evacuations,omitzero"`
	// Rollouts are told as evacuations are.
	Rollouts fleet.Rollouts `json:"rollouts,omitzero"`
	// WaitMs is how long to wait, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// Packs says that the asker reads packed changes.
	Packs bool `json:"packs,omitempty"`
}

// Relayed answers RelaySelect.
type Relayed struct {
	discovery.RelayResponse
	// PackedChanges are the changes of endpoints as JSON, compressed with gzip, if they are not told
	// there.
	PackedChanges []byte `json:"packed_changes,omitempty"`
}

// Run has the stages of a plan made; the answer is Ran.
type Run struct {
	// Call names the call for MethodCancel; unique among all callers.
	Call string        `json:"call"`
	Part pipeline.Part `json:"part"`
	Plan pipeline.Plan `json:"plan"`
	// DueMs and DeadlineMs are the plan's times as times left, in milliseconds.
	DueMs      int64 `json:"due_ms"`
	DeadlineMs int64 `json:"deadline_ms"`
	// From is the peer address that is told of the plan's progress; empty: none.
	From string `json:"from,omitempty"`
	// Known is who owns the part as far as the caller knows; it does not reach that one if it
	// calls another. A version that does not tell it asks the owner by rank.
	Known ownership.Claim `json:"known"`
	// Relayed says that the plan comes from an instance that does not reach the owner, over one
	// that does.
	Relayed bool `json:"relayed,omitempty"`
	// Division is the one that the caller goes by; its term is 0 if none is agreed on. A version
	// that does not tell it counts the endpoints for itself.
	Division ownership.Division `json:"division,omitzero"`
}

// Ran answers MethodRun.
type Ran struct {
	pipeline.Outcome
	// Owner is who owns the part as far as the one asked knows.
	Owner ownership.Claim `json:"owner"`
	// Division is the one that holds against the caller's; the zero one if the caller's holds.
	Division ownership.Division `json:"division,omitzero"`
}

// Progress tells of a stage of a plan that is made. It has no answer.
type Progress struct {
	Call    string         `json:"call"`
	Stage   int            `json:"stage"`
	Results []batch.Result `json:"results"`
}

// Take hands a part over. It has an empty answer.
type Take struct {
	Claim  ownership.Claim `json:"claim"`
	Ledger pipeline.Ledger `json:"ledger"`
}

// Cancel gives a call of MethodRun up. It has no answer.
type Cancel struct {
	Call string `json:"call"`
}

// ReaderFailed names an endpoint at which a request failed. It has no answer.
type ReaderFailed struct {
	Endpoint string `json:"endpoint"`
}

// Free gives results up. It has no answer.
type Free struct {
	Results []batch.Result `json:"results"`
}
