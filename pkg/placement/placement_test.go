package placement_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/lease"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/placement"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func placementOf(model string, replicas uint32) *config.Placement {
	return &config.Placement{Name: model, Service: "engine", Model: model, Replicas: replicas}
}

func observed(name string, models ...string) placement.EndpointState {
	o := placement.EndpointState{Endpoint: name, Service: "engine", ChecksTokens: true}
	for _, m := range models {
		o.Models = append(o.Models, placement.Model{Name: m})
	}
	return o
}

// formatOrders formats orders as +model@endpoint and -model@endpoint.
func formatOrders(orders []placement.Order) []string {
	var list []string
	for _, o := range orders {
		sign := "-"
		if o.Load {
			sign = "+"
		}
		list = append(list, sign+o.Model.Name+"@"+o.Endpoint)
	}
	return list
}

var _ = DescribeTable("the plan",
	func(placements []*config.Placement, endpoints []placement.EndpointState, orders ...string) {
		Expect(append([]string{}, formatOrders(placement.Plan(placements, endpoints))...)).To(Equal(append([]string{}, orders...)))
	},
	Entry("loads missing replicas on the endpoints with the fewest models", []*config.Placement{placementOf("m", 2)}, []placement.EndpointState{observed("a", "n"), observed("b"), observed("c")}, "+m@b", "+m@c", "-n@a"),
	Entry("makes no changes in the desired state", []*config.Placement{placementOf("m", 1)}, []placement.EndpointState{observed("a", "m"), observed("b")}),
	Entry("loads no more replicas than there are endpoints", []*config.Placement{placementOf("m", 3)}, []placement.EndpointState{observed("a")}, "+m@a"),
	Entry("loads the placement with the fewest replicas first", []*config.Placement{placementOf("m", 2), placementOf("n", 2)}, []placement.EndpointState{observed("a", "m"), observed("b")}, "+n@b", "+n@a", "+m@b"),
	Entry("unloads surplus replicas but never the last", []*config.Placement{placementOf("m", 1)}, []placement.EndpointState{observed("a", "m"), observed("b", "m")}, "-m@a"),
	Entry("ignores services without placements", nil, []placement.EndpointState{observed("a", "m")}),
)

// fakeLease is held until a fixed time.
type fakeLease struct {
	clock clockwork.Clock
	mu    sync.Mutex
	lease.Holding
}

func (l *fakeLease) Held() (lease.Holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Holding, l.clock.Now().Before(l.Until)
}

func (l *fakeLease) TTL() time.Duration { return 10 * time.Second }

// fakeEngine records orders and their fencing tokens.
type fakeEngine struct {
	mu     sync.Mutex
	models map[string][]placement.Model
	tokens []int64
	before func()
}

func (e *fakeEngine) Models(_ context.Context, address string) ([]placement.Model, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.before != nil {
		e.before()
	}
	return e.models[address], nil
}

func (e *fakeEngine) Order(_ context.Context, address string, token int64, o placement.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens = append(e.tokens, token)
	e.models[address] = append(e.models[address], o.Model)
	return nil
}

var _ = Describe("the runner", func() {
	var clock *clockwork.FakeClock
	var held *fakeLease
	var engine *fakeEngine
	var checks bool
	var runner *placement.Runner

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		held = &fakeLease{clock: clock, Holding: lease.Holding{Token: 7, Since: clock.Now(), Until: clock.Now().Add(8 * time.Second)}}
		engine = &fakeEngine{models: map[string][]placement.Model{}}
		checks = true
		runner = placement.NewRunner(placement.Options{
			Lease:  held,
			Engine: engine,
			Endpoints: func() []placement.EndpointState {
				return []placement.EndpointState{{Endpoint: "a", Address: "a", Service: "engine", ChecksTokens: checks}}
			},
			Placements:     func() []*config.Placement { return []*config.Placement{placementOf("m", 1), placementOf("n", 1)} },
			OrderTimeout:   20 * time.Second,
			LoadsPerMinute: 60,
			Clock:          clock,
			Ring:           timeline.NewRing("x", timeline.NewClock(clock), 10),
			Log:            logging.Discard().For("placement"),
		})
	})

	It("sends the fencing token and limits the rate of loads", func() {
		runner.Step(context.Background())
		Expect(engine.tokens).To(Equal([]int64{7}))
		clock.Advance(time.Second)
		runner.Step(context.Background())
		Expect(engine.tokens).To(Equal([]int64{7, 7}))
	})

	It("sends no order if the lease expires after reading", func() {
		engine.before = func() { clock.Advance(9 * time.Second) }
		runner.Step(context.Background())
		Expect(engine.tokens).To(BeEmpty())
	})

	It("sends no order to an endpoint that does not check tokens while an earlier one may be in flight", func() {
		checks = false
		runner.Step(context.Background())
		Expect(engine.tokens).To(BeEmpty())
		clock.Advance(31 * time.Second)
		held.Until = clock.Now().Add(8 * time.Second)
		runner.Step(context.Background())
		Expect(engine.tokens).To(HaveLen(1))
	})
})
