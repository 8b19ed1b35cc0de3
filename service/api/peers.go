package api

// The methods of the peers' jsonrpc2 face. A connection begins with MethodHello.
const (
	MethodHello    = "peer.hello"
	MethodPull     = "config.pull"
	MethodForward  = "callers.forward"
	MethodStatus   = "instance.status"
	MethodTimeline = "timeline.select"
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
	Call       Call  `json:"call"`
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
