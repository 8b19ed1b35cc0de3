package traffic_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint/openinference"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/pkg/scheduling"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
	"github.com/cobaltcroft/cobaltcroft/pkg/traffic"
)

func TestTraffic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "traffic")
}

// bench is an executor over stand-in endpoints, two per service.
type bench struct {
	caller   faultyCaller
	clock    stageEndClock
	site     *standin.Site
	executor *traffic.Executor
	ring     *timeline.Ring
	pools    map[string]*scheduling.Pool

	mu      sync.Mutex
	leaving []string
}

var services = []config.Service{
	{Name: "encoder", Kind: config.Encoding, Concurrency: 4},
	{Name: "archive", Kind: config.Retrieval, Concurrency: 4},
	{Name: "reranker", Kind: config.Reranking, Concurrency: 4},
	{Name: "engine", Kind: config.Generation, Concurrency: 4},
	{Name: "alert", Kind: config.Plain, Concurrency: 4},
}

// ringEvents is large enough for all events of any test, so that none is dropped.
const ringEvents = 4000

// faultyCaller is a caller that can block cancellations and override call deadlines.
type faultyCaller struct {
	endpoint.Caller
	// blockCancels blocks cancellations until their context is done.
	blockCancels atomic.Bool
	// enforceDeadlines cancels each call at its own deadline, regardless of its context.
	enforceDeadlines atomic.Bool
}

// Cancel implements endpoint.Caller.
func (c *faultyCaller) Cancel(ctx context.Context, address string, attempt endpoint.Attempt) error {
	if c.blockCancels.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return c.Caller.Cancel(ctx, address, attempt)
}

// Call implements endpoint.Caller.
func (c *faultyCaller) Call(ctx context.Context, address string, call endpoint.Call) (endpoint.Response, error) {
	ctx, stop := c.callContext(ctx, call)
	defer stop()
	return c.Caller.Call(ctx, address, call)
}

// Generate implements endpoint.Caller.
func (c *faultyCaller) Generate(ctx context.Context, address string, call endpoint.Call, prior []endpoint.Token, sink func(endpoint.Token) error) (endpoint.Response, error) {
	ctx, stop := c.callContext(ctx, call)
	defer stop()
	return c.Caller.Generate(ctx, address, call, prior, sink)
}

// callContext returns the context of a call. It uses a timer because a context derived from an
// unenforcedDeadline does not set one.
func (c *faultyCaller) callContext(ctx context.Context, call endpoint.Call) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if !c.enforceDeadlines.Load() {
		return ctx, cancel
	}
	timer := time.AfterFunc(time.Until(call.Deadline), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// unenforcedDeadline is a context that reports a deadline but is not done at it, so that only the
// calls themselves expire.
type unenforcedDeadline struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c unenforcedDeadline) Deadline() (time.Time, bool) { return c.deadline, true }

// stageEndClock calls a function when a stage has ended, which is when the executor calls Since.
type stageEndClock struct {
	clockwork.Clock
	beforeStageEnd atomic.Value
}

// Since implements clockwork.Clock.
func (c *stageEndClock) Since(t time.Time) time.Duration {
	if f, ok := c.beforeStageEnd.Load().(func()); ok {
		f()
	}
	return c.Clock.Since(t)
}

func newBench() *bench {
	b, stop := startBench()
	DeferCleanup(stop)
	return b
}

// must panics on err. It is also used by benchmarks, which cannot use Gomega assertions.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func startBench() (b *bench, stop func()) {
	b = &bench{pools: map[string]*scheduling.Pool{}}
	settings := standin.SiteSettings{}
	for _, s := range services {
		for _, suffix := range []string{"1", "2"} {
			settings.Endpoints = append(settings.Endpoints, standin.EndpointSettings{Name: s.Name + "-" + suffix, Service: s.Name, FailureDomain: "here", Listen: "127.0.0.1:0", Concurrency: 4, ServiceMs: 2})
		}
	}
	var err error
	b.site, err = standin.StartSite(settings)
	must(err)
	clock := clockwork.NewRealClock()
	b.clock.Clock = clock
	b.ring = timeline.NewRing("test", timeline.NewClock(clock), ringEvents)
	client := openinference.New(1 << 20)
	b.caller.Caller = client
	view := b.view()
	b.executor = traffic.New(traffic.Options{
		Instance: "test",
		View:     func() *control.View { return view },
		OnLeaving: func(e control.LeavingEndpoint, _ string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.leaving = append(b.leaving, e.Name)
		},
		Caller:      &b.caller,
		Clock:       &b.clock,
		Ring:        b.ring,
		Log:         logging.Discard().For("traffic"),
		Metrics:     traffic.NewMetrics(metrics.NewSet()),
		Shares:      ratelimit.NewSplitter(clock),
		MaxInFlight: 100,
	})
	stopTicks := b.tickPools(clock)
	return b, func() {
		b.executor.Close()
		stopTicks()
		client.Close()
		b.site.Close()
	}
}

// tickPools ticks the pools until the returned function is called, as the control goroutine does in
// an instance. Without it, a request that waits for an ejected endpoint is not woken when the
// ejection ends.
func (b *bench) tickPools(clock clockwork.Clock) (stop func()) {
	ticker := clock.NewTicker(20 * time.Millisecond)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case now := <-ticker.Chan():
				for _, pool := range b.pools {
					pool.Tick(now)
				}
			case <-done:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(done)
		wg.Wait()
	}
}

