// Package standin provides fakes of the key-value service, the instance list and the endpoints for tests,
// measurements and the example. Faults can be injected while they run.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
)

// KeyValueFaults are the faults of the key-value service. The zero value contains none.
type KeyValueFaults struct {
	// Outage rejects all calls and interrupts all watches.
	Outage bool `json:"outage"`
	// DelayMs is the delay of each call in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the number of writes that take effect without a response.
	LoseAnswers int `json:"lose_answers"`
	// LoseCalls is the number of writes that are lost before they take effect.
	LoseCalls int `json:"lose_calls"`
	// StaleReads makes reads return the state as of when the fault was set.
	StaleReads bool `json:"stale_reads"`
}

// KeyValueCounts contains the numbers of calls.
type KeyValueCounts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// Limits in calls per second.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	maxValue        = 1 << 20
)

type stored struct {
	value   []byte
	version int64
	lease   int64
}

// KeyValue is a fake key-value service with etcd's JSON gateway API.
type KeyValue struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each write or change of faults
	data    map[string]stored
	stale   map[string]stored
	leases  map[int64]leaseState
	version int64
	faults  KeyValueFaults
	counts  KeyValueCounts
	writes  *rate.Limiter
	reads   *rate.Limiter
	router  *bunrouter.Router
}

type leaseState struct {
	ttl time.Duration
	end time.Time
}

// NewKeyValue returns an empty service.
func NewKeyValue() *KeyValue {
	kv := &KeyValue{
		changed: make(chan struct{}),
		data:    map[string]stored{},
		leases:  map[int64]leaseState{},
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		router:  bunrouter.New(),
	}
	kv.router.POST("/v3/kv/range", kv.read(kv.get))
	kv.router.POST("/v3/kv/txn", kv.write(kv.swap))
	kv.router.POST("/v3/kv/deleterange", kv.write(kv.remove))
	kv.router.POST("/v3/lease/grant", kv.write(kv.grant))
	kv.router.POST("/v3/lease/keepalive", kv.write(kv.keepAlive))
	kv.router.POST("/v3/watch", kv.watch)
	return kv
}

// ServeHTTP implements http.Handler.
func (kv *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) { kv.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (kv *KeyValue) SetFaults(f KeyValueFaults) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if f.StaleReads && !kv.faults.StaleReads {
		kv.stale = make(map[string]stored, len(kv.data))
		for key, value := range kv.data {
			kv.stale[key] = value
		}
	}
	kv.faults = f
	kv.wake()
}

// Counts returns the numbers of calls.
func (kv *KeyValue) Counts() KeyValueCounts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.counts
}

// Restore sets a key to an older value, like a service that was restored from a backup.
func (kv *KeyValue) Restore(key string, value []byte) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.version++
	kv.data[key] = stored{value: value, version: kv.version}
	kv.wake()
}

// Value returns the value of a key.
func (kv *KeyValue) Value(key string) []byte {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.data[key].value
}

// Keys returns the number of keys with a prefix.
func (kv *KeyValue) Keys(prefix string) int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	n := 0
	for key := range kv.data {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

// Leases returns the number of active leases.
func (kv *KeyValue) Leases() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.endLeases()
	return len(kv.leases)
}

func (kv *KeyValue) wake() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// operation runs under the lock and returns the status and the response.
type operation func(body []byte) (int, any)

func (kv *KeyValue) read(op operation) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		return kv.serve(w, r, op, kv.reads, func() { kv.counts.Reads++ }, false)
	}
}

func (kv *KeyValue) write(op operation) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		return kv.serve(w, r, op, kv.writes, func() { kv.counts.Writes++ }, true)
	}
}

func (kv *KeyValue) serve(w http.ResponseWriter, r bunrouter.Request, op operation, limiter *rate.Limiter, count func(), writes bool) error {
	body, err := readBody(r.Request, 2*maxValue)
	if err != nil {
		return err
	}
	kv.mu.Lock()
	delay := time.Duration(kv.faults.DelayMs) * time.Millisecond
	kv.mu.Unlock()
	time.Sleep(delay)
	status, answer, lost := kv.perform(body, op, limiter, count, writes)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(answer)
}

func (kv *KeyValue) perform(body []byte, op operation, limiter *rate.Limiter, count func(), writes bool) (status int, answer any, lost bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	count()
	if kv.faults.Outage {
		kv.counts.Refused++
		return http.StatusServiceUnavailable, nil, false
	}
	if !limiter.Allow() {
		kv.counts.Refused++
		return http.StatusTooManyRequests, nil, false
	}
	if writes && kv.faults.LoseCalls > 0 {
		kv.faults.LoseCalls--
		return 0, nil, true
	}
	kv.endLeases()
	status, answer = op(body)
	if writes && kv.faults.LoseAnswers > 0 {
		kv.faults.LoseAnswers--
		return 0, nil, true
	}
	return status, answer, false
}

