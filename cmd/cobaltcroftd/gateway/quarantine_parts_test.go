package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

const (
	// fatalPart is the part of a prompt that crashes model engines.
	fatalPart = "fa7a1"
	// soundPart is a part that fatal and proper prompts share.
	soundPart = "50f1d"
	// otherPart is a part that only proper prompts hold.
	otherPart = "07e12"
)

// askPrompt sends a request that no other one equals, with the given parts of its prompt before its own.
func askPrompt(i *instance, route string, parts ...string) answer {
	id := newID()
	r := i.request(http.MethodPost, route, id, "body of "+id)
	var prompt []string
	for _, part := range append(slices.Clone(parts), id) {
		prompt = append(prompt, part+":40")
	}
	r.Header.Set("Cobaltcroft-Prefix-Hash", strings.Join(prompt, ","))
	return send(r)
}

// promptClients send proper requests to all instances, one after the other each.
type promptClients struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	// statuses are the statuses of the requests that began since they were last taken.
	statuses []int
}

// startPromptClients starts a client for each instance, which stops with the spec.
func startPromptClients(instances []*instance, parts ...string) *promptClients {
	c := &promptClients{stop: make(chan struct{})}
	for _, i := range instances {
		c.running.Go(func() {
			defer GinkgoRecover()
			c.run(i, parts)
		})
	}
	DeferCleanup(func() {
		close(c.stop)
		c.running.Wait()
	})
	return c
}

func (c *promptClients) run(i *instance, parts []string) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		status := askPrompt(i, "stream", parts...).Status
		c.mu.Lock()
		c.statuses = append(c.statuses, status)
		c.mu.Unlock()
	}
}

// count returns the number of requests answered since they were last taken.
func (c *promptClients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.statuses)
}

// take returns the statuses since the last call.
func (c *promptClients) take() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.statuses
	c.statuses = nil
	return taken
}

// Guards against a part of a prompt that crashes one endpoint after another because each request with it
// counts as another one.
var _ = Describe("requests with a part in their prompts that ends the endpoints which run it", func() {
	const (
		// endpoints is the number of endpoints per service.
		endpoints = 18
		// maxCrashes is the number of endpoints that a part may crash: five until it is detected, and three
		// more until all instances know.
		maxCrashes = 8
		// propagationBound is how long all instances may take to learn of the fifth crash.
		propagationBound = 3 * time.Second
	)
	var (
		d         *platformtest.Deployment
		instances []*instance
	)

	BeforeEach(func() {
		d = deploy(endpoints)
		for _, e := range d.EnginesOf("model") {
			e.SetTiming(time.Millisecond, 10*time.Millisecond)
			e.CrashOnPart(fatalPart)
		}
		instances = startGroup(d.Address(), 3)
	})

	crashed := func() int {
		n := 0
		for _, e := range d.EnginesOf("model") {
			if e.Crashed() {
				n++
			}
		}
		return n
	}

	// replaceCrashed removes the entries of crashed endpoints and starts others in their place.
	replaceCrashed := func() {
		for _, e := range d.EnginesOf("model") {
			if e.Crashed() && d.Store.Get("servers/"+e.ID, &map[string]any{}) {
				d.Store.Remove("servers/" + e.ID)
				anew, err := d.AddEngine(e.Settings())
				Expect(err).NotTo(HaveOccurred())
				anew.CrashOnPart(fatalPart)
			}
		}
	}

	// expectQuarantined sends fatal prompts to all instances in turn until each refuses them.
	expectQuarantined := func(route string, parts ...string) {
		for n := 0; crashed() < 3; n++ {
			askPrompt(instances[n%len(instances)], route, parts...)
		}
		Eventually(func() []string {
			var bodies []string
			for _, i := range instances {
				bodies = append(bodies, askPrompt(i, route, parts...).Body)
			}
			return bodies
		}).WithTimeout(propagationBound).Should(HaveEach(ContainSubstring("quarantined")))
		Expect(crashed()).To(BeNumerically("<=", maxCrashes))
		before := crashed()
		for n := range 3 * len(instances) {
			refused := askPrompt(instances[n%len(instances)], route, parts...)
			Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(crashed()).To(Equal(before))
	}

	It("are refused by all instances, as not run, while proper ones with the other parts are served", func() {
		proper := startPromptClients(instances, soundPart)
		Eventually(proper.count).Should(BeNumerically(">=", 30))
		expectQuarantined("fixed", soundPart, fatalPart)
		replaceCrashed()
		proper.take()
		Eventually(proper.count).Should(BeNumerically(">=", 100))
		Expect(proper.take()).To(HaveEach(http.StatusOK))
	})

	It("are refused on each route of the service", func() {
		proper := startPromptClients(instances, soundPart)
		Eventually(proper.count).Should(BeNumerically(">=", 30))
		expectQuarantined("fixed", soundPart, fatalPart)
		before := crashed()
		Expect(askPrompt(instances[0], "stream", otherPart, fatalPart).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(askPrompt(instances[0], "stream", fatalPart).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(crashed()).To(Equal(before))
	})

	It("are refused where answers end with their connection, also if an endpoint ends between two events", func() {
		for _, e := range d.EnginesOf("model") {
			e.SetUnframed(true)
		}
		proper := startPromptClients(instances, soundPart)
		Eventually(proper.count).Should(BeNumerically(">=", 30))
		expectQuarantined("fixed", soundPart, fatalPart)
		Expect(askPrompt(instances[0], "fixed", soundPart)).To(And(HaveField("Status", http.StatusOK), HaveField("Whole", true)))
	})

	It("are sent once more at most when all instances have started anew", func() {
		expectQuarantined("fixed", soundPart, fatalPart)
		Eventually(func() int { return d.Store.Calls("/cobaltcroft/kv-txn") }).Should(BeNumerically(">=", 1))
		for _, i := range instances {
			i.kill()
		}
		replaceCrashed()
		before := crashed()
		anew := start(d.Address())
		Eventually(func() string { return askPrompt(anew, "fixed", soundPart, fatalPart).Body }).Should(ContainSubstring("quarantined"))
		Expect(crashed()).To(BeNumerically("<=", before+1))
	})
})
