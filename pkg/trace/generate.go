package trace

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

// The names of the traces.
const (
	Steady         = "steady"
	DawnBurst      = "dawn_burst"
	ComplaintWave  = "complaint_wave"
	SlowStage      = "slow_stage"
	SlowEndpoint   = "slow_endpoint"
	DyingEndpoints = "dying_endpoints"
	DomainCut      = "domain_cut"
	Flood          = "flood"
	StaleReports   = "stale_reports"
	PrefixReuse    = "prefix_reuse"
)

const (
	// lengthMs is the length of each trace, in milliseconds.
	lengthMs = 2400
	// logStdDev is the standard deviation of the logarithm of a service time.
	logStdDev = 0.25
)

// load is a stream of requests with a constant rate over an interval.
type load struct {
	pipeline     int
	perSecond    float64
	fromMs, toMs float64
	organisation string // empty: random, by weight
	prefixes     int    // 0: no prompt prefixes
	slowStage    string
	slowdown     float64
}

// scenario describes how a trace is generated.
type scenario struct {
	name         string
	about        string
	expected     Expected
	loads        func(f Fleet, capacity, shortCapacity float64) []load
	stateChanges func(f Fleet) []Entry
}

func constant(pipeline int, perSecond float64) load {
	return load{pipeline: pipeline, perSecond: perSecond, toMs: lengthMs}
}

func during(l load, fromMs, toMs float64) load {
	l.fromMs, l.toMs = fromMs, toMs
	return l
}

var scenarios = []scenario{
	{
		name: Steady, about: "both pipelines well under capacity",
		expected: Expected{MinAttainment: 0.98, MinMargin: 0, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, shortCapacity float64) []load {
			return []load{constant(0, 0.55*capacity), constant(1, 0.15*shortCapacity)}
		},
	},
	{
		name: DawnBurst, about: "the main pipeline at twice the capacity of generation for a second and a half",
		expected: Expected{MinAttainment: 0.55, MinMargin: 0.08, MaxWasteRatio: 0.34},
		loads: func(_ Fleet, capacity, shortCapacity float64) []load {
			return []load{during(constant(0, 0.4*capacity), 0, 500), during(constant(0, 2*capacity), 500, 2000), during(constant(0, 0.4*capacity), 2000, lengthMs), constant(1, 0.1*shortCapacity)}
		},
	},
	{
		name: ComplaintWave, about: "the short pipeline at one and a half times the capacity of encoders and rerankers",
		expected: Expected{MinAttainment: 0.55, MinMargin: 0.1, MaxWasteRatio: 0.34},
		loads: func(_ Fleet, capacity, shortCapacity float64) []load {
			return []load{constant(0, 0.3*capacity), during(constant(1, 1.5*shortCapacity), 300, 2000)}
		},
	},
	{
		name: SlowStage, about: "reranking takes six times as long from half a second on",
		expected: Expected{MinAttainment: 0.45, MinMargin: 0.1, MaxWasteRatio: 0.34},
		loads: func(_ Fleet, capacity, _ float64) []load {
			slow := during(constant(0, 0.9*capacity), 500, lengthMs)
			slow.slowStage, slow.slowdown = "rerank", 6
			return []load{during(constant(0, 0.9*capacity), 0, 500), slow}
		},
	},
	{
		name: SlowEndpoint, about: "one engine and one encoder answer ten times slower",
		expected: Expected{MinAttainment: 0.9, MinMargin: 0.01, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, shortCapacity float64) []load {
			return []load{constant(0, 0.75*capacity), constant(1, 0.15*shortCapacity)}
		},
		stateChanges: func(f Fleet) []Entry {
			slow := standin.EndpointState{Faults: standin.EndpointFaults{Slow: 10}}
			return []Entry{stateChangeAt(300, slow, f.names(config.Generation, 1)...), stateChangeAt(300, slow, f.names(config.Encoding, 1)...)}
		},
	},
	{
		name: DyingEndpoints, about: "half the retrieval endpoints and a fifth of the engines die and come back",
		expected: Expected{MinAttainment: 0.95, MinMargin: 0, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, _ float64) []load {
			return []load{constant(0, 0.7*capacity)}
		},
		stateChanges: func(f Fleet) []Entry {
			dying := slices.Concat(f.names(config.Retrieval, f.service(config.Retrieval).Endpoints/2), f.names(config.Generation, f.service(config.Generation).Endpoints/5))
			return []Entry{stateChangeAt(500, standin.EndpointState{Dead: true}, dying...), stateChangeAt(1500, standin.EndpointState{}, dying...)}
		},
	},
	{
		name: DomainCut, about: "all endpoints of one failure domain are out of reach for a second",
		expected: Expected{MinAttainment: 0.95, MinMargin: 0.02, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, _ float64) []load {
			return []load{constant(0, 0.75*capacity)}
		},
		stateChanges: func(f Fleet) []Entry {
			lost := f.inDomain(len(f.Domains) - 1)
			return []Entry{stateChangeAt(600, standin.EndpointState{Dead: true}, lost...), stateChangeAt(1600, standin.EndpointState{}, lost...)}
		},
	},
	{
		name: Flood, about: "one large organisation asks ten times its share",
		expected: Expected{MinAttainment: 0.45, MinMargin: 0.08, MaxWasteRatio: 0.34, MinOthersAttainment: 0.95},
		loads: func(f Fleet, capacity, _ float64) []load {
			flooding := during(constant(0, 1.6*capacity), 400, lengthMs)
			flooding.organisation = f.Organisations[0].Name
			return []load{constant(0, 0.4*capacity), flooding}
		},
	},
	{
		name: StaleReports, about: "the endpoints' load reports are two seconds old, at a load that swings",
		expected: Expected{MinAttainment: 0.98, MinMargin: 0, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, _ float64) []load {
			return []load{during(constant(0, 1.3*capacity), 0, 500), during(constant(0, 0.5*capacity), 500, 1200), during(constant(0, 1.3*capacity), 1200, 1700), during(constant(0, 0.5*capacity), 1700, lengthMs)}
		},
		stateChanges: func(f Fleet) []Entry {
			stale := standin.EndpointState{Faults: standin.EndpointFaults{StaleLoadMs: 2000}}
			return []Entry{stateChangeAt(0, stale, f.names(config.Generation, f.service(config.Generation).Endpoints)...)}
		},
	},
	{
		name: PrefixReuse, about: "prompts share a few dozen prefixes, at just over capacity without reuse",
		expected: Expected{MinAttainment: 0.88, MinMargin: -0.03, MaxWasteRatio: 1},
		loads: func(_ Fleet, capacity, _ float64) []load {
			l := constant(0, 1.1*capacity)
			l.prefixes = 48
			return []load{l}
		},
	},
}

