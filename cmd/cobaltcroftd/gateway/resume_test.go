package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// client is a client that receives one stream over one or more requests.
type client struct {
	// first is the ID of the request that received the first event.
	first string
	// ids are the IDs of all requests that received events.
	ids  []string
	body strings.Builder
	// lastEvent is the ID of the last complete event.
	lastEvent string
}

// read sends a request for the stream, or for the rest of it, and closes the connection after the given
// number of events; 0 reads to the end. It returns the status of the response.
func (c *client) read(i *instance, route string, limit int) int {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := i.request(http.MethodPost, route, id, "")
	if c.first != "" {
		r.Header.Set("Resumes", c.first)
		r.Header.Set("Last-Event-Id", c.lastEvent)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r.WithContext(ctx))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode
	}
	c.readEvents(response.Body, id, limit)
	return response.StatusCode
}

func (c *client) readEvents(body io.Reader, id string, limit int) {
	reader := bufio.NewReader(body)
	var event strings.Builder
	for events := 0; limit == 0 || events < limit; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		event.WriteString(line)
		if last, found := strings.CutPrefix(line, "id: "); found {
			c.lastEvent = strings.TrimSpace(last)
		}
		if line == "\n" {
			events++
			if c.first == "" {
				c.first = id
			}
			if !slices.Contains(c.ids, id) {
				c.ids = append(c.ids, id)
			}
			c.body.WriteString(event.String())
			event.Reset()
		}
	}
}

// whole reports whether each event was received once.
func (c *client) whole(events int) bool {
	for n := 1; n <= events; n++ {
		if strings.Count(c.body.String(), "id: "+strconv.Itoa(n)+"\n") != 1 {
			return false
		}
	}
	return strings.Count(c.body.String(), "id: ") == events
}

// resume sends a request that resumes a stream, and returns its ID with the response.
func resume(i *instance, first, last string) (string, answer) {
	id := newID()
	r := i.request(http.MethodPost, "stream", id, "")
	if first != "" {
		r.Header.Set("Resumes", first)
	}
	r.Header.Set("Last-Event-Id", last)
	return id, send(r)
}

