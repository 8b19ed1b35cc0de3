package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
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
		// all are the instances and linksOf their links.
		all     []*instance
		linksOf []*platformtest.Links
	)

	BeforeEach(func() {
		d = deploy(3)
		all, linksOf = nil, nil
		var contacts []string
		for range 3 {
			l := d.NewLinks()
			DeferCleanup(l.Close)
			i := start(l.Address(), contacts...)
			linksOf, all = append(linksOf, l), append(all, i)
			contacts = []string{all[0].Peers}
		}
		partitioned, links = all[0], linksOf[0]
		for _, i := range all {
			Eventually(func() []int { return traffic(i, kinds...) }).Should(HaveEach(http.StatusOK))
		}
	})

	setAll := func(state platformtest.LinkState) {
		for _, l := range linksOf {
			l.Set(state)
		}
	}

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

	It("passes on answers that end with their connection", func() {
		for _, e := range append(d.EnginesOf("simple"), d.EnginesOf("model")...) {
			e.SetUnframed(true)
		}
		links.Set(platformtest.LinksReset)
		statuses(partitioned, time.Now().Add(detectionBound))
		Expect(statuses(partitioned, time.Now().Add(trafficTime))).To(And(HaveLen(1), HaveKey(http.StatusOK)))
		id := newID()
		Expect(send(partitioned.request(http.MethodPost, "fixed", id, ""))).To(And(HaveField("Body", events(id, 8)), HaveField("Whole", true)))
	})

	It("does not keep others from being served, whichever of the instances it is", func() {
		for n := range all {
			linksOf[n].Set(platformtest.LinksSilent)
			statuses(all[n], time.Now().Add(time.Second))
			for _, i := range all {
				Expect(statuses(i, time.Now().Add(300*time.Millisecond))).To(And(HaveLen(1), HaveKey(http.StatusOK)))
			}
			linksOf[n].Set(platformtest.LinksUp)
		}
	})

	It("goes on with a stream through another instance when its links fall silent", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 100*time.Millisecond)
		}
		id, got := newID(), make(chan answer, 1)
		go func() { got <- send(partitioned.request(http.MethodPost, "stream", id, "")) }()
		Eventually(func() []platformtest.Run { return d.Runs("model", id) }).ShouldNot(BeEmpty())
		links.Set(platformtest.LinksSilent)
		traffic(partitioned, kinds...)
		var answered answer
		Eventually(got).Should(Receive(&answered))
		Expect(answered.Body).To(Equal(events(id, 8)))
	})

	It("sends nothing through others once its links are back", func() {
		links.Set(platformtest.LinksReset)
		statuses(partitioned, time.Now().Add(time.Second))
		links.Set(platformtest.LinksUp)
		carried := func() string { return partitioned.get("/metrics") }
		used := func() string {
			_, after, _ := strings.Cut(carried(), "cobaltcroft_tunnels_used_total ")
			line, _, _ := strings.Cut(after, "\n")
			return line
		}
		Expect(used()).NotTo(Equal("0"))
		Eventually(func() bool {
			before := used()
			traffic(partitioned, kinds...)
			return used() == before
		}).Should(BeTrue())
		before := used()
		Expect(statuses(partitioned, time.Now().Add(time.Second))).To(And(HaveLen(1), HaveKey(http.StatusOK)))
		Expect(used()).To(Equal(before))
	})

	DescribeTable("refuses at once when all instances are partitioned", func(state platformtest.LinkState) {
		setAll(state)
		statuses(partitioned, time.Now().Add(detectionBound))
		for until := time.Now().Add(trafficTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			for _, kind := range kinds {
				began := time.Now()
				r := partitioned.request(http.MethodPost, kind, newID(), "")
				if kind == "staged" {
					r = partitioned.staged(newID())
				}
				got := send(r)
				Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
				Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
				Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond), kind)
			}
		}
		setAll(platformtest.LinksUp)
		Eventually(func() []int { return traffic(partitioned, kinds...) }, detectionBound).Should(HaveEach(http.StatusOK))
	},
		Entry("silently", platformtest.LinksSilent),
		Entry("with connections reset", platformtest.LinksReset),
	)

	It("counts no request as one that ends its endpoints", func() {
		for range 4 {
			links.Set(platformtest.LinksReset)
			statuses(partitioned, time.Now().Add(400*time.Millisecond))
			links.Set(platformtest.LinksUp)
			statuses(partitioned, time.Now().Add(400*time.Millisecond))
		}
		for _, i := range all {
			Expect(i.get("/metrics")).To(ContainSubstring("cobaltcroft_quarantined_requests 0\n"))
			Expect(i.get("/quarantine")).NotTo(ContainSubstring("digest"))
		}
	})

	It("loses nothing when an instance stops through which it is served", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 100*time.Millisecond)
		}
		links.Set(platformtest.LinksReset)
		statuses(partitioned, time.Now().Add(time.Second))
		counts := make(chan map[int]int, 1)
		go func() {
			defer GinkgoRecover()
			counts <- statuses(partitioned, time.Now().Add(5*time.Second))
		}()
		all[1].signals <- syscall.SIGTERM
		Eventually(all[1].ended).Should(BeClosed())
		Expect(<-counts).To(And(HaveLen(1), HaveKey(http.StatusOK)))
	})
})
