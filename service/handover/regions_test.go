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

// refusing answers plans, but refuses those of some regions.
type refusing struct {
	regions ownership.Regions
	busy    map[string]bool
	// asked are the regions of the plans that came, told the addresses that they came to.
	asked []string
	told  []string
}

func (r *refusing) Call(_ context.Context, address, method string, params, result any) error {
	if method != api.MethodRun {
		return nil
	}
	call := params.(api.RunRequest)
	region := r.regions.Of(call.Part)
	r.asked, r.told = append(r.asked, region), append(r.told, address)
	if r.busy[region] {
		result.(*api.RunResponse).Reason = pipeline.Busy
	}
	return nil
}

func (r *refusing) Notify(context.Context, string, string, any) error { return nil }

var _ = Describe("plans where there are regions", func() {
	regions := ownership.NewRegions(map[string]string{"zone-0": "north", "zone-1": "south", "zone-2": "west"})
	var (
		clock  *clockwork.FakeClock
		client *refusing
		supply ownership.Supply
		router *Router
	)

	member := func(n int) membership.Self {
		return membership.Self{Name: fmt.Sprint("i", n), PeerAddress: fmt.Sprint("address-", n), FailureDomain: fmt.Sprint("zone-", n%3)}
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
		client = &refusing{regions: regions, busy: map[string]bool{}}
		supply = ownership.Supply{All: 15, Regions: map[string]int{"north": 5, "south": 5, "west": 5}}
		var live []membership.Member
		for n := 1; n < 12; n++ {
			live = append(live, membership.Member{Self: member(n), State: membership.Live})
		}
		pieces := &heldPieces{}
		router = NewRouter(Options{
			// It ranks last everywhere, so that all plans go to others.
			Self: membership.Self{Name: "i0", PeerAddress: "address-0", FailureDomain: "zone-0", Machine: membership.Machine{Cores: 0.001}},
			Live: func() []membership.Member { return live }, Client: client,
			Planner: pipeline.NewPlanner(pieces, clock, metrics.NewSet(), logging.Discard().For("pipeline")),
			Supply:  func() ownership.Supply { return supply }, Regions: regions, Clock: clock, Log: logging.Discard().For("handover"),
		})
		for n := range live {
			live[n].Machine = membership.Machine{Cores: 1}
		}
	})

	It("are made in their instance's own region, by an owner there", func() {
		for n := range 20 {
			Expect(run(n).Reason).To(BeEmpty())
		}
		Expect(client.asked).To(HaveLen(20))
		Expect(client.asked).To(HaveEach("north"))
		for _, address := range client.told {
			Expect(zoneOf(address)).To(Equal("zone-0"))
		}
	})

	It("that their region refuses are made in another, unless that refused one just now", func() {
		client.busy["north"] = true
		Expect(run(1).Reason).To(BeEmpty())
		Expect(client.asked).To(HaveLen(2))
		Expect(client.asked[0]).To(Equal("north"))
		client.busy["south"], client.busy["west"] = true, true
		Expect(run(2).Reason).To(Equal(pipeline.Busy))
		Expect(client.asked).To(HaveLen(5))
		Expect(run(3).Reason).To(Equal(pipeline.Busy))
		Expect(client.asked).To(HaveLen(6), "all others have just refused")
		clock.Advance(busyFor)
		Expect(run(4).Reason).To(Equal(pipeline.Busy))
		Expect(client.asked).To(HaveLen(9))
	})

	It("go elsewhere while their region has no endpoints for a stage", func() {
		supply.Regions["north"] = 0
		Expect(run(1).Reason).To(BeEmpty())
		Expect(client.asked).To(HaveLen(1))
		Expect(client.asked[0]).NotTo(Equal("north"))
	})

	It("are given to an owner of the part's region, where one is able", func() {
		inNorth := ownership.Part{Number: 0, Of: 3}
		inSouth := ownership.Part{Number: 1, Of: 3}
		Expect(router.owners.relief(inSouth, 1, map[string]bool{})).NotTo(BeEmpty())
		for _, o := range router.owners.relief(inSouth, 1, map[string]bool{}) {
			Expect(zoneOf(o.PeerAddress)).To(Equal("zone-1"))
		}
		router.owners.self.Machine = membership.Machine{Cores: 1}
		Expect(router.owners.relief(inNorth, 1, map[string]bool{})).To(BeEmpty())
		Expect(router.owners.relief(inSouth, 1, map[string]bool{})).NotTo(BeEmpty())
	})

	It("are cut as before where there is one region", func() {
		router.divisions.regions, router.owners.regions = ownership.NewRegions(map[string]string{"zone-0": "north", "zone-1": "north"}), ownership.Regions{}
		supply = ownership.Supply{All: 15, Regions: map[string]int{"north": 15}}
		Expect(router.divisions.regionsFor("request")).To(Equal([]string{""}))
		Expect(router.divisions.partOf("request", "").Of).To(Equal(2))
	})
})
