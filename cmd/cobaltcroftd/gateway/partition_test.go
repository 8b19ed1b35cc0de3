package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("an instance that is partitioned from all endpoints", func() {
	const (
		// detectionBound is how long after the start of a partition callers may still notice it.
		detectionBound = 3 * time.Second
		trafficTime    = 2 * time.Second
	)
	kinds := []string{"once", "repeat", "stream", "fixed", "staged"}
	var (
		d           *platformtest.Deployment
		partitioned *instance
		links       *platformtest.Links
	)

	BeforeEach(func() {
		d = deploy(3)
		links = d.NewLinks()
		DeferCleanup(links.Close)
		partitioned = start(links.Address())
		start(d.Address(), partitioned.Peers)
		start(d.Address(), partitioned.Peers)
		Eventually(func() []int { return traffic(partitioned, kinds...) }).Should(HaveEach(http.StatusOK))
	})

	// statuses counts the statuses of requests of all kinds that two callers send to an instance.
	statuses := func(i *instance, until time.Time) map[int]int {
		counts := map[int]int{}
		var mu sync.Mutex
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(until) {
					got := traffic(i, kinds...)
					mu.Lock()
					for _, status := range got {
						counts[status]++
					}
					mu.Unlock()
				}
			})
		}
		group.Wait()
		return counts
	}

	DescribeTable("serves its callers through the other instances", func(state platformtest.LinkState) {
		links.Set(state)
		statuses(partitioned, time.Now().Add(detectionBound))
		Expect(statuses(partitioned, time.Now().Add(trafficTime))).To(And(HaveLen(1), HaveKey(http.StatusOK)))
	},
		Entry("when its links are silent", platformtest.LinksSilent),
		Entry("when its links are reset and refused", platformtest.LinksReset),
		Entry("when only new connections are refused", platformtest.LinksRefuse),
	)
})
