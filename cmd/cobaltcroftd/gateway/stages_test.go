package gateway_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("requests with stages", func() {
	var d *platformtest.Deployment

	BeforeEach(func() { d = deploy(2) })

	// staged sends a request with three chained stages and an independent one.
	staged := func(i *instance) (string, answer) {
		id := newID()
		return id, send(i.staged(id))
	}

	served := func(id string, got answer) {
		GinkgoHelper()
		Expect(got).To(SatisfyAll(HaveField("Status", http.StatusOK), HaveField("Body", events(id, 8)), HaveField("Whole", true)))
	}

	kept := func() int {
		n := 0
		for _, e := range d.Engines {
			n += e.UnfreedResults()
		}
		return n
	}

	calls := func(service string) int {
		n := 0
		for _, e := range d.EnginesOf(service) {
			n += e.RequestCount()
		}
		return n
	}

	It("have each piece made of its own key or inputs, and results are freed at their makers", func() {
		i := start(d.Address())
		id, got := staged(i)
		served(id, got)
		first, second, third := d.Runs("first", id), d.Runs("second", id), d.Runs("third", id)
		Expect(first).To(HaveLen(3))
		Expect(second).To(HaveLen(3))
		Expect(third).To(HaveLen(2))
		for _, piece := range first {
			Expect(piece).To(SatisfyAll(HaveField("Body", "key-of-"+id), HaveField("Inputs", BeEmpty())))
		}
		for _, piece := range second {
			Expect(piece).To(SatisfyAll(HaveField("Body", ""), HaveField("Inputs", HaveLen(1))))
		}
		for _, piece := range third {
			Expect(piece.Inputs).To(HaveLen(3))
		}
		run := d.Runs("model", id)
		Expect(run).To(HaveLen(1))
		Expect(run[0].Header.Get("Cobaltcroft-Inputs")).To(MatchRegexp("^[^,]+,[^,]+,[^,]+,[^,]+$"))
		Eventually(kept).Should(BeZero())
		for _, e := range d.Engines {
			Expect(e.Violations()).To(BeEmpty())
		}
	})

	DescribeTable("are served though an endpoint fails",
		func(service string, fault platformtest.Fault) {
			i := start(d.Address())
			for _, e := range d.EnginesOf(service) {
				e.QueueFaults(fault)
			}
			id, got := staged(i)
			served(id, got)
			Eventually(kept).Should(BeNumerically("<=", 6))
		},
		Entry("that has no room", "second", platformtest.OutOfMemory),
		Entry("that is full", "first", platformtest.RejectNotRun),
		Entry("whose answer is lost", "second", platformtest.DropResponse),
		Entry("that answers with a failure", "third", platformtest.InternalError),
	)

	It("are made again when an engine says that an input is gone", func() {
		i := start(d.Address())
		d.EnginesOf("model")[0].QueueFaults(platformtest.MissingInput)
		for range 4 {
			id, got := staged(i)
			served(id, got)
		}
	})

	It("go on at another engine with inputs made anew, when the stream breaks off", func() {
		i := start(d.Address())
		d.EnginesOf("model")[0].SetDefaultFault(platformtest.TruncateResponse)
		for range 4 {
			id, got := staged(i)
			served(id, got)
			for _, run := range d.Runs("model", id) {
				Expect(run.Header.Get("Cobaltcroft-Inputs")).To(MatchRegexp("^[^,]+,[^,]+,[^,]+,[^,]+$"))
			}
		}
		Eventually(kept).Should(BeZero())
	})

	It("of several instances leave in calls of one owner", func() {
		a := start(d.Address())
		b := start(d.Address(), a.Peers)
		// Until the instances know each other each makes its own calls, which is allowed.
		for _, e := range append(d.EnginesOf("first"), d.EnginesOf("second")...) {
			e.SetTiming(60*time.Millisecond, 0)
		}
		var group sync.WaitGroup
		const each = 12
		for n := range 2 * each {
			group.Go(func() {
				defer GinkgoRecover()
				id, got := staged([]*instance{a, b}[n%2])
				if got.Status == http.StatusServiceUnavailable {
					return
				}
				served(id, got)
			})
		}
		group.Wait()
		Expect(calls("second")).To(BeNumerically("<", 2*each), "pieces of many requests share calls")
	})

	It("go on when the instance that makes their stages dies", func() {
		a := start(d.Address())
		b := start(d.Address(), a.Peers)
		for _, e := range append(d.EnginesOf("first"), d.EnginesOf("second")...) {
			e.SetTiming(100*time.Millisecond, 0)
		}
		var ok atomic.Int32
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				defer GinkgoRecover()
				id, got := staged(b)
				served(id, got)
				ok.Add(1)
			})
		}
		Eventually(func() int { return calls("first") }).Should(BeNumerically(">", 0))
		a.kill()
		group.Wait()
		Expect(ok.Load()).To(Equal(int32(4)))
	})

	It("are refused, not run, before a planned stop ends that would cut them", func() {
		for _, e := range d.EnginesOf("second") {
			e.SetTiming(20*time.Second, 0)
		}
		for _, service := range d.Config.Services[2:] {
			service["Segments"].(map[string]any)["CallMs"] = 9000.0
		}
		for n := range d.Config.Routes {
			d.Config.Routes[n].SloMs, d.Config.Routes[n].TimeoutMs = 200_000, 200_000
		}
		d.PutConfig()
		i := start(d.Address())
		type sent struct {
			id string
			answer
		}
		done := make(chan sent, 1)
		go func() {
			id := newID()
			r := i.request(http.MethodPost, "staged", id, "")
			r.Header.Set("Cobaltcroft-Pieces", "1,3,2,2")
			r.Header.Set("Cobaltcroft-Deadline-Ms", "60000")
			done <- sent{id, send(r)}
		}()
		Eventually(func() int { return calls("second") }).Should(BeNumerically(">", 0))
		i.signals <- syscall.SIGTERM
		var got sent
		Eventually(done).WithTimeout(15 * time.Second).Should(Receive(&got))
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(d.Runs("model", got.id)).To(BeEmpty())
	})

	It("are given up, not run, while their callers have time to come back", func() {
		for _, e := range d.EnginesOf("first") {
			e.SetDefaultFault(platformtest.RejectNotRun)
		}
		for n := range d.Config.Routes {
			d.Config.Routes[n].TimeoutMs = 20_000
		}
		d.PutConfig()
		i := start(d.Address())
		id := newID()
		r := i.request(http.MethodPost, "staged", id, "")
		r.Header.Set("Cobaltcroft-Pieces", "1,3,2,2")
		r.Header.Set("Cobaltcroft-Deadline-Ms", "8000")
		begin := time.Now()
		got := send(r)
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(begin)).To(BeNumerically("<", 6*time.Second))
		Expect(d.Runs("model", id)).To(BeEmpty())
	})

	It("are refused at once, not run, when they would not be done in time", func() {
		i := start(d.Address())
		for _, service := range d.Config.Services[2:] {
			service["Segments"].(map[string]any)["CallMs"] = 2000.0
		}
		d.PutConfig()
		Eventually(func() int {
			id := newID()
			r := i.request(http.MethodPost, "staged", id, "")
			r.Header.Set("Cobaltcroft-Pieces", "1,3,2,2")
			begin := time.Now()
			got := send(r)
			if got.Status == http.StatusServiceUnavailable {
				Expect(time.Since(begin)).To(BeNumerically("<", 250*time.Millisecond))
				Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
				Expect(d.Runs("model", id)).To(BeEmpty())
			}
			return got.Status
		}).Should(Equal(http.StatusServiceUnavailable))
	})
})
