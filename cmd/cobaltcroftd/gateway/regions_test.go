package gateway_test

import (
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("requests that are limited to some regions", func() {
	kinds := []string{"once", "repeat", "stream", "fixed", "staged"}
	var d *platformtest.Deployment

	// limit restricts all routes and the organisation to the given regions.
	limit := func(routes, organisation []string) {
		for i := range d.Config.Routes {
			d.Config.Routes[i].AllowedRegions = routes
		}
		d.Config.Tenants[0]["AllowedRegions"] = organisation
		d.PutConfig()
	}
	reached := func(zone string) int {
		n := 0
		for _, e := range d.Engines {
			if e.Settings().Zone == zone {
				n += e.RequestCount() + len(e.Runs())
			}
		}
		return n
	}

	BeforeEach(func() {
		d = deploy(2)
		for _, s := range platformtest.ServiceSettings() {
			s.Zone = remoteDomain
			for range 2 {
				_, err := d.AddEngine(s)
				Expect(err).NotTo(HaveOccurred())
			}
		}
	})

	DescribeTable("go there alone, and so do their stages, whatever fails",
		func(routes, organisation []string, forbidden string) {
			limit(routes, organisation)
			first := start(d.Address())
			instances := []*instance{first, start(d.Address(), first.Peers)}
			random := rand.New(rand.NewPCG(5, 1))
			faults := []platformtest.Fault{platformtest.RejectNotRun, platformtest.InternalError, platformtest.DropResponse, platformtest.TruncateResponse, platformtest.OutOfMemory, platformtest.MissingInput}
			for range 25 {
				d.Engines[random.IntN(len(d.Engines))].QueueFaults(faults[random.IntN(len(faults))])
				Expect(traffic(instances[random.IntN(2)], kinds...)).To(ContainElement(http.StatusOK))
			}
			Expect(reached(forbidden)).To(BeZero())
		},
		Entry("a route's, elsewhere", []string{"region-b"}, nil, localDomain),
		Entry("a route's, here", []string{"region-a", "region-c"}, nil, remoteDomain),
		Entry("an organisation's", nil, []string{"region-b"}, localDomain),
		Entry("an organisation's of a route's", []string{"region-a", "region-b"}, []string{"region-b", "region-c"}, localDomain),
	)

	It("are refused at once, as not run, where no allowed region can serve them", func() {
		limit([]string{"region-a"}, []string{"region-b"})
		i := start(d.Address())
		begin := time.Now()
		Expect(traffic(i, kinds...)).To(HaveEach(http.StatusServiceUnavailable))
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second), "the deadline is 5 s")
		Expect(reached(localDomain) + reached(remoteDomain)).To(BeZero())
	})
})
