package cases

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// The case "brittle": the machines of a zone, which the settings name as seeds, are lost for good. New ones
// come at other addresses, at first with the old seeds. Then the engines of a service are brittle for a time.

const (
	// bears is N of Server-Brittle.
	bears = 5
	// brittleSlots is the number of requests that an engine runs at once, brittleWork how long each takes.
	brittleSlots = 6
	brittleWork  = 60 * time.Millisecond
	// brittleRate is the number of requests a second that come to each machine.
	brittleRate = 30.0
	// brittleQueue is the number of requests that may wait at an engine while it is not brittle.
	brittleQueue = 24
	// fallTime is after how long an engine that fell over is back.
	fallTime = 3 * time.Second
	// seedLag is SeedLagS: how long the settings may name machines that are gone.
	seedLag = 3 * time.Second
	// brittleTime is how long the engines are brittle.
	brittleTime = 20 * time.Second
)

// brittleEngine is the state of one engine.
type brittleEngine struct {
	// places are taken by the requests that run; waiting are those that wait for one.
	places     chan struct{}
	running    int
	waiting    int
	down       bool
	rejections []time.Time
	rejected   int
}

type brittleCase struct {
	*deployment

	mu       sync.Mutex
	engines  map[*engine]*brittleEngine
	since    time.Time
	brittle  bool
	falls    int
	lost     int
	statuses map[int]int
	later    map[int]int
}

func runBrittle(b *bench) int {
	d := b.newDeployment("marousi", "piraeus", "glyfada")
	defer d.server.Close()
	s := &brittleCase{deployment: d, engines: map[*engine]*brittleEngine{}, statuses: map[int]int{}, later: map[int]int{}}
	for _, zone := range []string{"marousi", "piraeus", "glyfada"} {
		e, err := d.addEngine("membership-ledger", zone, brittleSlots)
		if err != nil {
			return exitNotRun
		}
		s.engines[e] = &brittleEngine{places: make(chan struct{}, brittleSlots)}
		e.handle = func(c net.Conn, r *call) bool { return s.serve(e, c, r) }
	}
	d.configure(
		[]platformtest.Route{{Name: "renewal-post", PathPrefix: "/renew/", Kind: "non_idempotent", TimeoutMs: 2000, SloMs: 300, Service: "membership-ledger", MaxAttempts: 1}},
		[]map[string]any{{"Name": "membership-ledger", "HealthPath": "/health", "MaxConns": 96}},
	)
	m := machine{0.4, 284}
	start := func(seeds []string, gateways ...*gateway) bool {
		for _, g := range gateways {
			if g.writeSettings(d.zones, m, seeds, d.storeAddress(), d.storeAddress()) != nil || g.start() != nil {
				return false
			}
		}
		return waitReady(gateways, 2*contact)
	}
	var first, stay, later []*gateway
	for n := range 3 {
		first = append(first, d.newGateway("front-marousi-"+string(rune('1'+n)), "marousi"))
		later = append(later, d.newGateway("front-marousi-"+string(rune('4'+n)), "marousi"))
	}
	for n, zone := range []string{"piraeus", "piraeus", "glyfada"} {
		stay = append(stay, d.newGateway("front-"+zone+"-"+string(rune('1'+n)), zone))
	}
	seeds := addresses(first)
	if !start(seeds, append(append([]*gateway{}, first...), stay...)...) {
		d.sayf("the processes are not ready")
		return exitNotRun
	}
	time.Sleep(2 * contact)
	serving := append(append([]*gateway{}, first...), stay...)
	if b.trouble {
		d.printf("the machines of marousi are lost for good; the settings name them as seeds")
		lost := time.Now()
		for _, g := range first {
			g.kill()
		}
		time.Sleep(time.Second)
		d.printf("three new machines start at other addresses; their settings still name the old seeds")
		if !start(seeds, later...) {
			d.sayf("the new processes are not ready")
			return exitNotRun
		}
		time.Sleep(time.Until(lost.Add(seedLag)))
		d.printf("the settings of all machines name machines that run; each gets SIGHUP")
		seeds = addresses(stay)
		serving = append(append([]*gateway{}, stay...), later...)
		for _, g := range serving {
			if g.writeSettings(d.zones, m, seeds, d.storeAddress(), d.storeAddress()) != nil {
				return exitNotRun
			}
			_ = g.command.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(4 * contact)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range serving {
		clients.Go(func() { s.sendAll(g, stop) })
	}
	time.Sleep(contact)
	d.printf("the engines are brittle: Server-Brittle: %d", bears)
	s.mu.Lock()
	s.since, s.brittle = time.Now(), true
	s.mu.Unlock()
	time.Sleep(brittleTime)
	s.mu.Lock()
	s.brittle = false
	s.mu.Unlock()
	close(stop)
	clients.Wait()
	return s.judge()
}

func (s *brittleCase) sendAll(g *gateway, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / brittleRate * float64(time.Second))):
		}
		requests.Go(func() {
			q := request{id: newID(), method: http.MethodPost, path: "/renew/it", body: "renewal", wait: 4 * time.Second}
			sent, status := time.Now(), 0
			if c, err := dialClient(g.requests); err == nil {
				defer c.Close()
				if response, err := c.send(q); err == nil {
					status = response.StatusCode
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}
			s.printf("client: request %s at %s: status %d", q.id, g.name, status)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.since.IsZero() || sent.Before(s.since.Add(contact)) {
				s.statuses[status]++
				return
			}
			s.later[status]++
		})
	}
}

