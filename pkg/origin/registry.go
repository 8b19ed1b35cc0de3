package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
)

const (
	// sendDelay is how long new records are collected before they are sent. A stream whose instance is
	// killed within this time is known to nobody else.
	sendDelay = 20 * time.Millisecond
	// askTimeout bounds the time to ask one instance. It covers a round trip between regions.
	askTimeout = 400 * time.Millisecond
	// askAgainAfter is the pause before all instances are asked a second time, since a client may resume
	// a stream before the keepers have received its record.
	askAgainAfter = 60 * time.Millisecond
	// maxEndpointAge is how old the knowledge of the endpoints may be to count as gapless.
	maxEndpointAge = 2500 * time.Millisecond
)

// Query asks an instance for a stream.
type Query struct {
	Key Key `json:"key"`
	// Service is the service that the stream would be continued at, WithinMs the longest time since it
	// can have begun.
	Service  string `json:"service"`
	WithinMs int64  `json:"within_ms"`
}

// Answer is the response to a Query.
type Answer struct {
	// Known is set if the instance knows the origin; Doubtful is that of the record.
	Known    bool   `json:"known"`
	Origin   Origin `json:"origin,omitzero"`
	Doubtful bool   `json:"doubtful,omitempty"`
	// Versions are those that have served the queried service.
	Versions Versions `json:"versions"`
}

// Peers gives access to the other instances.
type Peers interface {
	// Live returns the other live instances that are not leaving, in a slice of its own.
	Live() []peer.Peer
	// Send sends records to an instance. They may be lost. It must not block.
	Send(to peer.Peer, records []Record)
	// Ask asks an instance.
	Ask(ctx context.Context, to peer.Peer, q Query) (Answer, error)
}

// View is this instance's knowledge of the endpoints.
type View interface {
	// Endpoints returns the known endpoints and when the source last confirmed them.
	Endpoints() (endpoints []fleet.Endpoint, confirmed time.Time)
}

// Registry knows the origins of streams, together with those of the other instances. It is safe for
// concurrent use.
type Registry struct {
	peers     Peers
	view      View
	endpoints Endpoints
	clock     clockwork.Clock
	log       *logrus.Entry
	table     *table
	history   *history
	restarts  *restarts
	found     map[Source]*metrics.Counter
	// confirmations count what endpoints said when asked which incarnation they are, doubted the streams
	// whose version became doubtful.
	confirmations map[Confirmation]*metrics.Counter
	doubted       *metrics.Counter

	mu sync.Mutex
	// pending are the records to be sent, by instance.
	pending map[string]*delivery
	// members are the live instances as of the last Tick.
	members []peer.Peer
}

// delivery is the records for one instance.
type delivery struct {
	to      peer.Peer
	records []Record
}

// New returns a registry without records. Tick must be called once per second.
func New(peers Peers, view View, endpoints Endpoints, clock clockwork.Clock, set *metrics.Set, log *logrus.Entry) *Registry {
	r := &Registry{
		peers: peers, view: view, endpoints: endpoints, clock: clock, log: log,
		table: newTable(clock), history: newHistory(clock), restarts: newRestarts(clock),
		found: map[Source]*metrics.Counter{}, pending: map[string]*delivery{},
		confirmations: map[Confirmation]*metrics.Counter{}, doubted: set.NewCounter("cobaltcroft_streams_doubtful_total"),
	}
	for _, source := range []Source{Here, Elsewhere, OnlyVersion, Unknown, Doubtful} {
		r.found[source] = set.NewCounter(`cobaltcroft_streams_resumed_total{known="` + string(source) + `"}`)
	}
	for _, result := range []Confirmation{Listed, Unlisted, NotStated, NoAnswer} {
		r.confirmations[result] = set.NewCounter(`cobaltcroft_incarnations_asked_total{result="` + string(result) + `"}`)
	}
	set.NewGauge("cobaltcroft_stream_origins", func() float64 { return float64(r.table.count()) })
	return r
}

// Stream is a stream that an endpoint has begun or continued.
type Stream struct {
	Key      Key
	Endpoint fleet.Endpoint
	// ConnectedAt is when the connection to the endpoint that carries the stream was opened.
	ConnectedAt time.Time
	// TTL is how long its client may resume it.
	TTL time.Duration
	// Domains are the failure domains that may hold its record; nil means any. Local is set if that of
	// this instance is one of them.
	Domains []string
	Local   bool
}

