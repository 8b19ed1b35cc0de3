package handover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// recordingObserver is an EngineObserver with one observation.
type recordingObserver struct {
	planners []string
	learnt   []balance.EngineView
}

func (o *recordingObserver) Observations(planner string) []balance.Observation {
	o.planners = append(o.planners, planner)
	return []balance.Observation{{Endpoint: "slow", Sample: 3, Slots: 4, Running: 2}}
}

func (o *recordingObserver) LearnEngines(views []balance.EngineView) { o.learnt = views }

// handlerCaller passes calls to a handler as JSON, without its configuration check.
type handlerCaller struct {
	refusingCaller
	handler *Handler
	sent    json.RawMessage
}

func (c *handlerCaller) Call(ctx context.Context, _, method string, params, result any) error {
	var err error
	if c.sent, err = json.Marshal(params); err != nil {
		return err
	}
	answer, err := unconfiguredHandler{c.handler}.Answer(ctx, method, c.sent)
	if err != nil {
		return err
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

var _ = Describe("observations of engines", func() {
	var (
		clock    *clockwork.FakeClock
		owner    *Router
		client   *handlerCaller
		observer *recordingObserver
		sender   *Router
		plan     pipeline.Plan
	)
	known := func(id string) bool { return id != "gone" }

	router := func() *Router {
		return newTestRouter(pipeline.NewPlanner(instantPieces{}, clock, metrics.NewSet(), logging.Discard().For("pipeline")), clock)
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		owner, sender, observer = router(), router(), &recordingObserver{}
		owner.engines.known = known
		client = &handlerCaller{handler: NewHandler(owner, Backends{})}
		sender.client, sender.engines = client, engineExchange{observer: observer, known: known}
		plan = pipeline.Plan{Request: "r", Due: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute)}
		for i, id := range []string{"slow", "other"} {
			plan.Readers = append(plan.Readers, pipeline.Reader{Endpoint: id, CostMs: int64(100 + i), ReadingMs: 100, Slots: 4, Slowness: 1})
		}
	})

	handOver := func() pipeline.Outcome {
		outcome, err := sender.handOver(context.Background(), "owner", pipeline.Part{Of: 1}, plan, false)
		Expect(err).NotTo(HaveOccurred())
		return outcome
	}

	It("are sent to the owner with a plan and answered with its view of the engines", func() {
		Expect(handOver().Reader).To(Equal("other"))
		Expect(observer.planners).To(Equal([]string{"owner"}))
		Expect(observer.learnt).To(ConsistOf(
			SatisfyAll(HaveField("Endpoint", "slow"), HaveField("Slowness", 3.0), HaveField("Streams", 2)),
			SatisfyAll(HaveField("Endpoint", "other"), HaveField("Slowness", 0.0), HaveField("Streams", 1)),
		))
	})

	It("are not exchanged for plans that offer no engine", func() {
		plan.Readers = nil
		handOver()
		Expect(observer.planners).To(BeEmpty())
		Expect(observer.learnt).To(BeEmpty())
		Expect(string(client.sent)).NotTo(ContainSubstring("observations"))
	})

	It("are used by the local planner if this instance plans", func() {
		Expect(sender.Run(context.Background(), plan).Reader).To(Equal("other"))
		Expect(observer.planners).To(Equal([]string{sender.owners.self.PeerAddress}))
		Expect(observer.learnt).To(HaveLen(2))
	})

	It("may be absent, as from an instance of an earlier version", func() {
		sender.engines.observer = nil
		Expect(handOver().Reader).To(Equal("slow"))
		Expect(string(client.sent)).NotTo(ContainSubstring("observations"))
	})

	It("of endpoints that were not offered are not learnt from a peer, since they would never be forgotten", func() {
		sender.engines.learn(&plan, []balance.EngineView{{Endpoint: "not offered", Slowness: 1}, {Endpoint: "slow", Slowness: 2}})
		Expect(observer.learnt).To(Equal([]balance.EngineView{{Endpoint: "slow", Slowness: 2}}))
	})

	It("are optional in messages", func() {
		call, err := json.Marshal(api.RunRequest{})
		Expect(err).NotTo(HaveOccurred())
		answer, err := json.Marshal(api.RunResponse{})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(call) + string(answer)).NotTo(Or(ContainSubstring("observations"), ContainSubstring("engines")))
	})
})
