package gateway_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// Guards against ignoring notices in responses: calls to endpoints that have announced to leave
// while the store is down, and calls to endpoints that have asked for a backoff with Retry-After.
var _ = Describe("what endpoints say in their answers", func() {
	const (
		// leaveBound is how long a leaving endpoint may still receive work.
		leaveBound = 2 * time.Second
		// rest is the requested backoff.
		rest = 2 * time.Second
	)
	// kinds are the routes of the traffic, enough to reach both endpoints of each service.
	kinds := []string{"once", "once", "repeat", "repeat", "stream", "fixed", "staged", "staged", "staged"}
	services := []string{"simple", "model", "first", "second", "third"}
	var d *platformtest.Deployment

	BeforeEach(func() { d = deploy(2) })

	// firstEndpoints returns the first endpoint of each service.
	firstEndpoints := func() []*platformtest.Engine {
		var list []*platformtest.Engine
		for _, service := range services {
			list = append(list, d.EnginesOf(service)[0])
		}
		return list
	}

	arrived := func(engines []*platformtest.Engine) int {
		n := 0
		for _, e := range engines {
			n += e.RequestCount()
		}
		return n
	}

	// reached sends traffic until each endpoint has received work.
	reached := func(i *instance, engines []*platformtest.Engine) {
		GinkgoHelper()
		for _, e := range engines {
			before := e.RequestCount()
			Eventually(func() int { traffic(i, kinds...); return e.RequestCount() }).Should(BeNumerically(">", before))
		}
	}

	// leave makes an endpoint leave and sends traffic until a response has announced it. A response
	// to a free of results counts.
	leave := func(i *instance, e *platformtest.Engine) {
		GinkgoHelper()
		e.SetLeaving()
		Eventually(func() int { traffic(i, kinds...); return e.LeavingResponses() }).ShouldNot(BeZero())
	}

	It("that they leave is heeded while the store is silent, and holds whatever it says later", func() {
		i := start(d.Address())
		reached(i, d.Engines)
		d.Store.SetFault(platformtest.StoreHang)
		for _, e := range firstEndpoints() {
			leave(i, e)
		}
		Eventually(func() int {
			before := arrived(firstEndpoints())
			traffic(i, kinds...)
			return arrived(firstEndpoints()) - before
		}).WithTimeout(leaveBound).Should(BeZero())
		before := arrived(firstEndpoints())
		for range 10 {
			Expect(traffic(i, kinds...)).To(HaveEach(http.StatusOK))
		}
		By("entries that still call them ready")
		d.Store.SetFault(platformtest.StoreHealthy)
		for _, e := range firstEndpoints() {
			entry := e.Entry("ready")
			entry["Seq"], entry["Slots"] = 2, 9
			d.Store.Put("servers/"+e.ID, entry)
		}
		until := time.Now().Add(leaveBound)
		for time.Now().Before(until) {
			Expect(traffic(i, kinds...)).To(HaveEach(http.StatusOK))
		}
		Expect(arrived(firstEndpoints())).To(Equal(before))
	})

	It("that they leave is heeded by instances to which they did not say it, while the store is silent", func() {
		first := start(d.Address())
		other := start(d.Address(), first.Peers)
		d.Store.SetFault(platformtest.StoreHang)
		leaving := d.EnginesOf("simple")[0]
		leaving.SetLeaving()
		Eventually(func() int { first.ask("once"); return leaving.RequestCount() }).ShouldNot(BeZero())
		Eventually(func() int {
			before := leaving.RequestCount()
			for range 8 {
				Expect(send(other.request(http.MethodPost, "once", newID(), "")).Status).To(Equal(http.StatusOK))
			}
			return leaving.RequestCount() - before
		}).WithTimeout(2 * leaveBound).Should(BeZero())
		before := leaving.RequestCount()
		for range 50 {
			other.ask("once")
		}
		Expect(leaving.RequestCount()).To(Equal(before))
	})

	It("that they leave does not hold for an endpoint that starts again under the same id", func() {
		i := start(d.Address())
		leaving := d.EnginesOf("simple")[0]
		leave(i, leaving)
		leaving.Close()
		reborn, err := leaving.Restart()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reborn.Close)
		d.Store.Put("servers/"+reborn.ID, reborn.Entry("ready"))
		Eventually(func() int { traffic(i, kinds...); return len(reborn.Runs()) }).ShouldNot(BeZero())
	})

	It("that all of a service want a short rest has requests wait for it, and served", func() {
		const short = 200 * time.Millisecond
		i := start(d.Address())
		for range 3 {
			for _, e := range d.EnginesOf("simple") {
				before := e.RetryAfterResponses()
				e.SetRetryAfter(short)
				Eventually(func() int { i.ask("once"); return e.RetryAfterResponses() - before }).ShouldNot(BeZero())
				e.SetRetryAfter(0)
			}
			_, got := i.ask("once")
			Expect(got.Status).To(Equal(http.StatusOK))
		}
		for _, e := range d.EnginesOf("simple") {
			Expect(e.BackoffViolations()).To(BeZero())
		}
	})

	It("is listed for operators, and counted where it can't be read", func() {
		i := start(d.Address())
		leaving, resting := d.EnginesOf("simple")[0], d.EnginesOf("model")[0]
		leave(i, leaving)
		resting.SetRetryAfter(time.Minute)
		Eventually(func() int { traffic(i, kinds...); return resting.RetryAfterResponses() }).ShouldNot(BeZero())
		var list []struct {
			Endpoint string
			Leaving  bool
			RestMs   int64 `json:"rest_ms"`
		}
		Expect(json.Unmarshal([]byte(i.get("/notices")), &list)).To(Succeed())
		Expect(list).To(HaveLen(2))
		Expect(list[0].Endpoint).To(HavePrefix(leaving.ID))
		Expect(list[0].Leaving).To(BeTrue())
		Expect(list[1].Endpoint).To(HavePrefix(resting.ID))
		Expect(list[1].RestMs).To(BeNumerically("~", 55_000, 5_000))
		Expect(i.get("/metrics")).To(SatisfyAll(ContainSubstring("cobaltcroft_endpoints_departing 1"), ContainSubstring("cobaltcroft_endpoints_resting 1"), ContainSubstring("cobaltcroft_notices_unread_total 0")))
		d.EnginesOf("simple")[1].SetMalformedRetryAfter("a while")
		Eventually(func() string { i.ask("once"); return i.get("/metrics") }).Should(MatchRegexp("cobaltcroft_notices_unread_total [1-9]"))
	})

	It("that all the readers of a request want rest has it refused before its stages are made", func() {
		i := start(d.Address())
		for _, e := range d.EnginesOf("model") {
			e.SetRetryAfter(rest)
		}
		for _, e := range d.EnginesOf("model") {
			Eventually(func() int { i.ask("stream"); return e.RetryAfterResponses() }).ShouldNot(BeZero())
		}
		for _, e := range d.EnginesOf("model") {
			e.SetRetryAfter(0)
		}
		before := arrived(d.EnginesOf("first"))
		Expect(send(i.staged(newID())).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(arrived(d.EnginesOf("first"))).To(Equal(before))
	})

	It("that all the makers of a stage want rest has requests refused at once", func() {
		i := start(d.Address())
		for _, e := range d.EnginesOf("second") {
			e.SetRetryAfter(rest)
		}
		for _, e := range d.EnginesOf("second") {
			Eventually(func() int { traffic(i, kinds...); return e.RetryAfterResponses() }).ShouldNot(BeZero())
		}
		began := time.Now()
		refused := send(i.staged(newID()))
		Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", rest/4))
		for _, e := range d.EnginesOf("second") {
			Expect(e.BackoffViolations()).To(BeZero())
		}
	})

	It("that they want rest is heeded, by calls of all kinds, for as long as they ask", func() {
		i := start(d.Address())
		for _, e := range firstEndpoints() {
			e.SetRetryAfter(rest)
		}
		for _, e := range firstEndpoints() {
			Eventually(func() int { traffic(i, kinds...); return e.RetryAfterResponses() }).ShouldNot(BeZero())
		}
		until := time.Now().Add(rest)
		for time.Now().Before(until) {
			Expect(traffic(i, kinds...)).To(HaveEach(http.StatusOK))
		}
		for _, e := range firstEndpoints() {
			Expect(e.BackoffViolations()).To(BeZero(), "calls to an endpoint of %s that wants rest", e.Service)
			e.SetRetryAfter(0)
		}
		reached(i, firstEndpoints())
	})

	It("that all of a service want rest has requests refused at once, until the first has had it", func() {
		i := start(d.Address())
		for _, e := range d.EnginesOf("simple") {
			e.SetRetryAfter(rest)
		}
		for _, e := range d.EnginesOf("simple") {
			Eventually(func() int { i.ask("once"); return e.RetryAfterResponses() }).ShouldNot(BeZero())
		}
		until := time.Now().Add(rest - time.Second)
		for time.Now().Before(until) {
			began := time.Now()
			_, refused := i.ask("once")
			Expect(time.Since(began)).To(BeNumerically("<", rest/4), "all endpoints are known to be backing off")
			Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(And(BeNumerically(">", 0), BeNumerically("<=", rest.Seconds())))
		}
		for _, e := range d.EnginesOf("simple") {
			Expect(e.BackoffViolations()).To(BeZero())
			e.SetRetryAfter(0)
		}
		Eventually(func() int {
			_, got := i.ask("once")
			return got.Status
		}).WithTimeout(rest + time.Second).Should(Equal(http.StatusOK))
	})
})
