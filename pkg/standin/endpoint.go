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

// EndpointSettings describe one endpoint.
type EndpointSettings struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// Listen is the address; port 0 lets the system choose.
	Listen string `json:"listen"`
	// Concurrency is how many calls run at once; the others wait.
	Concurrency int `json:"concurrency"`
	// ServiceMs is the time of a call that names none, in milliseconds.
	ServiceMs    float64 `json:"service_ms"`
	ChecksTokens bool    `json:"checks_tokens,omitempty"`
	// NeedsModels makes it refuse calls of models that it was not told to load.
	NeedsModels bool `json:"needs_models,omitempty"`
	// LoadMs is how long an order takes, in milliseconds.
	LoadMs float64 `json:"load_ms,omitempty"`
}

const (
	// defaultTokens is how many tokens a generation has that names no number.
	defaultTokens = 8
	// prefillShare is the part of a generation's time before its first token, and
	// cachedShare what is left of that part when the prefix is in the cache.
	prefillShare = 0.4
	cachedShare  = 0.2
	// cachedPrefixes is how many prompt prefixes an engine's cache holds.
	cachedPrefixes = 8
	maxCallBody    = 16 << 20
)

// Run is one call that an endpoint has run, wholly or in part.
type Run struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Request  string `json:"request"`
	Stage    string `json:"stage"`
	Attempt  string `json:"attempt"`
	// Ms is how long it held a slot, in milliseconds.
	Ms float64 `json:"ms"`
	// Whole is false if it was broken off.
	Whole bool `json:"whole"`
}

// Endpoint stands in for an engine, a stage pool's member or a plain service.
type Endpoint struct {
	settings EndpointSettings
	list     *InstanceList

	mu      sync.Mutex
	faults  EndpointFaults
	running int
	waiting []*waitingCall
	active  map[string]context.CancelFunc
	// nextCall has faults shared with other endpoints; nil: none.
	nextCall *NextCall
	runs     []Run
	models   models
	// reserved keeps the port while the endpoint is dead.
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

// NewEndpoint returns an endpoint that enters itself in list when it starts.
func NewEndpoint(s EndpointSettings, list *InstanceList) *Endpoint {
	prefixes, _ := lru.New[string, struct{}](cachedPrefixes)
	return &Endpoint{settings: s, list: list, active: map[string]context.CancelFunc{}, prefixes: prefixes, crossed: make(chan openinference.InferResponse, 1), crossedBack: make(chan openinference.InferResponse, 1)}
}

// Start listens and serves, at the same address as before if there was one.
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

// Kill closes all connections, as the death of the process would. The list keeps
// the entry, since it lags.
func (e *Endpoint) Kill() {
	// The server closes only a listener that it has begun to serve; one killed at once would go on accepting.
	_ = e.listener.Close()
	_ = e.server.Close()
	if e.reserved == nil {
		e.reserved = reserve(e.address)
	}
}

// SetLeaving marks the endpoint as leaving in the list, and if itself is set has it
// refuse new calls too.
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

// Address returns where the endpoint listens.
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

// Runs returns what the endpoint has run so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Calls returns how many calls have come, refused ones included.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// work is what the input may say about its own cost.
type work struct {
	Input struct {
		// WorkMs is the time of each stage, in milliseconds.
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

// enter waits for a slot; higher priorities go first. It returns false if ctx ends.
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

// stopWaiting takes a call out of the queue, or returns true if it has got a slot.
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

// begin notes a call and returns the faults that apply to it and its context.
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

// loadAt is a load and when it was.
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

// hold runs a call for its time. It returns false if it was broken off.
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

// Output is what an endpoint answers: a value that only this request, stage and
// input have.
func Output(request, stage, input string) json.RawMessage {
	data, _ := json.Marshal(map[string]string{"request": request, "stage": stage, "of": digest(input)})
	return data
}

// Token is the token at an index of what an engine generates.
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

// tokens writes the stream. It returns false if it was broken off.
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

// cached returns the prefill time, shorter if the prefix was in the cache, where it
// is afterwards.
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