// Names returns the names of all traces.
func Names() []string {
	var names []string
	for _, r := range scenarios {
		names = append(names, r.name)
	}
	return names
}

func stateChangeAt(ms float64, state standin.EndpointState, endpoints ...string) Entry {
	return Entry{AtMs: ms, StateChange: &StateChange{Endpoints: endpoints, State: state}}
}

// names returns the first n endpoints of the service that runs a stage kind.
func (f Fleet) names(kind config.StageKind, n int) []string {
	var names []string
	for i := range n {
		names = append(names, EndpointName(f.service(kind).Name, i))
	}
	return names
}

func (f Fleet) inDomain(domain int) []string {
	var names []string
	for _, s := range f.Services {
		for i := range s.Endpoints {
			if i%len(f.Domains) == domain {
				names = append(names, EndpointName(s.Name, i))
			}
		}
	}
	return names
}

// Generate generates all traces of a fleet. It is deterministic.
func Generate(f Fleet) []*Trace {
	var traces []*Trace
	for _, r := range scenarios {
		seed := fnv.New64a()
		_, _ = seed.Write([]byte(f.Name + r.name))
		g := &generator{fleet: f, random: rand.New(rand.NewPCG(seed.Sum64(), 1))}
		traces = append(traces, g.trace(r))
	}
	return traces
}

type generator struct {
	fleet  Fleet
	random *rand.Rand
}

func (g *generator) trace(r scenario) *Trace {
	t := &Trace{Header: Header{Fleet: g.fleet.Name, Name: r.name, About: r.about, Expected: r.expected}}
	if r.stateChanges != nil {
		t.Entries = r.stateChanges(g.fleet)
	}
	for _, l := range r.loads(g.fleet, g.fleet.capacity(g.fleet.Pipelines[0]), g.fleet.capacity(g.fleet.Pipelines[1])) {
		t.Entries = append(t.Entries, g.requests(l)...)
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int {
		return cmp.Compare(a.AtMs, b.AtMs)
	})
	return t
}

// requests generates the requests of a load as a Poisson process.
func (g *generator) requests(l load) []Entry {
	var entries []Entry
	for ms := l.fromMs + g.gap(l); ms < l.toMs; ms += g.gap(l) {
		entries = append(entries, Entry{AtMs: round(ms), Request: g.request(l)})
	}
	return entries
}

func (g *generator) gap(l load) float64 { return g.random.ExpFloat64() * 1000 / l.perSecond }

func (g *generator) request(l load) *Request {
	pipeline := g.fleet.Pipelines[l.pipeline]
	r := &Request{Pipeline: pipeline.Name, Organisation: l.organisation, WorkMs: map[string]float64{}}
	if r.Organisation == "" {
		r.Organisation = g.organisation()
	}
	if l.prefixes > 0 {
		r.PromptCacheKey = strconv.Itoa(g.random.IntN(l.prefixes))
	}
	for _, stage := range pipeline.Stages {
		mean := g.fleet.service(stage.Kind).MeanMs
		// Subtracting half the variance makes mean the mean of the log-normal distribution.
		ms := mean * math.Exp(logStdDev*g.random.NormFloat64()-logStdDev*logStdDev/2)
		if stage.Name == l.slowStage {
			ms *= l.slowdown
		}
		r.WorkMs[stage.Name] = round(ms)
	}
	return r
}

// organisation returns a random organisation, by weight.
func (g *generator) organisation() string {
	total := uint32(0)
	for _, o := range g.fleet.Organisations {
		total += o.Weight
	}
	n := g.random.Uint32N(total)
	for _, o := range g.fleet.Organisations {
		if n < o.Weight {
			return o.Name
		}
		n -= o.Weight
	}
	return ""
}

func round(ms float64) float64 { return math.Round(ms*100) / 100 }