var _ = Describe("a stream while endpoints of two software versions serve", func() {
	const streamEvents = 8
	var (
		d   *platformtest.Deployment
		all []*instance
	)

	// addVersion starts two model engines of a software version.
	addVersion := func(version string) []*platformtest.Engine {
		var engines []*platformtest.Engine
		for range 2 {
			s := platformtest.Settings{Kind: platformtest.Model, Service: "model", Version: version, ProcessingTime: time.Millisecond, Events: streamEvents, EventInterval: 20 * time.Millisecond}
			e, err := d.AddEngine(s)
			Expect(err).NotTo(HaveOccurred())
			engines = append(engines, e)
		}
		return engines
	}

	// versionsOf returns the software versions of the engines that ran requests.
	versionsOf := func(ids ...string) []string {
		var versions []string
		for _, e := range d.EnginesOf("model") {
			for _, run := range e.Runs() {
				if version := e.Settings().Version; slices.Contains(ids, run.ID) && !slices.Contains(versions, version) {
					versions = append(versions, version)
				}
			}
		}
		return versions
	}

	// usedVersions returns the software versions that have run any request.
	usedVersions := func() []string {
		var ids []string
		for _, e := range d.EnginesOf("model") {
			for _, run := range e.Runs() {
				ids = append(ids, run.ID)
			}
		}
		return versionsOf(ids...)
	}

	startInstances := func(n int) {
		var contacts []string
		for range n {
			i := start(d.Address(), contacts...)
			all = append(all, i)
			contacts = append(contacts, i.Peers)
		}
		for _, i := range all {
			Eventually(func() []string {
				i.ask("stream")
				return usedVersions()
			}).Should(ConsistOf("v1", "v2"))
		}
	}

	BeforeEach(func() {
		d, all = deploy(0), nil
		addVersion("v1")
		addVersion("v2")
		startInstances(3)
	})

	It("goes on at the version that began it when an endpoint breaks off", func() {
		for n := range 16 {
			e := d.EnginesOf("model")[n%4]
			e.SetDefaultFault(platformtest.TruncateResponse)
			for _, i := range all {
				var c client
				Expect(c.read(i, "stream", 0)).To(Equal(http.StatusOK))
				Expect(c.whole(streamEvents)).To(BeTrue())
				Expect(versionsOf(c.ids...)).To(HaveLen(1))
			}
			e.SetDefaultFault(0)
		}
	})

	It("goes on at the version that began it when its client takes it up at another instance", func() {
		for n := range 12 {
			var c client
			Expect(c.read(all[n%3], "stream", 2)).To(Equal(http.StatusOK))
			Expect(c.read(all[(n+1)%3], "stream", 3)).To(Equal(http.StatusOK))
			Expect(c.read(all[(n+2)%3], "stream", 0)).To(Equal(http.StatusOK))
			Expect(c.whole(streamEvents)).To(BeTrue())
			Expect(versionsOf(c.ids...)).To(HaveLen(1))
		}
	})

	It("goes on at the version that began it after the instance that began it was killed", func() {
		var clients []*client
		for range 8 {
			c := &client{}
			Expect(c.read(all[0], "stream", 2)).To(Equal(http.StatusOK))
			clients = append(clients, c)
		}
		all[0].kill()
		for n, c := range clients {
			Expect(c.read(all[1+n%2], "stream", 0)).To(Equal(http.StatusOK))
			Expect(c.whole(streamEvents)).To(BeTrue())
			Expect(versionsOf(c.ids...)).To(HaveLen(1))
		}
	})

	// runsOf returns the number of runs of requests at model engines.
	runsOf := func(ids ...string) int {
		n := 0
		for _, id := range ids {
			n += len(d.Runs("model", id))
		}
		return n
	}

	It("is refused at once, as not run, where nobody knows which version began it", func() {
		for _, first := range []string{"", newID()} {
			began := time.Now()
			id, got := resume(all[0], first, "3")
			Expect(got).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Body", ContainSubstring("stream_unknown"))))
			Expect(got.Header.Get("Retry-After")).To(BeEmpty())
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			Expect(runsOf(id)).To(BeZero())
		}
	})

	It("is refused at once, as not run, when no endpoint of the version that began it is left", func() {
		var c client
		Expect(c.read(all[0], "stream", 2)).To(Equal(http.StatusOK))
		for _, e := range d.EnginesOf("model") {
			if e.Settings().Version == versionsOf(c.first)[0] {
				d.Store.Put("servers/"+e.ID, e.Entry("draining"))
			}
		}
		requests := []string{c.first}
		for _, i := range all {
			gone := func() answer {
				id, got := resume(i, c.first, c.lastEvent)
				requests = append(requests, id)
				return got
			}
			Eventually(gone).Should(HaveField("Body", ContainSubstring("stream_gone")))
			Expect(gone()).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Body", ContainSubstring("stream_gone"))))
			Expect(runsOf(requests[len(requests)-1])).To(BeZero())
		}
		Expect(versionsOf(requests...)).To(HaveLen(1))
	})

	DescribeTable("is not joined from two versions after all instances were killed at once", func(leave func()) {
		// tries is for how long the clients take up their streams.
		const tries = 3 * time.Second
		clients := make([]client, 12)
		for n := range clients {
			Expect(clients[n].read(all[n%len(all)], "stream", 2)).To(Equal(http.StatusOK))
		}
		var killed sync.WaitGroup
		for _, i := range all {
			killed.Go(i.kill)
		}
		killed.Wait()
		leave()
		back := startGroup(d.Address(), len(all))
		for end := time.Now().Add(tries); time.Now().Before(end); {
			for n := range clients {
				c := &clients[n]
				if c.whole(streamEvents) {
					continue
				}
				Expect(c.read(back[n%len(back)], "stream", 0)).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
				Expect(versionsOf(c.ids...)).To(HaveLen(1))
			}
		}
	},
		Entry("which both go on serving", func() {}),
		Entry("of which the first one has left", func() {
			for _, e := range d.EnginesOf("model") {
				if e.Settings().Version == "v1" {
					d.Store.Remove("servers/" + e.ID)
				}
			}
		}),
	)

	It("is refused by an instance that does not reach the others, and goes on at those", func() {
		alone := launchWith(func(s *settings.Gateway) { s.PeerToken = "another token" }, d.Address())
		Eventually(alone.ready).Should(BeTrue())
		var c client
		Expect(c.read(all[0], "stream", 2)).To(Equal(http.StatusOK))
		Expect(c.read(alone, "stream", 0)).To(Equal(http.StatusServiceUnavailable))
		Expect(c.read(all[1], "stream", 0)).To(Equal(http.StatusOK))
		Expect(c.whole(streamEvents)).To(BeTrue())
		Expect(versionsOf(c.ids...)).To(HaveLen(1))
	})

	It("goes on after planned stops of the instances that knew it, one after the other", func() {
		var clients []*client
		for range 6 {
			c := &client{}
			Expect(c.read(all[0], "stream", 2)).To(Equal(http.StatusOK))
			clients = append(clients, c)
		}
		for n := range 2 {
			all = append(all, start(d.Address(), all[2].Peers))
			all[n].signals <- syscall.SIGTERM
			Eventually(all[n].ended).Should(BeClosed())
		}
		for n, c := range clients {
			Expect(c.read(all[2+n%3], "stream", 0)).To(Equal(http.StatusOK))
			Expect(c.whole(streamEvents)).To(BeTrue())
			Expect(versionsOf(c.ids...)).To(HaveLen(1))
		}
	})

	It("stays at the service that began it when its route splits its requests between two", func() {
		d.Config.Services = append(d.Config.Services, map[string]any{"Name": "second-model", "HealthPath": "/health", "MaxConns": 100})
		for range 2 {
			_, err := d.AddEngine(platformtest.Settings{Kind: platformtest.Model, Service: "second-model", Version: "v1", Events: streamEvents, EventInterval: 20 * time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
		}
		d.Config.Routes[2].Service = ""
		d.Config.Routes[2].Split = []platformtest.RouteTarget{{Service: "model", Weight: 50}, {Service: "second-model", Weight: 50}}
		d.PutConfig()
		for _, i := range all {
			Eventually(func() int {
				id, _ := i.ask("stream")
				return len(d.Runs("second-model", id))
			}).Should(Equal(1))
		}
		for n := range 12 {
			var c client
			Expect(c.read(all[n%3], "stream", 2)).To(Equal(http.StatusOK))
			Expect(c.read(all[(n+1)%3], "stream", 0)).To(Equal(http.StatusOK))
			Expect(c.whole(streamEvents)).To(BeTrue())
			second := 0
			for _, id := range c.ids {
				second += len(d.Runs("second-model", id))
			}
			Expect(second).To(BeElementOf(0, len(c.ids)))
		}
	})
})

var _ = Describe("a stream that nobody knows", func() {
	It("goes on while only one version has served since it can have begun", func() {
		d := deploy(2)
		d.Config.Routes[2].TimeoutMs = 1000
		d.PutConfig()
		first := start(d.Address())
		second := start(d.Address(), first.Peers)
		for _, i := range []*instance{first, second} {
			status := func() int {
				_, got := resume(i, newID(), "3")
				return got.Status
			}
			Eventually(status).Should(Equal(http.StatusOK))
			Consistently(status, 3*time.Second, 100*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})
})
