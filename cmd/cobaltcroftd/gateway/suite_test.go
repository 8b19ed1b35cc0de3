package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroftd/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "gateway")
}

// instance is a gateway under test.
type instance struct {
	gateway.Addresses
	signals chan os.Signal
	ended   chan struct{}
	path    string
}

// start starts an instance that uses the given store, and waits until it is ready.
func start(store string, peers ...string) *instance {
	i := launch(store, peers...)
	Eventually(i.ready).Should(BeTrue())
	return i
}

// startGroup starts a number of instances that know each other.
func startGroup(store string, n int) []*instance {
	all := []*instance{start(store)}
	for len(all) < n {
		all = append(all, start(store, all[0].Peers))
	}
	return all
}

func launch(store string, peers ...string) *instance {
	return launchWith(func(*settings.Gateway) {}, store, peers...)
}

// launchWith starts an instance with changed settings.
func launchWith(change func(*settings.Gateway), store string, peers ...string) *instance {
	path := filepath.Join(GinkgoT().TempDir(), "settings.json")
	s := settings.GatewayDefaults()
	s.Instance = fmt.Sprintf("instance-%d", time.Now().UnixNano())
	s.FailureDomain = "zone-a"
	s.Regions = map[string]string{"zone-a": "region-a", "zone-b": "region-b"}
	s.Listen = settings.GatewayListen{Requests: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.StopGraceSeconds = 4
	s.Peers, s.PeerToken, s.Store = peers, "a shared token", store
	s.Retries = settings.GatewayRetries{Ratio: 1, Slack: 100, WindowSeconds: 10}
	// The instances, the engines and the clients share one process, whose waits are those of all of them.
	s.MaxProcessorWaitMs = 0
	change(&s)
	data, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	read, err := settings.ReadGateway(path)
	Expect(err).NotTo(HaveOccurred())
	g, err := gateway.New(path, read, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	i := &instance{Addresses: g.Addresses(), signals: make(chan os.Signal, 4), ended: make(chan struct{}), path: path}
	go func() {
		defer close(i.ended)
		_ = g.Run(i.signals)
	}()
	DeferCleanup(i.kill)
	return i
}

// kill stops the instance immediately.
func (i *instance) kill() {
	select {
	case i.signals <- syscall.SIGTERM:
	case <-i.ended:
	}
	select {
	case i.signals <- syscall.SIGTERM:
	case <-i.ended:
	}
	<-i.ended
}

func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.Readiness + "/cobaltcroft/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is the response received by a client.
type answer struct {
	Status int
	Header http.Header
	Body   string
	// Whole is set if the response is complete.
	Whole bool
}

var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("request-%d", requestNumber.Add(1)) }

func (i *instance) request(method, route, id, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+i.Requests+"/"+route+"/x", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = platformtest.Host
	r.Header.Set("Authorization", "Bearer "+platformtest.APIKey)
	r.Header.Set("Cobaltcroft-Request-Id", id)
	r.Header.Set("Cobaltcroft-Deadline-Ms", "5000")
	return r
}

// get returns the response of the instance's operator API for a path.
func (i *instance) get(path string) string {
	response, err := http.Get("http://" + i.Metrics + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// staged returns a request with three chained stages and an independent one.
func (i *instance) staged(id string) *http.Request {
	r := i.request(http.MethodPost, "staged", id, "")
	r.Header.Set("Cobaltcroft-Pieces", "1,3,2,2")
	r.Header.Set("Cobaltcroft-Piece-Key", "key-of-"+id)
	return r
}

// traffic sends concurrent requests, one per route, and returns the statuses.
func traffic(i *instance, routes ...string) []int {
	var statuses []int
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, route := range routes {
		group.Go(func() {
			defer GinkgoRecover()
			r := i.request(http.MethodPost, route, newID(), "")
			if route == "staged" {
				r = i.staged(newID())
			}
			got := send(r)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, got.Status)
		})
	}
	group.Wait()
	return statuses
}

func send(r *http.Request) answer {
	// Without keep-alive the client never retries a request.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Whole: err == nil}
}

// ask sends a request on a route.
func (i *instance) ask(route string) (string, answer) {
	id := newID()
	return id, send(i.request(http.MethodPost, route, id, "the body"))
}

// events returns the body of a complete stream.
func events(id string, n int) string {
	var b strings.Builder
	for e := 1; e <= n; e++ {
		b.WriteString(platformtest.StreamEvent(id, e))
	}
	return b.String()
}

// deploy starts a deployment with the given number of engines per service.
func deploy(each int) *platformtest.Deployment {
	d, err := platformtest.NewDeployment(each)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}

// unresponsiveAddress returns an address at which nothing answers.
func unresponsiveAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	// The listener stays open but accepts nothing, so that the port is not reused.
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

// raw sends bytes on a new connection and returns a reader for the reply.
func (i *instance) raw(bytes string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", i.Requests)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(c, bytes)
	Expect(err).NotTo(HaveOccurred())
	return c, bufio.NewReader(c)
}

func withCancel(r *http.Request) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	return r.WithContext(ctx), cancel
}
