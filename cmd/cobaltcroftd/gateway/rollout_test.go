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
	// rolloutOver is the time of an order, in seconds.
	rolloutOver = 6.0
	// canaryShare and canarySlack bound what a bad version may get of all requests.
	canaryShare = 0.1
	canarySlack = 50
	// rollbackBound is how long after its fiftieth bad answer a bad version may still get requests.
	rollbackBound = 5 * time.Second
	// clientsEach is how many clients send requests to each instance, one after the other.
	clientsEach = 6
)

// listed is what an instance lists for operators.
func (i *instance) listed(what string) string {
	response, err := http.Get("http://" + i.Metrics + "/" + what)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// rolled is a deployment in which versions are replaced under traffic.
type rolled struct {
	*platformtest.Deployment
	instances []*instance
	stop      chan struct{}
	clients   sync.WaitGroup
}

// roll starts instances before so many old endpoints, and clients.
func roll(instances int) *rolled {
	d := &rolled{Deployment: deploy(0), stop: make(chan struct{})}
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
	// An instance that has just started watches for orders only some time later.
	watches := d.Store.Calls("/cobaltcroft/kv-watch")
	Eventually(func() int { return d.Store.Calls("/cobaltcroft/kv-watch") }).Should(BeNumerically(">=", watches+4*instances))
	DeferCleanup(func() {
		close(d.stop)
		d.clients.Wait()
	})
	return d
}

// add starts an endpoint of a version.
func (d *rolled) add(version string) *platformtest.Engine {
	e, err := d.Add(platformtest.Settings{Kind: platformtest.Simple, Service: "simple", Version: version, Work: 8 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	return e
}

// send has clients send requests to an instance, those that may be repeated and those that may not.
func (d *rolled) send(i *instance) {
	for n := range clientsEach {
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

// order gives an order to move the traffic to a version, whose endpoints are started beside the others.
func (d *rolled) order(version string, newEndpoints int, with func(*platformtest.Engine)) []*platformtest.Engine {
	d.Store.Put("op/rollout/simple", map[string]any{"Service": "simple", "TargetVersion": version, "OverS": rolloutOver})
	var engines []*platformtest.Engine
	for range newEndpoints {
		e := d.add(version)
		with(e)
		engines = append(engines, e)
	}
	return engines
}

// told is what the operator is told.
type told struct {
	State         string
	TargetVersion string
}

func (d *rolled) told() told {
	var t told
	d.Store.Get("status/rollout/simple", &t)
	return t
}

// arrivals are how many requests came to endpoints of a version, and to all.
func (d *rolled) arrivals(version string) (of, all int) {
	for _, e := range d.Of("simple") {
		all += e.Arrived()
		if e.Settings().Version == version {
			of += e.Arrived()
		}
	}
	return of, all
}

// quiet waits until no request comes to a version for some time, as all instances are to see to in time, and returns
// how many had come.
func (d *rolled) quiet(version string) int {
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

func (d *rolled) working(version string) int {
	n := 0
	for _, e := range d.Of("simple") {
		if e.Settings().Version == version {
			n += e.Working()
		}
	}
	return n
}

var _ = Describe("a rollout", func() {
	well := func(*platformtest.Engine) {}

	It("of a good version is completed in time, in steps, and nothing runs at the old endpoints or comes there then", func() {
		d := roll(3)
		begin := time.Now()
		d.order("v2", 3, well)
		Eventually(d.told).Should(Equal(told{"running", "v2"}))
		Consistently(func() float64 { of, all := d.arrivals("v2"); return float64(of) / float64(all) }).
			WithTimeout(2 * time.Second).Should(BeNumerically("<", canaryShare))
		Expect(d.instances[0].listed("rollouts")).To(SatisfyAll(ContainSubstring(`"exposure":"tried","share":0.06`), ContainSubstring(`"version":"v2"`)))
		Eventually(d.told).WithPolling(5 * time.Millisecond).Should(Equal(told{"completed", "v2"}))
		Expect(d.working("v1")).To(BeZero())
		Expect(time.Since(begin).Seconds()).To(BeNumerically("<", rolloutOver))
		old, _ := d.arrivals("v1")
		Consistently(func() int { of, _ := d.arrivals("v1"); return of }).WithTimeout(time.Second).Should(Equal(old))
	})

	DescribeTable("of a bad version is reverted, and the version gets no more than its share",
		func(bad func(*platformtest.Engine)) {
			d := roll(3)
			_, before := d.arrivals("v2")
			deadline := time.Now().Add(time.Duration(rolloutOver * float64(time.Second)))
			d.order("v2", 3, bad)
			Eventually(d.told).Should(Equal(told{"reverted", "v2"}))
			Expect(time.Now()).To(BeTemporally("<", deadline))
			got := d.quiet("v2")
			newcomer := start(d.Address(), d.instances[0].Peers)
			d.send(newcomer)
			time.Sleep(time.Until(deadline))
			of, all := d.arrivals("v2")
			Expect(float64(of)).To(BeNumerically("<=", canaryShare*float64(all-before)+canarySlack))
			Expect(of).To(Equal(got))
			Expect(d.told()).To(Equal(told{"reverted", "v2"}))
		},
		Entry("that fails four answers in ten", func(e *platformtest.Engine) { e.Each(2, platformtest.Fail) }),
		Entry("that is ten times as slow", func(e *platformtest.Engine) { e.SetTimes(80*time.Millisecond, 0) }),
		Entry("that loses answers late", func(e *platformtest.Engine) {
			time.AfterFunc(2500*time.Millisecond, func() { e.Each(2, platformtest.LoseAnswer) })
		}),
	)

	It("sends nothing to a version while nobody who knows can be asked", func() {
		d := roll(1)
		d.Store.SetFault(platformtest.StoreSilent)
		Eventually(d.instances[0].ready).Should(BeTrue())
		d.Store.SetFault(platformtest.StoreWell)
		d.order("v2", 3, well)
		Eventually(d.told).Should(Equal(told{"running", "v2"}))
		d.Store.SetFault(platformtest.StoreSilent)
		// The record may go unread for three seconds, and what was told before holds for one and a half more.
		time.Sleep(4600 * time.Millisecond)
		before, _ := d.arrivals("v2")
		Consistently(func() int { of, _ := d.arrivals("v2"); return of }).WithTimeout(time.Second).Should(Equal(before))
		d.Store.SetFault(platformtest.StoreWell)
		Eventually(d.told).WithTimeout(20 * time.Second).Should(Equal(told{"completed", "v2"}))
	})

	It("that is taken back is reverted, and its version gets nothing", func() {
		d := roll(2)
		d.order("v2", 3, well)
		Eventually(func() int { of, _ := d.arrivals("v2"); return of }).ShouldNot(BeZero())
		d.Store.Remove("op/rollout/simple")
		Eventually(d.told).Should(Equal(told{"reverted", "v2"}))
		d.quiet("v2")
	})

	It("goes on when the instance that conducts it ends", func() {
		d := roll(3)
		d.order("v2", 3, well)
		Eventually(d.told).Should(Equal(told{"running", "v2"}))
		for _, i := range d.instances[:2] {
			i.kill()
		}
		Eventually(d.told).WithTimeout(20 * time.Second).Should(Equal(told{"completed", "v2"}))
	})

	It("that was completed leaves an instance that starts later ready only when it knows so", func() {
		d := roll(1)
		d.order("v2", 3, well)
		Eventually(d.told).Should(Equal(told{"completed", "v2"}))
		for _, e := range d.Of("simple")[:3] {
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
		d := roll(1)
		d.order("v2", 1, func(e *platformtest.Engine) { e.Always(platformtest.Fail) })
		Eventually(d.told).Should(Equal(told{"reverted", "v2"}))
		before := d.quiet("v2")
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
