package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
)

// EndpointSettings are the settings of an endpoint.
type EndpointSettings struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// Listen is the listen address. Port 0 selects a free port.
	Listen string `json:"listen"`
	// Concurrency is the maximum number of concurrent calls. Further calls are queued.
	Concurrency int `json:"concurrency"`
	// ServiceMs is the default duration of a call in milliseconds.
	ServiceMs    float64 `json:"service_ms"`
	ChecksTokens bool    `json:"checks_tokens,omitempty"`
	// NeedsModels makes the endpoint reject calls for models that were not loaded by an order.
	NeedsModels bool `json:"needs_models,omitempty"`
	// LoadMs is the duration of an order in milliseconds.
	LoadMs float64 `json:"load_ms,omitempty"`
}

const (
	// defaultTokens is the default number of tokens of a generation.
	defaultTokens = 8
	// prefillShare is the fraction of a generation's duration before its first token, and cachedShare the
	// fraction of that which remains if the prefix is cached.
	prefillShare = 0.4
	cachedShare  = 0.2
	// cachedPrefixes is the number of prompt prefixes in an engine's cache.
	cachedPrefixes = 8
	maxCallBody    = 16 << 20
)

// Run is a call that an endpoint has processed, completely or in part.
type Run struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  string `json:"attempt"`
	// Ms is how long the call occupied a slot, in milliseconds.
	Ms float64 `json:"ms"`
	// Whole is false if the call was aborted.
	Whole bool `json:"whole"`
}

// Endpoint is a fake engine, stage endpoint or plain service.
type Endpoint struct {
	settings EndpointSettings
	list     *InstanceList

	mu      sync.Mutex
	faults  EndpointFaults
	running int
	waiting []*waitingCall
	active  map[string]context.CancelFunc
	// nextCall contains faults shared with other endpoints, or is nil.
	nextCall *NextCall
	runs     []Run
	models   models
	// reserved keeps the port bound while the endpoint is stopped.
	reserved    *reservation
	loads       []loadAt
	calls       int
	prefixes    *lru.Cache[string, struct{}]
	crossed     chan openinference.InferResponse
	crossedBack chan openinference.InferResponse
	listener    net.Listener
	server      *http.Server
	address     string
	incarnation uint64
	leaving     bool
}

type waitingCall struct {
	priority uint32
	ready    chan struct{}
}

// NewEndpoint returns an endpoint that registers in list when it starts.
func NewEndpoint(s EndpointSettings, list *InstanceList) *Endpoint {
	prefixes, _ := lru.New[string, struct{}](cachedPrefixes)
	return &Endpoint{settings: s, list: list, active: map[string]context.CancelFunc{}, prefixes: prefixes, crossed: make(chan openinference.InferResponse, 1), crossedBack: make(chan openinference.InferResponse, 1)}
}

// Start starts the endpoint, at its previous address after a restart.
func (e *Endpoint) Start() error {
	address := e.settings.Listen
	if e.address != "" {
		address = e.address
	}
	e.reserved.release()
	e.reserved = nil
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	router := bunrouter.New()
	router.POST("/v2/models/:model/infer", e.infer)
	router.POST("/v2/models/:model/versions/:version/infer", e.infer)
	router.POST("/v2/models/:model/generate_stream", e.generate)
	router.POST("/v2/models/:model/versions/:version/generate_stream", e.generate)
	router.POST("/v2/models/:model/cancel", e.cancel)
	router.POST("/v2/repository/index", e.index)
	router.POST("/v2/repository/models/:model/load", e.load)
	router.POST("/v2/repository/models/:model/unload", e.unload)
	e.mu.Lock()
	e.listener = listener
	e.address = listener.Addr().String()
	e.incarnation++
	e.leaving = false
	e.models = models{held: map[Held]bool{}}
	e.server = &http.Server{Handler: router}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.publish()
	return nil
}

// Kill closes all connections, like a crash of the process. The entry stays in the list.
func (e *Endpoint) Kill() {
	// The server only closes listeners that it already serves.
	_ = e.listener.Close()
	_ = e.server.Close()
	if e.reserved == nil {
		e.reserved = reserve(e.address)
	}
}

