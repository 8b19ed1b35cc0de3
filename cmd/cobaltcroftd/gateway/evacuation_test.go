package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

const (
	// localDomain and remoteDomain are the failure domains of the engines; the instance is in
	// localDomain.
	localDomain  = "zone-a"
	remoteDomain = "zone-b"
	// evacuationBound is how long an evacuated failure domain may still receive work.
	evacuationBound = 5 * time.Second
)

var _ = Describe("an evacuation of a failure domain", func() {
	kinds := []string{"once", "repeat", "stream", "fixed", "staged", "staged"}
	var d *platformtest.Deployment

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

	evacuate := func(zone string) { d.Store.Put("op/evacuate/"+zone, struct{}{}) }
	restore := func(zone string) { d.Store.Remove("op/evacuate/" + zone) }

	// arrived returns the number of requests and calls received by the engines of a failure domain.
	arrived := func(zone string) int {
		n := 0
		for _, e := range d.Engines {
			if e.Settings().Zone == zone {
				n += e.RequestCount()
			}
		}
		return n
	}

	// arrivals returns a function that sends traffic and counts the requests that reach a failure
	// domain.
	arrivals := func(i *instance, zone string) func() int {
		return func() int {
			before := arrived(zone)
			traffic(i, kinds...)
			return arrived(zone) - before
		}
	}

	It("stops all traffic there within its bound, and serves everything elsewhere until it is withdrawn", func() {
		i := start(d.Address())
		Eventually(arrivals(i, localDomain)).ShouldNot(BeZero())
		evacuate(localDomain)
		Eventually(arrivals(i, localDomain)).WithTimeout(evacuationBound).Should(BeZero())
		before := arrived(localDomain)
		for range 10 {
			Expect(traffic(i, kinds...)).To(HaveEach(http.StatusOK))
		}
		Expect(arrived(localDomain)).To(Equal(before))
		Expect(i.ready()).To(BeTrue())
		restore(localDomain)
		Eventually(arrivals(i, localDomain)).ShouldNot(BeZero())
	})

	It("lets requests in flight finish", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 300*time.Millisecond)
		}
		i := start(d.Address())
		id := newID()
		done := make(chan answer, 1)
		go func() { done <- send(i.request(http.MethodPost, "stream", id, "")) }()
		working := func() int {
			n := 0
			for _, e := range d.EnginesOf("model") {
				n += e.ActiveRequests()
			}
			return n
		}
		Eventually(working).Should(Equal(1))
		evacuate(localDomain)
		evacuate(remoteDomain)
		Expect(<-done).To(SatisfyAll(HaveField("Body", events(id, 8)), HaveField("Whole", true)))
		Expect(d.Runs("model", id)).To(HaveLen(1))
	})

	It("of all failure domains refuses all at once, as not run, and stays ready", func() {
		i := start(d.Address())
		evacuate(localDomain)
		evacuate(remoteDomain)
		for _, route := range []string{"once", "repeat", "stream"} {
			Eventually(func() answer { _, got := i.ask(route); return got }).Should(SatisfyAll(
				HaveField("Status", http.StatusServiceUnavailable),
				HaveField("Body", ContainSubstring("no_endpoint")),
			))
		}
		begin := time.Now()
		Expect(traffic(i, kinds...)).To(HaveEach(http.StatusServiceUnavailable))
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second), "the deadline is 5 s")
		Expect(i.ready()).To(BeTrue())
		restore(remoteDomain)
		Eventually(func() []int { return traffic(i, kinds...) }).Should(HaveEach(http.StatusOK))
	})

	It("of all engines has no stage made for them, though the stages' own endpoints are not evacuated", func() {
		for _, s := range platformtest.ServiceSettings() {
			if s.Kind == platformtest.Stage {
				s.Zone = "zone-c"
				_, err := d.AddEngine(s)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		i := start(d.Address())
		evacuate(localDomain)
		evacuate(remoteDomain)
		Eventually(func() int { _, got := i.ask("stream"); return got.Status }).Should(Equal(http.StatusServiceUnavailable))
		before := arrived("zone-c")
		Expect(traffic(i, kinds...)).To(HaveEach(http.StatusServiceUnavailable))
		Expect(arrived("zone-c")).To(Equal(before))
	})

	It("is known to an instance that starts while it is in force, from the store or from a peer", func() {
		evacuate(localDomain)
		a := start(d.Address())
		b := launch(unresponsiveAddress(), a.Peers)
		Eventually(b.ready).Should(BeTrue())
		for _, i := range []*instance{a, b} {
			Eventually(func() []int { return traffic(i, kinds...) }).Should(HaveEach(http.StatusOK))
		}
		Expect(arrived(localDomain)).To(BeZero())
	})

	It("holds through an outage and a lost history of the store, and concurrent orders", func() {
		i := start(d.Address())
		evacuate(localDomain)
		Eventually(arrivals(i, localDomain)).WithTimeout(evacuationBound).Should(BeZero())
		d.Store.SetFault(platformtest.StoreHang)
		Consistently(arrivals(i, localDomain)).WithTimeout(2500 * time.Millisecond).Should(BeZero())
		restore(localDomain)
		evacuate(remoteDomain)
		evacuate(localDomain)
		restore(remoteDomain)
		d.Store.CompactHistory()
		d.Store.SetFault(platformtest.StoreHealthy)
		Consistently(arrivals(i, localDomain)).WithTimeout(2500 * time.Millisecond).Should(BeZero())
		Expect(arrivals(i, remoteDomain)()).NotTo(BeZero())
	})
})
