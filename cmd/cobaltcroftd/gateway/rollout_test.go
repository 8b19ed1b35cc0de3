package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

const (
	// rolloutSeconds is the duration of a rollout order.
	rolloutSeconds = 6.0
	// canaryShare and canarySlack limit the requests to a bad version.
	canaryShare = 0.1
	canarySlack = 50
	// rollbackBound is how long a bad version may receive requests after its fiftieth bad answer.
	rollbackBound = 5 * time.Second
	// clientsPerInstance is the number of clients per instance; each sends requests sequentially.
	clientsPerInstance = 6
)

// operatorsList returns a list from the instance's operator API.
func (i *instance) operatorsList(what string) string {
	response, err := http.Get("http://" + i.Metrics + "/" + what)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// rolloutDeployment is a deployment with traffic whose versions are replaced.
type rolloutDeployment struct {
	*platformtest.Deployment
	instances []*instance
	stop      chan struct{}
	clients   sync.WaitGroup
}

// deployRollout starts instances, three old endpoints, and clients.
func deployRollout(instances int) *rolloutDeployment {
	d := &rolloutDeployment{Deployment: deploy(0), stop: make(chan struct{})}
	for range 3 {
		d.add("v1")
	}
	var peers []string
	for range instances {
		i := start(d.Address(), peers...)
		peers = append(peers, i.Peers)
		d.instances = append(d.instances, i)
	}
	for _, i := range d.instances {
		d.send(i)
	}
	// An instance starts watching for orders some time after its start.
	watches := d.Store.Calls("/cobaltcroft/kv-watch")
	Eventually(func() int { return d.Store.Calls("/cobaltcroft/kv-watch") }).Should(BeNumerically(">=", watches+4*instances))
	DeferCleanup(func() {
		close(d.stop)
		d.clients.Wait()
	})
	return d
}

// add starts an endpoint of a version.
func (d *rolloutDeployment) add(version string) *platformtest.Engine {
	e, err := d.AddEngine(platformtest.Settings{Kind: platformtest.Simple, Service: "simple", Version: version, ProcessingTime: 8 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	return e
}

// send starts clients that send repeatable and non-repeatable requests to an instance.
func (d *rolloutDeployment) send(i *instance) {
	for n := range clientsPerInstance {
		route := []string{"once", "repeat"}[n%2]
		d.clients.Go(func() {
			defer GinkgoRecover()
			for {
				select {
				case <-d.stop:
					return
				default:
					send(i.request(http.MethodPost, route, newID(), ""))
				}
			}
		})
	}
}

// order orders a rollout and starts endpoints of the new version.
func (d *rolloutDeployment) order(version string, newEndpoints int, with func(*platformtest.Engine)) []*platformtest.Engine {
	d.Store.Put("op/rollout/simple", map[string]any{"Service": "simple", "TargetVersion": version, "OverS": rolloutSeconds})
	var engines []*platformtest.Engine
	for range newEndpoints {
		e := d.add(version)
		with(e)
		engines = append(engines, e)
	}
	return engines
}

// rolloutRecord is the record shown to operators.
type rolloutRecord struct {
	State         string
	TargetVersion string
}

func (d *rolloutDeployment) readRecord() rolloutRecord {
	var t rolloutRecord
	d.Store.Get("status/rollout/simple", &t)
	return t
}

// arrivals returns the number of requests received by a version, and in total.
func (d *rolloutDeployment) arrivals(version string) (of, all int) {
	for _, e := range d.EnginesOf("simple") {
		all += e.RequestCount()
		if e.Settings().Version == version {
			of += e.RequestCount()
		}
	}
	return of, all
}

// awaitQuiet waits until a version no longer receives requests and returns how many it has
// received.
func (d *rolloutDeployment) awaitQuiet(version string) int {
	arrived := func() int { of, _ := d.arrivals(version); return of }
	last, since := arrived(), time.Now()
	Eventually(func() time.Duration {
		if now := arrived(); now != last {
			last, since = now, time.Now()
		}
		return time.Since(since)
	}).WithTimeout(rollbackBound).Should(BeNumerically(">", time.Second))
	return last
}

func (d *rolloutDeployment) working(version string) int {
	n := 0
	for _, e := range d.EnginesOf("simple") {
		if e.Settings().Version == version {
			n += e.ActiveRequests()
		}
	}
	return n
}

var _ = Describe("a rollout", func() {
	well := func(*platformtest.Engine) {}

	It("of a good version is completed in time, in steps, and nothing runs at the old endpoints or comes there then", func() {
		d := deployRollout(3)
		begin := time.Now()
		d.order("v2", 3, well)
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"running", "v2"}))
		Consistently(func() float64 { of, all := d.arrivals("v2"); return float64(of) / float64(all) }).
			WithTimeout(2 * time.Second).Should(BeNumerically("<", canaryShare))
		Expect(d.instances[0].operatorsList("rollouts")).To(SatisfyAll(ContainSubstring(`"exposure":"tried","share":0.06`), ContainSubstring(`"version":"v2"`)))
		Eventually(d.readRecord).WithPolling(5 * time.Millisecond).Should(Equal(rolloutRecord{"completed", "v2"}))
		Expect(d.working("v1")).To(BeZero())
		Expect(time.Since(begin).Seconds()).To(BeNumerically("<", rolloutSeconds))
		old, _ := d.arrivals("v1")
		Consistently(func() int { of, _ := d.arrivals("v1"); return of }).WithTimeout(time.Second).Should(Equal(old))
	})

	DescribeTable("of a bad version is reverted, and the version gets no more than its share",
		func(bad func(*platformtest.Engine)) {
			d := deployRollout(3)
			_, before := d.arrivals("v2")
			deadline := time.Now().Add(time.Duration(rolloutSeconds * float64(time.Second)))
			d.order("v2", 3, bad)
			Eventually(d.readRecord).Should(Equal(rolloutRecord{"reverted", "v2"}))
			Expect(time.Now()).To(BeTemporally("<", deadline))
			got := d.awaitQuiet("v2")
			newcomer := start(d.Address(), d.instances[0].Peers)
			d.send(newcomer)
			time.Sleep(time.Until(deadline))
			of, all := d.arrivals("v2")
			Expect(float64(of)).To(BeNumerically("<=", canaryShare*float64(all-before)+canarySlack))
			Expect(of).To(Equal(got))
			Expect(d.readRecord()).To(Equal(rolloutRecord{"reverted", "v2"}))
		},
		Entry("that fails four answers in ten", func(e *platformtest.Engine) { e.SetPeriodicFault(2, platformtest.InternalError) }),
		Entry("that is ten times as slow", func(e *platformtest.Engine) { e.SetTiming(80*time.Millisecond, 0) }),
		Entry("that loses answers late", func(e *platformtest.Engine) {
			time.AfterFunc(2500*time.Millisecond, func() { e.SetPeriodicFault(2, platformtest.DropResponse) })
		}),
	)

	It("sends nothing to a version while nobody who knows can be asked", func() {
		d := deployRollout(1)
		d.Store.SetFault(platformtest.StoreHang)
		Eventually(d.instances[0].ready).Should(BeTrue())
		d.Store.SetFault(platformtest.StoreHealthy)
		d.order("v2", 3, well)
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"running", "v2"}))
		d.Store.SetFault(platformtest.StoreHang)
		// The record may stay unread for 3 s, and the last instruction is valid for another 1.5 s.
		time.Sleep(4600 * time.Millisecond)
		before, _ := d.arrivals("v2")
		Consistently(func() int { of, _ := d.arrivals("v2"); return of }).WithTimeout(time.Second).Should(Equal(before))
		d.Store.SetFault(platformtest.StoreHealthy)
		Eventually(d.readRecord).WithTimeout(20 * time.Second).Should(Equal(rolloutRecord{"completed", "v2"}))
	})

	It("that is taken back is reverted, and its version gets nothing", func() {
		d := deployRollout(2)
		d.order("v2", 3, well)
		Eventually(func() int { of, _ := d.arrivals("v2"); return of }).ShouldNot(BeZero())
		d.Store.Remove("op/rollout/simple")
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"reverted", "v2"}))
		d.awaitQuiet("v2")
	})

	It("goes on when the instance that conducts it ends", func() {
		d := deployRollout(3)
		d.order("v2", 3, well)
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"running", "v2"}))
		for _, i := range d.instances[:2] {
			i.kill()
		}
		Eventually(d.readRecord).WithTimeout(20 * time.Second).Should(Equal(rolloutRecord{"completed", "v2"}))
	})

	It("that was completed leaves an instance that starts later ready only when it knows so", func() {
		d := deployRollout(1)
		d.order("v2", 3, well)
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"completed", "v2"}))
		for _, e := range d.EnginesOf("simple")[:3] {
			d.Store.Remove("servers/" + e.ID)
			e.Close()
		}
		newcomer := start(d.Address(), d.instances[0].Peers)
		for range 10 {
			_, got := newcomer.ask("once")
			Expect(got.Status).To(Equal(http.StatusOK))
		}
	})

	It("of a version that fails is passed over by instances of which the first request comes later", func() {
		d := deployRollout(1)
		d.order("v2", 1, func(e *platformtest.Engine) { e.SetDefaultFault(platformtest.InternalError) })
		Eventually(d.readRecord).Should(Equal(rolloutRecord{"reverted", "v2"}))
		before := d.awaitQuiet("v2")
		for range 3 {
			newcomer := start(d.Address(), d.instances[0].Peers)
			for range 20 {
				_, got := newcomer.ask("repeat")
				Expect(got.Status).To(Equal(http.StatusOK))
			}
		}
		of, _ := d.arrivals("v2")
		Expect(of).To(Equal(before))
	})
})
