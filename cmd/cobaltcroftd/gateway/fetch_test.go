package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

var _ = Describe("requests whose prompts share parts", func() {
	const forgedSource = "127.0.0.1:1"
	var (
		d *platformtest.Deployment
		i *instance
		// home is the engine to which the prompts go first.
		home *platformtest.Engine
	)

	// ask sends a prompt of 300 shared tokens, few enough and with enough others that twelve prompts at
	// the same time do not all go to their home.
	ask := func() string {
		GinkgoHelper()
		id := newID()
		r := i.request(http.MethodPost, "stream", id, "")
		r.Header.Set("Cobaltcroft-Prefix-Hash", "system:100,subject:200,"+id+":500")
		r.Header.Set("Kv-Fetch", forgedSource)
		Expect(send(r)).To(HaveField("Status", http.StatusOK))
		return id
	}

	askTogether := func(n int) {
		var group sync.WaitGroup
		for range n {
			group.Go(func() {
				defer GinkgoRecover()
				ask()
			})
		}
		group.Wait()
	}

	BeforeEach(func() {
		d = deploy(3)
		i = start(d.Address())
		id := ask()
		at := slices.IndexFunc(d.Engines, func(e *platformtest.Engine) bool {
			return slices.ContainsFunc(e.Runs(), func(r platformtest.Run) bool { return r.ID == id })
		})
		home = d.Engines[at]
		Expect(home.Fetches()).To(BeEmpty())
	})

	It("name the engine that has them to the others, and the calls are counted", func() {
		for _, e := range d.EnginesOf("model") {
			// All prompts are sent before another engine is known to have the parts.
			e.SetTiming(500*time.Millisecond, time.Millisecond)
		}
		askTogether(12)
		fetches := 0
		for _, e := range d.EnginesOf("model") {
			for _, f := range e.Fetches() {
				Expect(f.Source).To(Equal(home.Address()))
				fetches++
			}
			Expect(e.Violations()).To(BeEmpty())
		}
		Expect(fetches).To(BeNumerically(">", 0))
		Expect(home.Fetches()).To(BeEmpty())
		Expect(i.get("/metrics")).To(ContainSubstring(fmt.Sprintf("cobaltcroft_prompt_fetches_total %d\n", fetches)))
	})

	// Guards against a second failure by the same source: both other engines reject requests, which
	// then reach the busy home.
	It("name none after a failure", func() {
		home.SetTiming(200*time.Millisecond, time.Millisecond)
		for _, e := range d.EnginesOf("model") {
			if e != home {
				e.SetDefaultFault(platformtest.RejectNotRun)
			}
		}
		for range 5 {
			askTogether(12)
			// A rejection excludes an engine for 100 ms.
			time.Sleep(120 * time.Millisecond)
		}
		fetches := map[string]int{}
		for _, e := range d.EnginesOf("model") {
			for _, f := range e.Fetches() {
				fetches[f.RequestID]++
			}
		}
		Expect(fetches).NotTo(BeEmpty())
		Expect(fetches).To(HaveEach(1))
	})
})
