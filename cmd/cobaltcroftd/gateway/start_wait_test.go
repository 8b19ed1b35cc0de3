package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("requests to an instance that has just started", func() {
	const (
		// longWait exceeds the time in which an instance starts on a loaded machine.
		longWait = 5 * time.Second
		// atOnce is far below the wait of a request that is not refused at once.
		atOnce = 300 * time.Millisecond
	)
	var d *platformtest.Deployment

	BeforeEach(func() { d = deploy(2) })

	launchWaiting := func(wait time.Duration, peers ...string) *instance {
		return launchWith(func(s *settings.Gateway) { s.StartWaitMs = int(wait.Milliseconds()) }, d.Address(), peers...)
	}
	// post sends a request with a body in the background.
	post := func(i *instance, body string) <-chan answer {
		done := make(chan answer, 1)
		go func() { done <- send(i.request(http.MethodPost, "once", newID(), body)) }()
		return done
	}
	held := func(i *instance) func() string {
		return func() string { return metric(i, "cobaltcroft_held_bytes") }
	}
	refused := func(reason, retryAfter string) OmegaMatcher {
		return SatisfyAll(
			HaveField("Status", http.StatusServiceUnavailable),
			HaveField("Body", HavePrefix(reason+":")),
			HaveField("Header", HaveKeyWithValue("Retry-After", []string{retryAfter})),
		)
	}

	It("are served once its peers have been asked", func() {
		// The instance has its configuration long before the call to the peer has timed out.
		i := launchWaiting(longWait, unresponsiveAddress())
		Expect(i.ready()).To(BeFalse())
		Expect(traffic(i, "once", "stream", "staged", "once")).To(HaveEach(http.StatusOK))
	})

	It("are refused at once without the setting", func() {
		i := launchWaiting(0, unresponsiveAddress())
		_, got := i.ask("once")
		Expect(got).To(refused("no_configuration", "0.300"))
	})

	It("are served once the store answers", func() {
		d.Store.SetFault(platformtest.StoreUnavailable)
		i := launchWaiting(longWait)
		done := post(i, "the body")
		Consistently(done).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		d.Store.SetFault(platformtest.StoreHealthy)
		Eventually(done).Should(Receive(HaveField("Status", http.StatusOK)))
	})

	It("are refused while the store is away, at once when the wait is over", func() {
		const wait = time.Second
		d.Store.SetFault(platformtest.StoreUnavailable)
		begin := time.Now()
		i := launchWaiting(wait)
		_, got := i.ask("once")
		Expect(got).To(refused("no_configuration", "0.300"))
		Expect(time.Since(begin)).To(BeNumerically(">=", wait))
		begin = time.Now()
		_, got = i.ask("once")
		Expect(got).To(refused("no_configuration", "0.300"))
		Expect(time.Since(begin)).To(BeNumerically("<", atOnce))
	})

	It("hold counted memory while they wait, until the client disconnects", func() {
		const bytes = 100_000
		d.Store.SetFault(platformtest.StoreUnavailable)
		i := launchWaiting(longWait)
		r, disconnect := withCancel(i.request(http.MethodPost, "once", newID(), strings.Repeat("x", bytes)))
		go send(r)
		Eventually(held(i)).Should(Equal(strconv.Itoa(bytes)))
		disconnect()
		Eventually(held(i)).WithTimeout(time.Second).Should(Equal("0"))
		Expect(metric(i, `cobaltcroft_requests_total{outcome="client_left"}`)).To(Equal("1"))
	})

	It("are refused as not run when the instance stops", func() {
		d.Store.SetFault(platformtest.StoreUnavailable)
		i := launchWaiting(longWait)
		done := post(i, "the body")
		Eventually(held(i)).ShouldNot(Equal("0"))
		i.signals <- syscall.SIGTERM
		Eventually(done).WithTimeout(time.Second).Should(Receive(refused("stopping", "0.050")))
	})
})
