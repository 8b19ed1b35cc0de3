package gateway_test

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("the lifecycle of an instance", func() {
	var d *platformtest.Deployment

	BeforeEach(func() { d = deploy(2) })

	status := func(i *instance, route string) func() int {
		return func() int {
			_, got := i.ask(route)
			return got.Status
		}
	}

	It("is not ready and answers 503 until it has a configuration", func() {
		d.Store.SetFault(platformtest.StoreUnavailable)
		i := launch(d.Address())
		_, got := i.ask("once")
		Expect(got).To(SatisfyAll(HaveField("Status", http.StatusServiceUnavailable), HaveField("Body", ContainSubstring("no_configuration"))))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(i.ready()).To(BeFalse())
		d.Store.SetFault(platformtest.StoreHealthy)
		Eventually(i.ready).Should(BeTrue())
		Eventually(status(i, "once")).Should(Equal(http.StatusOK))
	})

	It("applies new versions of the configuration, and removes what they omit", func() {
		i := start(d.Address())
		d.Config.Routes[0].PathPrefix = "/moved/"
		d.PutConfig()
		Eventually(status(i, "moved")).WithTimeout(2 * time.Second).Should(Equal(http.StatusOK))
		Expect(status(i, "once")()).To(Equal(http.StatusNotFound))
		d.Config.Tenants = []map[string]any{{"Name": "other", "ApiKeys": []string{"another key"}}}
		d.PutConfig()
		Eventually(status(i, "moved")).WithTimeout(2 * time.Second).Should(Equal(http.StatusUnauthorized))
	})

	DescribeTable("keeps the last good configuration",
		func(document string) {
			i := start(d.Address())
			d.Store.PutRaw("op/config", []byte(document))
			Consistently(status(i, "once")).WithTimeout(500 * time.Millisecond).Should(Equal(http.StatusOK))
			Expect(i.ready()).To(BeTrue())
		},
		Entry("after one that does not parse", `{"Version": `),
		Entry("after one whose routes name no service", `{"Version": 99, "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/x/"}]}`),
		Entry("after an older version", `{"Version": 1, "Routes": [], "Services": []}`),
	)

	DescribeTable("keeps serving while the store fails, and applies changes afterwards",
		func(fault platformtest.StoreFault) {
			i := start(d.Address())
			d.Store.SetFault(fault)
			Consistently(status(i, "once")).WithTimeout(300 * time.Millisecond).Should(Equal(http.StatusOK))
			d.Config.Routes[0].PathPrefix = "/moved/"
			d.PutConfig()
			d.Store.SetFault(platformtest.StoreHealthy)
			Eventually(status(i, "moved")).WithTimeout(4 * time.Second).Should(Equal(http.StatusOK))
		},
		Entry("with 503", platformtest.StoreUnavailable),
		Entry("with 429", platformtest.StoreRateLimited),
		Entry("without a reply", platformtest.StoreHang),
		Entry("with resets", platformtest.StoreReset),
	)

	It("rereads everything when the store has compacted its history", func() {
		i := start(d.Address())
		leaving := d.EnginesOf("simple")[0]
		d.Store.SetFault(platformtest.StoreReset)
		d.Store.Put("servers/"+leaving.ID, leaving.Entry("draining"))
		d.Store.CompactHistory()
		d.Store.SetFault(platformtest.StoreHealthy)
		// An instance starts watching one second after its start.
		time.Sleep(2 * time.Second)
		arrived := leaving.RequestCount()
		for range 6 {
			Expect(status(i, "once")()).To(Equal(http.StatusOK))
		}
		Expect(leaving.RequestCount()).To(Equal(arrived))
	})

	It("reads a list of many pages", func() {
		d.Store.SetPageSize(2)
		i := start(d.Address())
		Eventually(status(i, "once")).Should(Equal(http.StatusOK))
		Eventually(status(i, "stream")).Should(Equal(http.StatusOK))
	})

	It("sends a draining engine nothing new, and lets it finish", func() {
		i := start(d.Address())
		leaving := d.EnginesOf("simple")[0]
		d.Store.Put("servers/"+leaving.ID, leaving.Entry("draining"))
		Eventually(func() int {
			before := leaving.RequestCount()
			for range 4 {
				Expect(status(i, "once")()).To(Equal(http.StatusOK))
			}
			return leaving.RequestCount() - before
		}).WithTimeout(2 * time.Second).Should(BeZero())
	})

	It("learns the configuration from a peer when it can't reach the store", func() {
		a := start(d.Address())
		b := launch(unresponsiveAddress(), a.Peers)
		Eventually(b.ready).Should(BeTrue())
		Eventually(status(b, "once")).Should(Equal(http.StatusOK))
		d.Config.Routes[0].PathPrefix = "/moved/"
		d.PutConfig()
		Eventually(status(b, "moved")).WithTimeout(4 * time.Second).Should(Equal(http.StatusOK))
	})

	It("does not deny on knowledge that may be old", func() {
		i := start(d.Address())
		d.Store.SetFault(platformtest.StoreReset)
		Eventually(status(i, "unknown")).Should(Equal(http.StatusServiceUnavailable))
		Expect(status(i, "once")()).To(Equal(http.StatusOK))
	})

	It("stops as planned: unready at once, and nothing in flight is cut", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 150*time.Millisecond)
		}
		i := start(d.Address())
		id := newID()
		done := make(chan answer, 1)
		go func() { done <- send(i.request(http.MethodPost, "stream", id, "")) }()
		Eventually(func() int { return d.EnginesOf("model")[0].ActiveRequests() + d.EnginesOf("model")[1].ActiveRequests() }).Should(Equal(1))
		i.signals <- syscall.SIGTERM
		Eventually(i.ready).WithTimeout(time.Second).Should(BeFalse())
		// The load balancer may still send new connections.
		_, got := i.ask("once")
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(<-done).To(SatisfyAll(HaveField("Body", events(id, 8)), HaveField("Whole", true)))
		Eventually(i.ended).Should(BeClosed())
	})

	It("refuses, not run, what comes late in a planned stop", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 500*time.Millisecond)
		}
		i := start(d.Address())
		go send(i.request(http.MethodPost, "stream", newID(), ""))
		Eventually(func() int { return d.EnginesOf("model")[0].ActiveRequests() + d.EnginesOf("model")[1].ActiveRequests() }).Should(Equal(1))
		i.signals <- syscall.SIGTERM
		var id string
		Eventually(func() int {
			var got answer
			id, got = i.ask("once")
			return got.Status
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(d.Runs("simple", id)).To(BeEmpty())
	})

	It("refuses, not run, what it has read to its end only late in a planned stop", func() {
		i := start(d.Address())
		id := newID()
		c, reader := i.raw("POST /once/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nAuthorization: Bearer " + platformtest.APIKey + "\r\nCobaltcroft-Request-Id: " + id + "\r\nContent-Length: 8\r\n\r\nthe")
		i.signals <- syscall.SIGTERM
		Eventually(status(i, "once")).Should(Equal(http.StatusServiceUnavailable))
		_, err := io.WriteString(c, " rest")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(io.ReadAll(response.Body)).To(ContainSubstring("stopping"))
		Expect(d.Runs("simple", id)).To(BeEmpty())
	})

	DescribeTable("answers, before a planned stop ends, what its endpoint is still working on", func(route string) {
		for _, e := range d.EnginesOf("simple") {
			e.SetTiming(time.Minute, 0)
		}
		i := start(d.Address())
		done := make(chan answer, 1)
		id := newID()
		go func() { done <- send(i.request(http.MethodPost, route, id, "")) }()
		Eventually(func() []platformtest.Run { return d.Runs("simple", id) }).Should(HaveLen(1))
		i.signals <- syscall.SIGTERM
		Eventually(done).Should(Receive(SatisfyAll(HaveField("Status", http.StatusBadGateway), HaveField("Body", ContainSubstring("may have run")), HaveField("Whole", true))))
		Eventually(i.ended).Should(BeClosed())
		Expect(d.Runs("simple", id)).To(HaveLen(1))
	},
		Entry("if it must not be repeated", "once"),
		Entry("if it may be repeated", "repeat"),
	)

	It("reloads changed settings with and without a signal, and rejects invalid ones", func() {
		i := start(d.Address())
		i.signals <- syscall.SIGHUP
		Expect(os.WriteFile(i.path, []byte("{"), 0o600)).To(Succeed())
		i.signals <- syscall.SIGHUP
		Consistently(status(i, "once")).WithTimeout(200 * time.Millisecond).Should(Equal(http.StatusOK))
	})

	It("serves counters and latency histograms", func() {
		i := start(d.Address())
		Expect(status(i, "once")()).To(Equal(http.StatusOK))
		Expect(status(i, "stream")()).To(Equal(http.StatusOK))
		response, err := http.Get("http://" + i.Metrics + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(SatisfyAll(
			ContainSubstring(`cobaltcroft_requests_total{outcome="answered"} 2`),
			ContainSubstring("cobaltcroft_request_seconds_count 2"),
			ContainSubstring("cobaltcroft_first_event_seconds_count 1"),
			ContainSubstring("cobaltcroft_log_lines_dropped_total 0"),
		))
	})

	It("tolerates idle connections", func() {
		i := start(d.Address())
		for range 200 {
			i.raw("")
		}
		Expect(status(i, "once")()).To(Equal(http.StatusOK))
	})

	It("answers malformed requests with 400", func() {
		i := start(d.Address())
		_, reader := i.raw("\x16\x03\x01 nonsense\r\n\r\n")
		line, err := reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("400"))
	})

	It("rejects headers that are too long", func() {
		i := start(d.Address())
		_, reader := i.raw("GET /once/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nX-Long: " + strings.Repeat("x", 100<<10) + "\r\n\r\n")
		line, err := reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("431"))
	})
})
