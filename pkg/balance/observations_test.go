package balance_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
)

var _ = Describe("observations for planners", func() {
	var (
		clock *clockwork.FakeClock
		b     *balance.Balancer
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		b = balance.New(clock, noBackoffs(clock))
	})

	start := func(id string) *balance.Call {
		spec := balance.CallSpec{Engine: true, Request: "request of " + id, Parts: []balance.Part{{ID: id, Tokens: 10_000}}}
		c := b.Pick([]fleet.Endpoint{{ID: id, Service: "model"}}, spec)
		clock.Advance(200 * time.Millisecond)
		c.RecordLoad(&balance.Load{Running: 3, Waiting: 0, Slots: 12, Slowness: 1.2345})
		c.EventsReceived(1)
		return c
	}

	It("hold the load, the speed and the ended streams, once for each planner", func() {
		c := start("a")
		clock.Advance(50 * time.Millisecond)
		list := b.Observations("first")
		Expect(list).To(HaveLen(1))
		Expect(list[0]).To(SatisfyAll(HaveField("Endpoint", "a"), HaveField("AgeMs", int64(50)), HaveField("Running", 3), HaveField("Slots", 12), HaveField("Slowness", 1.23)))
		Expect(list[0].Sample).To(BeNumerically("~", 0.62, 0.02))
		Expect(list[0].Ended).To(BeEmpty())
		Expect(b.Observations("first")).To(BeEmpty())
		c.End(balance.Succeeded, nil)
		Expect(b.Observations("first")).To(ConsistOf(SatisfyAll(HaveField("Ended", []uint32{balance.StreamKey("request of a")}), HaveField("Sample", 0.0))))
		Expect(b.Observations("second")).To(ConsistOf(SatisfyAll(HaveField("Ended", HaveLen(1)), HaveField("Sample", BeNumerically(">", 0)))))
	})

	It("are the 16 newest of the last 10 s", func() {
		start("old")
		clock.Advance(11 * time.Second)
		for i := range 20 {
			start(fmt.Sprint("e", i))
		}
		list := b.Observations("first")
		Expect(list).To(HaveLen(balance.MaxObservations))
		Expect(list[0].Endpoint).To(Equal("e19"))
		Expect(list[15].Endpoint).To(Equal("e4"))
	})

	It("do not report a load that is older than 10 s when a stream ends, since the planner would ignore the end", func() {
		c := start("a")
		clock.Advance(11 * time.Second)
		c.End(balance.Succeeded, nil)
		Expect(b.Observations("first")).To(ConsistOf(SatisfyAll(HaveField("AgeMs", int64(0)), HaveField("Slots", 0), HaveField("Ended", HaveLen(1)))))
	})

	It("omit calls of services without an engine", func() {
		c := b.Pick([]fleet.Endpoint{{ID: "plain"}}, balance.CallSpec{Request: "r"})
		c.EventsReceived(1)
		c.End(balance.Succeeded, nil)
		Expect(b.Observations("first")).To(BeEmpty())
	})

	It("take about a hundred bytes each", func() {
		c := start("engine-0123@1754000000")
		c.End(balance.Succeeded, nil)
		text, err := json.Marshal(b.Observations("first"))
		Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(GinkgoWriter, "%d bytes: %s\n", len(text), text)
		Expect(len(text)).To(BeNumerically("<", 140))
	})

	It("are answered by views, which estimates use and malformed ones of which are ignored", func() {
		all := []fleet.Endpoint{{ID: "a", Service: "model"}}
		spec := balance.CallSpec{Engine: true, Parts: []balance.Part{{ID: "x", Tokens: 10_000}}}
		before, _ := b.Estimate(all, spec)
		b.LearnEngines([]balance.EngineView{{Endpoint: "a", Slowness: -1}, {Endpoint: "a", Slowness: 1, Streams: -1}, {Slowness: 1}})
		Expect(b.Estimate(all, spec)).To(Equal(before))
		b.LearnEngines([]balance.EngineView{{Endpoint: "a", Slowness: 2}})
		Expect(b.Estimate(all, spec)).To(Equal(2 * before))
		clock.Advance(11 * time.Second)
		Expect(b.Estimate(all, spec)).To(Equal(before))
	})
})
