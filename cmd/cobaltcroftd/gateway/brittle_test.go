package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("endpoints that fall over when they have to reject requests", func() {
	const (
		engines, slots = 6, 4
		processing     = 200 * time.Millisecond
		// capacity is the number of requests per second that the engines can run.
		capacity = engines * slots * int(time.Second/processing)
		// bears is the number of rejections per second that an engine bears.
		bears = 6
		// grace is how long after the first response that says so an engine may fall over.
		grace = 3 * time.Second
		// mostFalls is 2 and a tenth of the number of engines.
		mostFalls = 2 + engines/10
	)
	var (
		brittle   []*platformtest.Engine
		instances []*instance
	)

	BeforeEach(func() {
		d := deploy(1)
		d.Store.Remove("servers/" + d.EnginesOf("simple")[0].ID)
		brittle = nil
		for range engines {
			e, err := d.AddEngine(platformtest.Settings{Kind: platformtest.Simple, Service: "simple", ProcessingTime: processing, Slots: slots})
			Expect(err).NotTo(HaveOccurred())
			e.LimitRoom(2)
			brittle = append(brittle, e)
		}
		first := start(d.Address())
		instances = []*instance{first, start(d.Address(), first.Peers), start(d.Address(), first.Peers)}
	})

	// offer sends requests at a rate per second for a time and returns how many were served. Callers come
	// back once after what Retry-After says.
	offer := func(perSecond int, span time.Duration) int {
		var served atomic.Int64
		var group sync.WaitGroup
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		until := time.Now().Add(span)
		for n := 0; time.Now().Before(until); n++ {
			<-ticker.C
			group.Go(func() {
				defer GinkgoRecover()
				_, got := instances[n%len(instances)].ask("repeat")
				if seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64); err == nil {
					time.Sleep(time.Duration(seconds * float64(time.Second)))
					_, got = instances[n%len(instances)].ask("repeat")
				}
				if got.Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		group.Wait()
		return int(served.Load())
	}

	falls := func(after time.Time) int {
		n := 0
		for _, e := range brittle {
			n += e.Falls(after)
		}
		return n
	}

	It("seldom fall over under more load than they bear, and are used", func() {
		for _, e := range brittle {
			e.SetBrittle(bears)
		}
		began := time.Now()
		offer(capacity*13/10, grace)
		span := 4 * time.Second
		served := offer(capacity*13/10, span)
		Expect(falls(began)).To(BeNumerically("<=", mostFalls))
		Expect(served).To(BeNumerically(">=", capacity*int(span.Seconds())*7/10), "of %d that they can run", capacity*int(span.Seconds()))
	})

	It("are not limited any more when they say nothing of it", func() {
		for _, e := range brittle {
			e.SetBrittle(bears)
		}
		offer(capacity, 500*time.Millisecond)
		Expect(instances[0].get("/metrics")).To(MatchRegexp("cobaltcroft_endpoints_brittle [1-9]"))
		for _, e := range brittle {
			e.SetBrittle(-1)
		}
		Eventually(func() string {
			offer(capacity, 100*time.Millisecond)
			return instances[0].get("/metrics")
		}).Should(ContainSubstring("cobaltcroft_endpoints_brittle 0\n"))
	})
})