// SetLeaving marks the endpoint as leaving in the list. If itself is set, the endpoint also rejects new
// calls.
func (e *Endpoint) SetLeaving(leaving, itself bool) {
	e.mu.Lock()
	e.leaving = leaving
	e.faults.Draining = itself && leaving
	e.mu.Unlock()
	e.publish()
}

func (e *Endpoint) publish() {
	e.mu.Lock()
	i := Instance{Name: e.settings.Name, Address: e.address, Service: e.settings.Service, FailureDomain: e.settings.FailureDomain, Leaving: e.leaving, Incarnation: e.incarnation, ChecksTokens: e.settings.ChecksTokens}
	e.mu.Unlock()
	e.list.Set(i)
}

// Address returns the listen address.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the calls that the endpoint has processed.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Calls returns the number of calls received, including rejected ones.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// work contains the durations that the input may specify.
type work struct {
	Input struct {
		// WorkMs maps stages to their durations in milliseconds.
		WorkMs map[string]float64 `json:"work_ms"`
		Tokens int                `json:"tokens"`
	} `json:"input"`
}

func (e *Endpoint) duration(stage string, w work, slow float64) time.Duration {
	ms, ok := w.Input.WorkMs[stage]
	if !ok {
		ms = e.settings.ServiceMs
	}
	if slow > 0 {
		ms *= slow
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// enter waits for a slot, in order of priority. It returns false if ctx is done first.
func (e *Endpoint) enter(ctx context.Context, priority uint32) bool {
	e.mu.Lock()
	if e.running < e.settings.Concurrency {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waitingCall{priority: priority, ready: make(chan struct{})}
	i := 0
	for i < len(e.waiting) && e.waiting[i].priority >= priority {
		i++
	}
	e.waiting = append(e.waiting[:i], append([]*waitingCall{w}, e.waiting[i:]...)...)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	return e.stopWaiting(w)
}

// stopWaiting removes a call from the queue, or returns true if it already has a slot.
func (e *Endpoint) stopWaiting(w *waitingCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return true
}

func (e *Endpoint) exit(run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// begin registers a call and returns its faults and its context.
func (e *Endpoint) begin(ctx context.Context, id string) (context.Context, EndpointFaults, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	faults := e.takeFaults()
	ctx, cancel := context.WithCancel(ctx)
	e.active[id] = cancel
	return ctx, faults, func() {
		cancel()
		e.mu.Lock()
		delete(e.active, id)
		e.mu.Unlock()
	}
}

func (e *Endpoint) setLoad(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, loadAt{at: now, running: e.running, waiting: len(e.waiting)})
	stale := time.Duration(e.faults.StaleLoadMs) * time.Millisecond
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= stale {
		e.loads = e.loads[1:]
	}
	load := e.loads[0]
	w.Header().Set(openinference.HeaderLoad, openinference.EncodeLoad(load.running, load.waiting, e.faults.Draining))
}

// loadAt is the load at a time.
type loadAt struct {
	at               time.Time
	running, waiting int
}

func (e *Endpoint) cancel(w http.ResponseWriter, r bunrouter.Request) error {
	var req openinference.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return err
	}
	e.mu.Lock()
	if cancel, ok := e.active[req.ID]; ok {
		cancel()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	return nil
}

func (e *Endpoint) infer(w http.ResponseWriter, r bunrouter.Request) error {
	var req openinference.InferRequest
	body, err := readBody(r.Request, maxCallBody)
	if err != nil {
		return err
	}
	if json.Unmarshal(body, &req) != nil || len(req.Inputs) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	ctx, faults, end := e.begin(r.Context(), req.ID)
	defer end()
	if faults.refuse(w) || e.refuseLacking(w, r) {
		return nil
	}
	input := req.Inputs[0].Data[0]
	if !e.hold(ctx, req.ID, req.Parameters, input, faults) {
		panic(http.ErrAbortHandler)
	}
	resp := openinference.InferResponse{ID: req.ID, Parameters: openinference.Parameters{RequestID: req.Parameters.RequestID, Stage: req.Parameters.Stage}}
	resp.Outputs = []openinference.Tensor{openinference.TensorOf("output", Output(req.Parameters.RequestID, req.Parameters.Stage, input))}
	e.setLoad(w)
	return e.answer(ctx, w, req.ID, resp, faults)
}

// hold waits for the duration of a call. It returns false if the call was aborted.
func (e *Endpoint) hold(ctx context.Context, id string, p openinference.Parameters, input string, faults EndpointFaults) bool {
	var w work
	_ = json.Unmarshal([]byte(input), &w)
	if !e.enter(ctx, p.Priority) {
		return false
	}
	started := time.Now()
	whole := sleep(ctx, e.duration(p.Stage, w, faults.Slow))
	e.exit(e.run(id, p, started, whole))
	return whole
}

func (e *Endpoint) run(id string, p openinference.Parameters, started time.Time, whole bool) Run {
	return Run{Endpoint: e.settings.Name, Service: e.settings.Service, Request: p.RequestID, Stage: p.Stage, Attempt: id, Ms: float64(time.Since(started).Microseconds()) / 1000, Whole: whole}
}

// Output returns the response to a call, which is unique to its request, stage and input.
func Output(request, stage, input string) json.RawMessage {
	data, _ := json.Marshal(map[string]string{"request": request, "stage": stage, "of": digest(input)})
	return data
}

// Token returns the token at an index of a generation.
func Token(request, stage, input string, index int) string {
	return fmt.Sprintf("%s-%d ", digest(request, stage, input)[:8], index)
}

func digest(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:8])
}

func (e *Endpoint) generate(w http.ResponseWriter, r bunrouter.Request) error {
	var req openinference.GenerateRequest
	body, err := readBody(r.Request, maxCallBody)
	if err != nil {
		return err
	}
	if json.Unmarshal(body, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	ctx, faults, end := e.begin(r.Context(), req.ID)
	defer end()
	if faults.refuse(w) || e.refuseLacking(w, r) {
		return nil
	}
	if !e.enter(ctx, req.Parameters.Priority) {
		panic(http.ErrAbortHandler)
	}
	started := time.Now()
	e.setLoad(w)
	w.Header().Set("Content-Type", "text/event-stream")
	whole := e.tokens(ctx, w, req, faults)
	e.exit(e.run(req.ID, req.Parameters, started, whole))
	if !whole {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// tokens writes the stream. It returns false if the stream was aborted.
func (e *Endpoint) tokens(ctx context.Context, w http.ResponseWriter, req openinference.GenerateRequest, faults EndpointFaults) bool {
	var cost work
	_ = json.Unmarshal([]byte(req.TextInput), &cost)
	n := cost.Input.Tokens
	if n == 0 {
		n = defaultTokens
	}
	total := e.duration(req.Parameters.Stage, cost, faults.Slow)
	prefill := time.Duration(float64(total) * prefillShare)
	each := (total - prefill) / time.Duration(n)
	if !sleep(ctx, e.cached(req.Parameters.PromptCacheKey, prefill)) {
		return false
	}
	p := openinference.Parameters{RequestID: req.Parameters.RequestID, Stage: req.Parameters.Stage}
	for i := len(req.Parameters.Prior) + faults.SkipTokens; i < n; i++ {
		if faults.DieAfterTokens > 0 && i-len(req.Parameters.Prior) >= faults.DieAfterTokens {
			return false
		}
		if faults.FreezeAfterTokens > 0 && i-len(req.Parameters.Prior) >= faults.FreezeAfterTokens {
			<-ctx.Done()
			return false
		}
		if !sleep(ctx, each) {
			return false
		}
		p.Index = i
		token := openinference.GenerateResponse{ID: req.ID, Parameters: p, TextOutput: Token(req.Parameters.RequestID, req.Parameters.Stage, req.TextInput, i)}
		faults.forge(&token.ID, &token.Parameters)
		if writeEvent(w, token) != nil {
			return false
		}
	}
	p.Index = n
	p.Finished = true
	return writeEvent(w, openinference.GenerateResponse{ID: req.ID, Parameters: p}) == nil
}

// cached returns the duration of the prefill, which is shorter if the prefix is cached, and adds the
// prefix to the cache.
func (e *Endpoint) cached(key string, prefill time.Duration) time.Duration {
	if key == "" {
		return prefill
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.prefixes.Get(key); ok {
		return time.Duration(float64(prefill) * cachedShare)
	}
	e.prefixes.Add(key, struct{}{})
	return prefill
}

func writeEvent(w http.ResponseWriter, event openinference.GenerateResponse) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, limit))
}