func (kv *KeyValue) endLeases() {
	now := time.Now()
	for id, lease := range kv.leases {
		if now.Before(lease.end) {
			continue
		}
		delete(kv.leases, id)
		for key, value := range kv.data {
			if value.lease == id {
				delete(kv.data, key)
			}
		}
	}
}

type etcdKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type etcdKey struct {
	Key []byte `json:"key"`
}

type etcdRange struct {
	Kvs []etcdKV `json:"kvs"`
}

func (kv *KeyValue) get(body []byte) (int, any) {
	var req etcdKey
	if json.Unmarshal(body, &req) != nil {
		return http.StatusBadRequest, nil
	}
	from := kv.data
	if kv.faults.StaleReads {
		from = kv.stale
	}
	answer := etcdRange{}
	if v, ok := from[string(req.Key)]; ok {
		answer.Kvs = append(answer.Kvs, etcdKV{Key: req.Key, Value: v.value, ModRevision: v.version})
	}
	return http.StatusOK, answer
}

type etcdTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		RequestPut struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
	} `json:"success"`
}

type etcdTxnAnswer struct {
	Header struct {
		Revision int64 `json:"revision,string"`
	} `json:"header"`
	Succeeded bool `json:"succeeded"`
}

func (kv *KeyValue) swap(body []byte) (int, any) {
	var req etcdTxn
	if json.Unmarshal(body, &req) != nil {
		return http.StatusBadRequest, nil
	}
	answer := etcdTxnAnswer{}
	for _, c := range req.Compare {
		if kv.data[string(c.Key)].version != c.ModRevision {
			answer.Header.Revision = kv.version
			return http.StatusOK, answer
		}
	}
	kv.version++
	for _, s := range req.Success {
		if len(s.RequestPut.Value) > maxValue {
			return http.StatusBadRequest, nil
		}
		kv.data[string(s.RequestPut.Key)] = stored{value: s.RequestPut.Value, version: kv.version, lease: s.RequestPut.Lease}
	}
	kv.wake()
	answer.Header.Revision = kv.version
	answer.Succeeded = true
	return http.StatusOK, answer
}

func (kv *KeyValue) remove(body []byte) (int, any) {
	var req etcdKey
	if json.Unmarshal(body, &req) != nil {
		return http.StatusBadRequest, nil
	}
	delete(kv.data, string(req.Key))
	return http.StatusOK, struct{}{}
}

type etcdLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (kv *KeyValue) grant(body []byte) (int, any) {
	var req etcdLease
	if json.Unmarshal(body, &req) != nil {
		return http.StatusBadRequest, nil
	}
	kv.version++
	ttl := time.Duration(req.TTL) * time.Second
	kv.leases[kv.version] = leaseState{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, etcdLease{ID: kv.version, TTL: req.TTL}
}

func (kv *KeyValue) keepAlive(body []byte) (int, any) {
	var req etcdLease
	if json.Unmarshal(body, &req) != nil {
		return http.StatusBadRequest, nil
	}
	var answer struct {
		Result etcdLease `json:"result"`
	}
	answer.Result.ID = req.ID
	if lease, ok := kv.leases[req.ID]; ok {
		lease.end = time.Now().Add(lease.ttl)
		kv.leases[req.ID] = lease
		answer.Result.TTL = int64(lease.ttl / time.Second)
	}
	return http.StatusOK, answer
}

type etcdWatch struct {
	CreateRequest struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type etcdEvent struct {
	Type string `json:"type"`
	Kv   etcdKV `json:"kv"`
}

type etcdWatchAnswer struct {
	Result struct {
		Events []etcdEvent `json:"events"`
	} `json:"result"`
}

func (kv *KeyValue) watch(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(r.Request, maxValue)
	if err != nil {
		return err
	}
	var req etcdWatch
	if err := json.Unmarshal(body, &req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	kv.mu.Lock()
	kv.counts.Watches++
	kv.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	next := req.CreateRequest.StartRevision
	encoder := json.NewEncoder(w)
	for {
		event, changed, outage := kv.after(req.CreateRequest.Key, next)
		if outage {
			panic(http.ErrAbortHandler)
		}
		if event != nil {
			next = event.Kv.ModRevision + 1
			var answer etcdWatchAnswer
			answer.Result.Events = []etcdEvent{*event}
			if err := encoder.Encode(answer); err != nil {
				return err
			}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil
		}
	}
}

// after returns the latest write of a key at or after a version, and a channel that is closed at the next
// change.
func (kv *KeyValue) after(key []byte, version int64) (event *etcdEvent, changed chan struct{}, outage bool) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if v, ok := kv.data[string(key)]; ok && v.version >= version {
		event = &etcdEvent{Type: "PUT", Kv: etcdKV{Key: key, Value: v.value, ModRevision: v.version}}
	}
	return event, kv.changed, kv.faults.Outage
}
