package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against shares of an instance that are too small for it once most connections come to it.
var _ = Describe("an instance to which nearly all new connections come", func() {
	const (
		clients = 8
		// instanceCount is the number of instances; most connections come to one of them.
		instanceCount = 5
		// period is how long requests come, first to all alike and then mostly to one.
		period = 2 * time.Second
		// oneInTen requests comes to another instance.
		oneInTen = 10
	)
	kinds := []string{"once", "repeat", "stream", "fixed", "staged"}

	It("serves what it served before, and as another takes its place", func() {
		d := deploy(6)
		all := startGroup(d.Address(), instanceCount)
		// run sends requests over new connections to the instances that choose returns, and returns the statuses.
		run := func(choose func(n int) *instance) []int {
			var statuses []int
			var mu sync.Mutex
			var group sync.WaitGroup
			until := time.Now().Add(period)
			for c := range clients {
				group.Go(func() {
					defer GinkgoRecover()
					for n := c; time.Now().Before(until); n += clients {
						got := traffic(choose(n), kinds...)
						mu.Lock()
						statuses = append(statuses, got...)
						mu.Unlock()
					}
				})
			}
			group.Wait()
			return statuses
		}
		mostlyTo := func(one int) func(n int) *instance {
			return func(n int) *instance {
				if n%oneInTen == 0 {
					return all[(one+1+n)%instanceCount]
				}
				return all[one]
			}
		}
		before := run(func(n int) *instance { return all[n%instanceCount] })
		Expect(before).To(HaveEach(http.StatusOK))
		for _, one := range []int{0, instanceCount - 1} {
			statuses := run(mostlyTo(one))
			Expect(statuses).To(HaveEach(http.StatusOK))
			Expect(len(statuses)).To(BeNumerically(">", len(before)/2))
		}
	})
})
