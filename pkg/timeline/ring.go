package timeline

import (
	"sort"
	"sync"
)

// Kind is the type of an event.
type Kind string

// The event kinds.
const (
	RequestAccepted  Kind = "request_accepted"
	RequestFinished  Kind = "request_finished"
	RequestForwarded Kind = "request_forwarded"
	StageStarted     Kind = "stage_started"
	StageFinished    Kind = "stage_finished"
	AttemptFailed    Kind = "attempt_failed"
	AnswerDropped    Kind = "answer_dropped"
	StreamResumed    Kind = "stream_resumed"
	EndpointLeaving  Kind = "endpoint_leaving"
	EndpointEjected  Kind = "endpoint_ejected"
	ChangeAccepted   Kind = "change_accepted"
	ChangeInForce    Kind = "change_in_force"
	ChangeRefused    Kind = "change_refused"
	RevisionIgnored  Kind = "revision_ignored"
	PlatformLost     Kind = "platform_lost"
	PlatformBack     Kind = "platform_back"
	PeerJoined       Kind = "peer_joined"
	PeerSuspected    Kind = "peer_suspected"
	PeerLeft         Kind = "peer_left"
	OrderGiven       Kind = "order_given"
	OrderFailed      Kind = "order_failed"
	LeaseTaken       Kind = "lease_taken"
	InstanceStarted  Kind = "instance_started"
	InstanceStopping Kind = "instance_stopping"
)

// Event is a timeline event. Fields that do not apply are empty.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Instance string `json:"instance"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Change   string `json:"change,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Stage    string `json:"stage,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// DefaultCapacity is the default number of events that a Ring holds.
const DefaultCapacity = 8192

// Ring is a ring buffer of the latest events of a process. Safe for concurrent use.
type Ring struct {
	mu       sync.Mutex
	clock    *Clock
	instance string
	events   []Event
	next     uint64
}

// NewRing returns a ring buffer for capacity events of an instance.
func NewRing(instance string, clock *Clock, capacity int) *Ring {
	return &Ring{clock: clock, instance: instance, events: make([]Event, capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps and stores e. It overwrites the oldest event if the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	e.Instance = r.instance
	r.events[r.next%uint64(len(r.events))] = e
	r.next++
}

// Filter selects events. An empty field matches all events.
type Filter struct {
	Request  string `json:"request,omitempty"`
	Change   string `json:"change,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
}

// Match reports whether e matches the filter.
func (f Filter) Match(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Change != "" && f.Change != e.Change {
		return false
	}
	return f.Endpoint == "" || f.Endpoint == e.Endpoint
}

// Select returns the events that match f, oldest first, and the total number of events
// overwritten so far.
func (r *Ring) Select(f Filter) (selected []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	first := uint64(0)
	if r.next > size {
		first = r.next - size
	}
	for i := first; i < r.next; i++ {
		e := r.events[i%size]
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected, first
}

// Merge merges the events of several processes in causal order.
func Merge(parts ...[]Event) []Event {
	var all []Event
	for _, part := range parts {
		all = append(all, part...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp.Less(all[j].Stamp)
		}
		return all[i].Instance < all[j].Instance
	})
	return all
}