// Begin records the origin of a stream and tells its keepers. It is called before the first event is
// sent to the client.
func (r *Registry) Begin(s Stream) {
	record := Record{Key: s.Key, Origin: Of(s.Endpoint), TTL: s.TTL, Regional: s.Domains != nil}
	r.history.note(record.Origin)
	doubtful, ask := r.restarts.begin(s)
	record.Doubtful = doubtful
	if ask {
		r.clock.AfterFunc(confirmDelay, func() { r.confirmBegun(s.Endpoint) })
	}
	if s.Local {
		record = r.table.put(record)
	}
	r.queue(record, keepers(s.Key, inDomains(s.Domains, r.peers.Live())))
}

// Merge stores records of other instances.
func (r *Registry) Merge(records []Record) {
	for _, record := range records {
		r.history.note(record.Origin)
		r.table.put(record)
	}
}

// queue sends a record to instances, after a short time in which others are collected.
func (r *Registry) queue(record Record, to []peer.Peer) {
	if len(to) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		r.clock.AfterFunc(sendDelay, r.flush)
	}
	for _, peer := range to {
		d := r.pending[peer.Address]
		if d == nil {
			d = &delivery{to: peer}
			r.pending[peer.Address] = d
		}
		d.records = append(d.records, record)
	}
}

// flush sends the collected records.
func (r *Registry) flush() {
	r.mu.Lock()
	deliveries := r.pending
	r.pending = map[string]*delivery{}
	r.mu.Unlock()
	for _, d := range deliveries {
		r.peers.Send(d.to, d.records)
	}
}

// Tick observes the endpoints, and passes records on to the instances that have become their keepers.
func (r *Registry) Tick() {
	r.observe()
	r.table.dropExpired()
	live := r.peers.Live()
	r.mu.Lock()
	before := r.members
	r.members = live
	r.mu.Unlock()
	if !sameMembers(before, live) {
		r.passOn(before, live)
	}
}

// observe updates the history and the incarnations of the endpoints.
func (r *Registry) observe() {
	endpoints, confirmed := r.view.Endpoints()
	current := !confirmed.IsZero() && r.clock.Since(confirmed) < maxEndpointAge
	r.history.observe(endpoints, current)
	for _, d := range r.restarts.observe(endpoints, confirmed) {
		r.markDoubtful(d)
	}
}

// markDoubtful records that the version that began a stream is not certain.
func (r *Registry) markDoubtful(d doubt) {
	record, known := r.table.get(d.key)
	if !known {
		return
	}
	record.Doubtful = true
	r.table.put(record)
	r.doubted.Inc()
	r.log.WithFields(logrus.Fields{
		"event": "stream_origin_doubtful", "key": uint64(d.key), "software": record.Origin.Version,
		"listed": d.listed.id, "endpoint": d.now.id, "other_software": d.now.version,
	}).Info()
	if !record.Regional {
		r.queue(record, keepers(d.key, r.peers.Live()))
	}
}

func sameMembers(a, b []peer.Peer) bool {
	known := make(map[peer.Peer]bool, len(a))
	for _, p := range a {
		known[p] = true
	}
	return len(a) == len(b) && !slices.ContainsFunc(b, func(p peer.Peer) bool { return !known[p] })
}

// passOn sends each record to those of its keepers that were not its keepers before, for example because
// they have been restarted.
func (r *Registry) passOn(before, now []peer.Peer) {
	for _, record := range r.table.all() {
		if record.Regional {
			continue
		}
		known := keepers(record.Key, before)
		r.queue(record, slices.DeleteFunc(keepers(record.Key, now), func(p peer.Peer) bool { return slices.Contains(known, p) }))
	}
}

// Leave passes all records on, since this instance is about to exit.
func (r *Registry) Leave() {
	r.passOn(nil, r.peers.Live())
	r.flush()
}

// Refused records that an endpoint refused a connection, so that it may be restarting.
func (r *Registry) Refused(endpoint string) { r.restarts.refused(endpoint) }

// MayHaveRestarted reports whether the version of an endpoint is not certain now.
func (r *Registry) MayHaveRestarted(endpoint string) bool {
	return r.restarts.mayHaveRestarted(endpoint)
}

// Answer answers the query of another instance.
func (r *Registry) Answer(q Query) Answer {
	record, known := r.table.get(q.Key)
	return Answer{
		Known: known, Origin: record.Origin, Doubtful: record.Doubtful,
		Versions: r.history.versions(q.Service, time.Duration(q.WithinMs)*time.Millisecond),
	}
}
