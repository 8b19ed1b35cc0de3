package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("limits that endpoints name for all instances together", func() {
	const (
		// limit is the rate limit of the endpoints in requests per second.
		limit = 1
		// window is the time over which requests are counted, most the number allowed in it.
		window = 4 * time.Second
		most   = 1.5*limit*4 + 5
		// propagationBound is how long a limit may take to be enforced after the first response
		// that states it.
		propagationBound = 2 * time.Second
	)
	kinds := []string{"once", "repeat", "stream", "fixed", "staged", "staged"}
	var (
		d         *platformtest.Deployment
		instances []*instance
	)

	BeforeEach(func() {
		d = deploy(2)
		first := start(d.Address())
		instances = []*instance{first, start(d.Address(), first.Peers), start(d.Address(), first.Peers)}
	})

	// ask sends requests to all instances until the given time and returns the statuses.
	ask := func(until time.Time, kinds ...string) (statuses []int) {
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, i := range instances {
			group.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(until) {
					got := traffic(i, kinds...)
					mu.Lock()
					statuses = append(statuses, got...)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		return statuses
	}

	// limitAll sets the limit on engines and returns when it must be enforced.
	limitAll := func(engines []*platformtest.Engine) time.Time {
		for _, e := range engines {
			e.SetLimit(limit)
		}
		return time.Now().Add(propagationBound)
	}

	It("are heeded by calls of all kinds, and the others serve what comes", func() {
		var limited []*platformtest.Engine
		for _, service := range []string{"simple", "model", "first", "second", "third"} {
			limited = append(limited, d.EnginesOf(service)[0])
		}
		from := limitAll(limited)
		Expect(ask(from.Add(window+time.Second), kinds...)).To(HaveEach(http.StatusOK))
		for _, e := range limited {
			Expect(e.LimitResponses()).NotTo(BeZero(), e.Service)
			Expect(e.PeakCalls(window, from)).To(BeNumerically("<=", most), e.Service)
		}
	})

	It("are heeded where all of a service name one: so many are served, the others refused at once", func() {
		from := limitAll(d.EnginesOf("simple"))
		ask(from, "once")
		By("waiting until instances that have just started know each other, and grant")
		Eventually(func() []int { return ask(time.Now().Add(100*time.Millisecond), "once") }).Should(ContainElement(http.StatusOK))
		statuses := ask(time.Now().Add(window+time.Second), "once")
		for _, e := range d.EnginesOf("simple") {
			Expect(e.PeakCalls(window, from)).To(BeNumerically("<=", most))
		}
		served := len(slices.DeleteFunc(slices.Clone(statuses), func(status int) bool { return status != http.StatusOK }))
		Expect(served).To(BeNumerically(">=", 2*limit*int(window.Seconds())/2), "half of what the limits allow")
		Expect(slices.Compact(slices.Sorted(slices.Values(statuses)))).To(Equal([]int{http.StatusOK, http.StatusServiceUnavailable}))
		began := time.Now()
		Eventually(func() int {
			began = time.Now()
			_, refused := instances[0].ask("once")
			if refused.Status == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
				Expect(err).NotTo(HaveOccurred())
				Expect(seconds).To(And(BeNumerically(">", 0), BeNumerically("<", 10)))
			}
			return refused.Status
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("are heeded by an instance that no answer has told", func() {
		limited := d.EnginesOf("simple")[0]
		limited.SetLimit(limit)
		Eventually(func() int { instances[0].ask("once"); return limited.LimitResponses() }).ShouldNot(BeZero())
		Eventually(func() string { return instances[1].get("/metrics") }).Should(ContainSubstring("cobaltcroft_endpoints_limited 1"))
		before := limited.RequestCount()
		for range 50 {
			_, got := instances[1].ask("once")
			Expect(got.Status).To(Equal(http.StatusOK))
		}
		Expect(limited.RequestCount()-before).To(BeNumerically("<=", 2), "of 25")
		Expect(instances[1].get("/notices")).To(ContainSubstring(`"limit":1`))
	})

	It("are over for all when an answer names none", func() {
		limited := d.EnginesOf("simple")[0]
		from := limitAll([]*platformtest.Engine{limited})
		ask(from.Add(time.Second), "once")
		Expect(limited.LimitResponses()).NotTo(BeZero())
		limited.SetLimit(-1)
		before := limited.RequestCount()
		Eventually(func() int {
			ask(time.Now().Add(100*time.Millisecond), "once")
			return limited.RequestCount() - before
		}).Should(BeNumerically(">", 50))
	})
})
