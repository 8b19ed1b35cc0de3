package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// LOST: after a crash of an endpoint that was back at once, none of its streams went on anywhere.
var _ = Describe("the streams of endpoints that crash and are restarted under their names", func() {
	const (
		streamEvents = 30
		// streamCount streams are begun, each beginInterval after the one before. Half of them are begun
		// when the endpoints crash.
		streamCount   = 80
		beginInterval = 10 * time.Millisecond
		// observeTime is how long the instances take at most to observe the endpoints.
		observeTime = 2 * time.Second
		// downTime is how long the endpoints are down.
		downTime = 100 * time.Millisecond
		// lateEntry is when an endpoint writes its first entry if it does not do so at once.
		lateEntry = 1200 * time.Millisecond
		// longPause and shortPause are how long a client waits until it takes its stream up: until the
		// entries of the restarted endpoints have come, and until these endpoints listen.
		longPause  = 2500 * time.Millisecond
		shortPause = 300 * time.Millisecond
		// minTakenUp is the number of streams that the rule needs.
		minTakenUp = 12
	)
	var (
		d   *platformtest.Deployment
		all []*instance
		// mu guards engines, to which restarted ones are added.
		mu      sync.Mutex
		engines []*platformtest.Engine
	)

	BeforeEach(func() {
		d, engines = deploy(0), nil
		for range 4 {
			s := platformtest.Settings{Kind: platformtest.Model, Service: "model", ProcessingTime: time.Millisecond, Events: streamEvents, EventInterval: 20 * time.Millisecond, Slots: 64}
			e, err := d.AddEngine(s)
			Expect(err).NotTo(HaveOccurred())
			engines = append(engines, e)
		}
		// Each attempt of a client is sent to one endpoint, so that clients see streams break off.
		d.Config.Routes[2].MaxAttempts = 1
		d.PutConfig()
		all = startGroup(d.Address(), 3)
		time.Sleep(observeTime)
	})

	// restart crashes an engine and starts it again as a software version, whose entry comes after a delay.
	restart := func(e *platformtest.Engine, version string, entryAfter time.Duration) {
		e.Close()
		time.Sleep(downTime)
		restarted, err := e.RestartInPlaceAs(version)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(restarted.Close)
		time.Sleep(entryAfter)
		d.Store.Put("servers/"+e.ID, restarted.Entry("ready"))
		mu.Lock()
		defer mu.Unlock()
		engines = append(engines, restarted)
	}

	// versionsOf returns the software versions that ran requests of a client.
	versionsOf := func(c *client) []string {
		var versions []string
		for _, e := range engines {
			for _, run := range e.Runs() {
				if version := e.Settings().Version; slices.Contains(c.ids, run.ID) && !slices.Contains(versions, version) {
					versions = append(versions, version)
				}
			}
		}
		return versions
	}

	DescribeTable("go on at the endpoints of their version", func(version string, entryAfter, pause time.Duration, wantShare float64) {
		clients := make([]*client, streamCount)
		takenUp := make([]int, streamCount)
		var group sync.WaitGroup
		for n := range clients {
			c := &client{}
			clients[n] = c
			group.Go(func() {
				defer GinkgoRecover()
				c.read(all[0], "stream", 0)
				if c.first != "" && !c.whole(streamEvents) {
					time.Sleep(pause)
					takenUp[n] = c.read(all[1+n%2], "stream", 0)
				}
			})
			time.Sleep(beginInterval)
			if n == streamCount/2 {
				mu.Lock()
				crashed := engines[:2]
				mu.Unlock()
				for _, e := range crashed {
					group.Go(func() {
						defer GinkgoRecover()
						restart(e, version, entryAfter)
					})
				}
			}
		}
		group.Wait()
		wentOn, total := 0, 0
		for n, c := range clients {
			if takenUp[n] != 0 {
				total++
			}
			if takenUp[n] == http.StatusOK {
				wentOn++
				Expect(c.whole(streamEvents)).To(BeTrue())
				Expect(versionsOf(c)).To(HaveLen(1))
			}
		}
		Expect(total).To(BeNumerically(">=", minTakenUp))
		Expect(float64(wentOn)/float64(total)).To(BeNumerically(">=", wantShare), "%d of %d", wentOn, total)
	},
		Entry("if they are back as the same version", "", time.Duration(0), longPause, 1.0),
		Entry("if they are back as the same version and their entries come later", "", lateEntry, longPause, 1.0),
		// The streams that began right before the crash may be the other version's.
		Entry("if they are back as another version", "v2", time.Duration(0), longPause, 0.5),
		// ORDER: instances that had not met the crash let streams go on at the other version.
		Entry("if they are back as another version and their entries have not come", "v2", lateEntry, shortPause, 1.0),
	)
})
