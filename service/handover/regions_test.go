package handover

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/pipeline"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

// refusingCaller is a caller whose peers refuse plans of busy regions.
type refusingCaller struct {
	regions ownership.Regions
	busy    map[string]bool
	// regionsAsked has the regions of the received plans, addresses their receivers.
	regionsAsked []string
	addresses    []string
}

func (r *refusingCaller) Call(_ context.Context, address, method string, params, result any) error {
	if method != api.MethodRun {
		return nil
	}
	call := params.(api.RunRequest)
	region := r.regions.OfPart(call.Part)
	r.regionsAsked, r.addresses = append(r.regionsAsked, region), append(r.addresses, address)
	if r.busy[region] {
		result.(*api.RunResponse).Reason = pipeline.Busy
	}
	return nil
}

func (r *refusingCaller) Notify(context.Context, string, string, any) error { return nil }

var _ = Describe("plans in a cluster with regions", func() {
	regions := ownership.NewRegions(map[string]string{"zone-0": "north", "zone-1": "south", "zone-2": "west"})
	var (
		clock  *clockwork.FakeClock
		client *refusingCaller
		supply ownership.EndpointCounts
		router *Router
	)

	member := func(n int) membership.Instance {
		return membership.Instance{Name: fmt.Sprint("i", n), PeerAddress: fmt.Sprint("address-", n), FailureDomain: fmt.Sprint("zone-", n%3)}
	}
	zoneOf := func(address string) string {
		var n int
		_, err := fmt.Sscanf(address, "address-%d", &n)
		Expect(err).NotTo(HaveOccurred())
		return fmt.Sprint("zone-", n%3)
	}
	run := func(n int) pipeline.Outcome {
		plan := pipeline.Plan{Request: fmt.Sprint("request-", n), Due: clock.Now().Add(time.Second), Deadline: clock.Now().Add(time.Second)}
		return router.Run(context.Background(), plan)
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		client = &refusingCaller{regions: regions, busy: map[string]bool{}}
		supply = ownership.EndpointCounts{Total: 15, ByRegion: map[string]int{"north": 5, "south": 5, "west": 5}}
		var live []membership.Member
		for n := 1; n < 12; n++ {
			live = append(live, membership.Member{Instance: member(n), State: membership.Live})
		}
		pieces := &heldPieces{}
		router = NewRouter(Options{
			// The small machine ranks last, so that all plans go to peers.
			Self: membership.Instance{Name: "i0", PeerAddress: "address-0", FailureDomain: "zone-0", Machine: membership.Machine{Cores: 0.001}},
			Live: func() []membership.Member { return live }, Client: client,
			Planner:        pipeline.NewPlanner(pieces, clock, metrics.NewSet(), logging.Discard().For("pipeline")),
			EndpointCounts: func() ownership.EndpointCounts { return supply }, Regions: regions, Clock: clock, Log: logging.Discard().For("handover"),
		})
		for n := range live {
			live[n].Machine = membership.Machine{Cores: 1}
		}
	})

	It("run in the home region, on an owner there", func() {
		for n := range 20 {
			Expect(run(n).Reason).To(BeEmpty())
		}
		Expect(client.regionsAsked).To(HaveLen(20))
		Expect(client.regionsAsked).To(HaveEach("north"))
		for _, address := range client.addresses {
			Expect(zoneOf(address)).To(Equal("zone-0"))
		}
	})

	It("run in another region if the home region refuses them, unless that one refused a plan recently", func() {
		client.busy["north"] = true
		Expect(run(1).Reason).To(BeEmpty())
		Expect(client.regionsAsked).To(HaveLen(2))
		Expect(client.regionsAsked[0]).To(Equal("north"))
		client.busy["south"], client.busy["west"] = true, true
		Expect(run(2).Reason).To(Equal(pipeline.Busy))
		Expect(client.regionsAsked).To(HaveLen(5))
		Expect(run(3).Reason).To(Equal(pipeline.Busy))
		Expect(client.regionsAsked).To(HaveLen(6), "all other regions refused recently")
		clock.Advance(busyPeriod)
		Expect(run(4).Reason).To(Equal(pipeline.Busy))
		Expect(client.regionsAsked).To(HaveLen(9))
	})

	It("run in another region while the home region lacks endpoints for a stage", func() {
		supply.ByRegion["north"] = 0
		Expect(run(1).Reason).To(BeEmpty())
		Expect(client.regionsAsked).To(HaveLen(1))
		Expect(client.regionsAsked[0]).NotTo(Equal("north"))
	})

	It("are transferred to a capable owner in the part's region", func() {
		inNorth := ownership.Part{Number: 0, Of: 3}
		inSouth := ownership.Part{Number: 1, Of: 3}
		Expect(router.owners.transferTargets(inSouth, 1, map[string]bool{})).NotTo(BeEmpty())
		for _, o := range router.owners.transferTargets(inSouth, 1, map[string]bool{}) {
			Expect(zoneOf(o.PeerAddress)).To(Equal("zone-1"))
		}
		router.owners.self.Machine = membership.Machine{Cores: 1}
		Expect(router.owners.transferTargets(inNorth, 1, map[string]bool{})).To(BeEmpty())
		Expect(router.owners.transferTargets(inSouth, 1, map[string]bool{})).NotTo(BeEmpty())
	})

	It("use parts without regions if there is only one region", func() {
		router.divisions.regions, router.owners.regions = ownership.NewRegions(map[string]string{"zone-0": "north", "zone-1": "north"}), ownership.Regions{}
		supply = ownership.EndpointCounts{Total: 15, ByRegion: map[string]int{"north": 15}}
		Expect(router.divisions.regionsFor("request")).To(Equal([]string{""}))
		Expect(router.divisions.partOf("request", "").Of).To(Equal(2))
	})
})