func (s *brittleCase) serve(e *engine, c net.Conn, r *call) bool {
	h := http.Header{"Cobaltcroft-Engine-Load": {"0,0,6"}}
	s.mu.Lock()
	b := s.engines[e]
	if s.brittle {
		h.Set("Server-Brittle", strconv.Itoa(bears))
	}
	h.Set("Cobaltcroft-Engine-Load", strconv.Itoa(b.running)+","+strconv.Itoa(b.waiting)+","+strconv.Itoa(brittleSlots))
	if b.down {
		s.mu.Unlock()
		return false
	}
	most := brittleQueue
	if s.brittle && r.at.After(s.since.Add(contact)) {
		most = 0
	}
	if b.running+b.waiting >= brittleSlots+most {
		b.rejected++
		falls := s.reject(b, r.at)
		running := b.running
		if falls {
			b.down = true
			s.falls++
			s.lost += running
		}
		s.mu.Unlock()
		s.printf("engine %s turns %s away", e.id, r.id())
		if falls {
			s.fall(e, b, running)
			return false
		}
		h.Set("Cobaltcroft-Not-Run", "1")
		return writeAnswer(c, r, http.StatusServiceUnavailable, h, nil)
	}
	b.waiting++
	s.mu.Unlock()
	b.places <- struct{}{}
	defer func() { <-b.places }()
	s.mu.Lock()
	b.waiting--
	b.running++
	s.mu.Unlock()
	s.printf("engine %s runs %s", e.id, r.id())
	time.Sleep(brittleWork)
	s.mu.Lock()
	b.running--
	s.mu.Unlock()
	h.Set("Cobaltcroft-Seal", e.seal(r))
	return writeAnswer(c, r, http.StatusOK, h, []byte("renewed"))
}

// reject counts a rejection and reports whether the engine falls over. The caller holds the lock.
func (s *brittleCase) reject(b *brittleEngine, at time.Time) bool {
	if !s.brittle || at.Before(s.since.Add(contact)) {
		return false
	}
	recent := []time.Time{at}
	for _, before := range b.rejections {
		if at.Sub(before) < time.Second {
			recent = append(recent, before)
		}
	}
	b.rejections = recent
	return len(recent) > bears
}

// fall ends the engine. It starts again under its id after some seconds.
func (s *brittleCase) fall(e *engine, b *brittleEngine, running int) {
	s.printf("engine %s falls over with %d requests that it runs", e.id, running)
	e.crash()
	time.AfterFunc(fallTime, func() {
		e.mu.Lock()
		e.bornMs = time.Now().UnixMilli()
		e.mu.Unlock()
		s.mu.Lock()
		b.down, b.rejections = false, nil
		s.mu.Unlock()
		if err := e.open(); err != nil {
			s.printf("engine %s cannot start: %v", e.id, err)
			return
		}
		s.store.Put("servers/"+e.id, e.entry("ready"))
		s.printf("engine %s is back", e.id)
	})
}

// judge applies the rule: in one time in which a service's engines say that they are brittle, they fall over
// more often than 2 + a tenth of their number.
func (s *brittleCase) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := 0
	for _, b := range s.engines {
		rejected += b.rejected
	}
	s.sayf("clients' answers by status: %v before the engines could fall over, %v from then on", s.statuses, s.later)
	s.sayf("falls: %d (2 allowed), with %d requests that the engines had begun to run; turned away in all: %d", s.falls, s.lost, rejected)
	switch {
	case s.later[http.StatusOK] < 100:
		s.sayf("too few requests to judge")
		return exitNotRun
	case float64(s.falls) > 2+0.1*float64(len(s.engines)):
		s.sayf("LIMIT is broken")
		return exitBroken
	}
	s.sayf("LIMIT holds")
	return exitHeld
}

func addresses(gateways []*gateway) []string {
	var list []string
	for _, g := range gateways {
		list = append(list, g.peers)
	}
	return list
}
