package gateway_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// Guards against endpoints whose answers have no end, which would take the memory of the instance.
var _ = Describe("answers without end", func() {
	const (
		memoryMB = 64
		// callers is how many requests run at once, each of which could fill a part of the memory.
		callers = 24
		// playTime is how long they are sent.
		playTime     = 1500 * time.Millisecond
		samplePeriod = time.Millisecond
	)
	var (
		d *platformtest.Deployment
		i *instance
	)

	BeforeEach(func() {
		d = deploy(2)
		i = launchWith(func(s *settings.Gateway) { s.MemoryMB = memoryMB }, d.Address())
		Eventually(i.ready).Should(BeTrue())
	})

	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}

	// peak returns the most memory that is allocated beyond what is now, until stop is closed.
	peak := func(stop chan struct{}) uint64 {
		runtime.GC()
		before := heap()
		most := before
		for {
			select {
			case <-stop:
				return most - before
			case <-time.After(samplePeriod):
				most = max(most, heap())
			}
		}
	}

	part := strings.Repeat("x", 64<<10)

	DescribeTable("leave an instance its memory, and other requests their answers", func(kind, route, other string, text func(*http.Request) string, repeat string) {
		for _, e := range d.EnginesOf(kind) {
			e.SetRawResponse(&platformtest.RawResponse{Text: text, Repeat: repeat})
		}
		end := time.Now().Add(playTime)
		var senders sync.WaitGroup
		var refused, served atomic.Int64
		for range callers {
			senders.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(end) {
					r := i.request(http.MethodPost, route, newID(), "")
					if route == "staged" {
						r = i.staged(newID())
					}
					got := send(r)
					Expect(got.Status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusServiceUnavailable), Equal(http.StatusGatewayTimeout)))
					refused.Add(1)
				}
			})
		}
		senders.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(end) {
				_, got := i.ask(other)
				Expect(got).To(SatisfyAll(HaveField("Status", http.StatusOK), HaveField("Whole", true)))
				served.Add(1)
			}
		})
		stop := make(chan struct{})
		go func() {
			senders.Wait()
			close(stop)
		}()
		most := peak(stop)
		AddReportEntry("bytes allocated at most", most)
		Expect(most).To(BeNumerically("<", memoryMB*1_000_000))
		Expect(refused.Load()).To(BeNumerically(">=", callers))
		Expect(served.Load()).NotTo(BeZero())
		Eventually(func() string { return i.get("/metrics") }).Should(ContainSubstring("cobaltcroft_held_bytes 0\n"))
	},
		Entry("without a length", "simple", "once", "stream", platformtest.SealedText("", ""), part),
		Entry("with a length", "simple", "once", "stream", platformtest.SealedText("Content-Length: 1000000000000\r\n", ""), part),
		Entry("in chunks", "simple", "once", "stream", platformtest.SealedText("Transfer-Encoding: chunked\r\n", ""), "10000\r\n"+part+"\r\n"),
		Entry("of requests that may be repeated", "simple", "repeat", "stream", platformtest.SealedText("", ""), part),
		Entry("in a head", "simple", "once", "stream", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-Long: " }, part),
		Entry("of streams", "model", "fixed", "once", platformtest.SealedText("", ""), part),
		Entry("of stages", "first", "staged", "once", platformtest.SealedText("", ""), part),
	)
})