func (b *bench) view() *control.View {
	change := config.Change{ID: "c", Revision: 1}
	put := func(o config.Object) {
		change.Operations = append(change.Operations, config.Operation{Put: &o})
	}
	for _, s := range services {
		put(config.Object{Service: &s})
	}
	put(config.Object{Organisation: &config.Organisation{Name: "huila", Weight: 1}})
	put(config.Object{Organisation: &config.Organisation{Name: "narrow", Weight: 1, MaxConcurrent: 1}})
	put(config.Object{Organisation: &config.Organisation{Name: "slow", Weight: 1, RequestsPerSecond: 0.001}})
	put(config.Object{Pipeline: &config.Pipeline{Name: "bulletin", Objective: config.Attainment, DeadlineMs: 1000, Stages: []config.Stage{
		{Name: "encode", Kind: config.Encoding, Service: "encoder"},
		{Name: "retrieve", Kind: config.Retrieval, Service: "archive"},
		{Name: "rerank", Kind: config.Reranking, Service: "reranker"},
		{Name: "generate", Kind: config.Generation, Service: "engine"},
	}}})
	put(config.Object{Pipeline: &config.Pipeline{Name: "diamond", Objective: config.Cost, DeadlineMs: 1000, Stages: []config.Stage{
		{Name: "encode", Kind: config.Encoding, Service: "encoder"},
		{Name: "left", Kind: config.Retrieval, Service: "archive", After: []string{"encode"}},
		{Name: "right", Kind: config.Retrieval, Service: "archive", After: []string{"encode"}},
		{Name: "join", Kind: config.Reranking, Service: "reranker", After: []string{"left", "right"}},
	}}})
	put(config.Object{Pipeline: &config.Pipeline{Name: "alert", Objective: config.Attainment, DeadlineMs: 1000, Stages: []config.Stage{
		{Name: "dispatch", Kind: config.Plain, Service: "alert"},
	}}})
	configuration, err := config.Empty().Check(change)
	must(err)
	b.makePools()
	plans := map[string]*scheduling.Plan{}
	for _, p := range configuration.Pipelines() {
		var steps []scheduling.Step
		for i, s := range p.Stages {
			steps = append(steps, scheduling.Step{Pool: b.pools[s.Service], Inputs: p.Inputs(i)})
		}
		plans[p.Name] = scheduling.NewPlan(steps)
	}
	return &control.View{Configuration: configuration, Pools: b.pools, Plans: plans, Instances: ratelimit.InstanceCounts{Domain: 1, All: 1}, Confirmed: true}
}

func (b *bench) makePools() {
	for _, s := range services {
		b.pools[s.Name] = scheduling.NewPool(scheduling.Config{Policy: scheduling.Adaptive, FailureDomain: "here", Concurrency: 4, MaxQueue: 100}, rand.New(rand.NewPCG(1, 2)))
		b.useBoth(s.Name)
	}
}

// useBoth updates a service's pool to both endpoints.
func (b *bench) useBoth(service string) { b.update(service, "1", "2") }

// useFirst updates a service's pool to its first endpoint.
func (b *bench) useFirst(service string) { b.update(service, "1") }

func (b *bench) update(service string, suffixes ...string) {
	var list []scheduling.Endpoint
	for _, suffix := range suffixes {
		list = append(list, scheduling.Endpoint{Name: service + "-" + suffix, Address: b.endpoint(service, suffix).Address(), FailureDomain: "here", Incarnation: 1})
	}
	b.pools[service].Update(time.Now(), 4, list)
}

func (b *bench) endpoint(service, suffix string) *standin.Endpoint {
	return b.site.Endpoints[service+"-"+suffix]
}

// fault injects faults at both endpoints of a service.
func (b *bench) fault(service string, f standin.EndpointFaults) {
	b.endpoint(service, "1").SetFaults(f)
	b.endpoint(service, "2").SetFaults(f)
}

// faultNext injects faults for the next call to either endpoint of a service.
func (b *bench) faultNext(service string, f standin.EndpointFaults) {
	next := standin.NewNextCall(f)
	b.endpoint(service, "1").SetNextCall(next)
	b.endpoint(service, "2").SetNextCall(next)
}

func call(pipeline string, allowed time.Duration) request.Request {
	return request.Request{ID: "r1", Organisation: "huila", Pipeline: pipeline, Input: json.RawMessage(`{"question":"frost?"}`), Deadline: time.Now().Add(allowed), Repeatable: true}
}

func (b *bench) run(r request.Request) request.Result {
	return b.executor.Run(context.Background(), r, nil)
}

// runs returns the number of completed executions of a stage.
func (b *bench) runs(stage string) int {
	n := 0
	for _, run := range b.site.Runs() {
		if run.Stage == stage {
			n++
		}
	}
	return n
}

func (b *bench) events(kind timeline.Kind) int {
	events, _ := b.ring.Select(timeline.Filter{})
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// expected returns the expected output of a request to the bulletin pipeline.
func expected(r request.Request) string {
	input := stageInput(r.Input, "", nil)
	before := standin.Output(r.ID, "encode", input)
	before = standin.Output(r.ID, "retrieve", stageInput(r.Input, "encode", before))
	before = standin.Output(r.ID, "rerank", stageInput(r.Input, "retrieve", before))
	last := stageInput(r.Input, "rerank", before)
	text := ""
	for i := range 8 {
		text += standin.Token(r.ID, "generate", last, i)
	}
	data, _ := json.Marshal(text)
	return string(data)
}

func stageInput(input json.RawMessage, stage string, before json.RawMessage) string {
	if stage == "" {
		return `{"input":` + string(input) + `}`
	}
	return `{"input":` + string(input) + `,"before":{"` + stage + `":` + string(before) + `}}`
}
