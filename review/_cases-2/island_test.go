package cases

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// The case "island": the machines of a zone, which the settings name as seeds, are lost for good. New ones come
// at other addresses, at first with the old seeds. Then an engine names its Server-Limit.

const (
	// limitPerSecond is what the engine says in Server-Limit.
	limitPerSecond = 10
	limitWindow    = 4 * time.Second
	// seedLag is SeedLagS: how long the settings may name machines that are gone.
	seedLag = 3 * time.Second
	// limitTime is how long the engine is in need.
	limitTime = 20 * time.Second
	// islandRate is the number of requests a second that come to each machine.
	islandRate = 12.0
)

// limitedArrival is a request at the engine in need.
type limitedArrival struct {
	at      time.Time
	machine string
}

type islandCase struct {
	*deployment
	needy *engine
	need  atomic.Bool

	mu       sync.Mutex
	named    time.Time
	arrivals []limitedArrival
	// told is when an answer with Server-Limit first went to each machine.
	told     map[string]time.Time
	statuses map[int]int
}

func runIsland(b *bench) int {
	d := b.newDeployment("marousi", "piraeus", "glyfada")
	defer d.server.Close()
	s := &islandCase{deployment: d, told: map[string]time.Time{}, statuses: map[int]int{}}
	for _, zone := range []string{"marousi", "piraeus", "glyfada"} {
		e, err := d.addEngine("membership-ledger", zone, 6)
		if err != nil {
			return exitNotRun
		}
		e.handle = func(c net.Conn, r *call) bool { return s.serve(e, c, r) }
	}
	s.needy = d.engines[0]
	d.configure(
		[]platformtest.Route{{Name: "cancel-post", PathPrefix: "/cancel/", Kind: "idempotent", TimeoutMs: 2000, SloMs: 300, Service: "membership-ledger", MaxAttempts: 2}},
		[]map[string]any{{"Name": "membership-ledger", "HealthPath": "/health", "MaxConns": 96}},
	)
	m := machine{0.4, 284}
	start := func(seeds []string, gateways ...*gateway) bool {
		for _, g := range gateways {
			l := d.newLinks(g.name)
			if l == nil || g.writeSettings(d.zones, m, seeds, l.storeView(), d.storeAddress()) != nil || g.start() != nil {
				return false
			}
			g.view = l.storeView()
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
			if g.writeSettings(d.zones, m, seeds, g.view, d.storeAddress()) != nil {
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
	d.printf("engine %s names its Server-Limit: %d", s.needy.id, limitPerSecond)
	s.need.Store(true)
	time.Sleep(limitTime)
	s.need.Store(false)
	close(stop)
	clients.Wait()
	return s.judge()
}

func addresses(gateways []*gateway) []string {
	var list []string
	for _, g := range gateways {
		list = append(list, g.peers)
	}
	return list
}

func (s *islandCase) sendAll(g *gateway, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / islandRate * float64(time.Second))):
		}
		requests.Go(func() {
			q := request{id: newID(), method: http.MethodGet, path: "/cancel/it", wait: 4 * time.Second}
			status := 0
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
			s.statuses[status]++
		})
	}
}

func (s *islandCase) serve(e *engine, c net.Conn, r *call) bool {
	machine := "?"
	if via, ok := c.(viaConn); ok {
		machine = via.machine
	}
	h := http.Header{"Cobaltcroft-Seal": {e.seal(r)}, "Cobaltcroft-Engine-Load": {"1,0,6"}}
	limited := e == s.needy && s.need.Load()
	if limited {
		h.Set("Server-Limit", "10")
		s.mu.Lock()
		s.arrivals = append(s.arrivals, limitedArrival{r.at, machine})
		if s.named.IsZero() {
			s.named = r.at
		}
		s.mu.Unlock()
	}
	s.printf("engine %s runs %s from %s, limited %v", e.id, r.id(), machine, limited)
	time.Sleep(60 * time.Millisecond)
	whole := writeAnswer(c, r, http.StatusOK, h, []byte("cancelled"))
	if limited {
		s.mu.Lock()
		if s.told[machine].IsZero() {
			s.told[machine] = time.Now()
		}
		s.mu.Unlock()
	}
	return whole
}

// judge applies the rule: from ContactMs after an engine first named its limit, it gets in some 4 s more than
// one and a half times what that allows, + 5 requests, summed over the machines that had passed on such an
// answer half a second before or earlier.
func (s *islandCase) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	byMachine := map[string]int{}
	for _, from := range s.arrivals {
		if from.at.Before(s.named.Add(contact)) {
			continue
		}
		n, counts := 0, map[string]int{}
		for _, a := range s.arrivals {
			told := s.told[a.machine]
			if since := a.at.Sub(from.at); since >= 0 && since < limitWindow && !told.IsZero() && a.at.Sub(told) >= 500*time.Millisecond {
				n++
				counts[a.machine]++
			}
		}
		if n > most {
			most, byMachine = n, counts
		}
	}
	allowed := 1.5*limitPerSecond*limitWindow.Seconds() + 5
	s.sayf("clients' answers by status: %v", s.statuses)
	s.sayf("most requests at the engine in 4 s: %d, allowed %.0f; by machine: %v", most, allowed, byMachine)
	if len(s.arrivals) < 50 {
		s.sayf("too few requests to judge")
		return exitNotRun
	}
	if float64(most) > allowed {
		s.sayf("LIMIT is broken")
		return exitBroken
	}
	s.sayf("LIMIT holds")
	return exitHeld
}
