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

func want(model string, replicas uint32) *config.Placement {
	return &config.Placement{Name: model, Service: "engine", Model: model, Replicas: replicas}
}

func observed(name string, models ...string) placement.Observed {
	o := placement.Observed{Endpoint: name, Service: "engine", ChecksTokens: true}
	for _, m := range models {
		o.Models = append(o.Models, placement.Model{Name: m})
	}
	return o
}

// text gives orders as +model@endpoint and -model@endpoint.
func text(orders []placement.Order) []string {
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
	func(placements []*config.Placement, endpoints []placement.Observed, orders ...string) {
		Expect(append([]string{}, text(placement.Plan(placements, endpoints))...)).To(Equal(append([]string{}, orders...)))
	},
	Entry("loads what is lacking on the emptiest", []*config.Placement{want("m", 2)}, []placement.Observed{observed("a", "n"), observed("b"), observed("c")}, "+m@b", "+m@c", "-n@a"),
	Entry("changes nothing that is as wanted", []*config.Placement{want("m", 1)}, []placement.Observed{observed("a", "m"), observed("b")}),
	Entry("loads on no more than there are", []*config.Placement{want("m", 3)}, []placement.Observed{observed("a")}, "+m@a"),
	Entry("loads first what lacks most", []*config.Placement{want("m", 2), want("n", 2)}, []placement.Observed{observed("a", "m"), observed("b")}, "+n@b", "+n@a", "+m@b"),
	Entry("unloads what is held too often, but never the last", []*config.Placement{want("m", 1)}, []placement.Observed{observed("a", "m"), observed("b", "m")}, "-m@a"),
	Entry("leaves services without placements alone", nil, []placement.Observed{observed("a", "m")}),
)

// fakeLease is held until a time.
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

// fakeEngine keeps what it is ordered, and the tokens of the orders.
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
			Endpoints: func() []placement.Observed {
				return []placement.Observed{{Endpoint: "a", Address: "a", Service: "engine", ChecksTokens: checks}}
			},
			Placements:     func() []*config.Placement { return []*config.Placement{want("m", 1), want("n", 1)} },
			OrderTimeout:   20 * time.Second,
			LoadsPerMinute: 60,
			Clock:          clock,
			Ring:           timeline.NewRing("x", timeline.NewClock(clock), 10),
			Log:            logging.Discard().For("placement"),
		})
	})

	It("orders with the token, and at the weight store's rate", func() {
		runner.Step(context.Background())
		Expect(engine.tokens).To(Equal([]int64{7}))
		clock.Advance(time.Second)
		runner.Step(context.Background())
		Expect(engine.tokens).To(Equal([]int64{7, 7}))
	})

	It("gives no order when a pause outlasts the lease between reading and ordering", func() {
		engine.before = func() { clock.Advance(9 * time.Second) }
		runner.Step(context.Background())
		Expect(engine.tokens).To(BeEmpty())
	})

	It("orders nothing at an endpoint that does not check tokens until no earlier order can come", func() {
		checks = false
		runner.Step(context.Background())
		Expect(engine.tokens).To(BeEmpty())
		clock.Advance(31 * time.Second)
		held.Until = clock.Now().Add(8 * time.Second)
		runner.Step(context.Background())
		Expect(engine.tokens).To(HaveLen(1))
	})
})
