package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
})
