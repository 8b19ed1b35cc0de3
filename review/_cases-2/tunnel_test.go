package cases

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// The case "tunnel": the machines of a zone are partitioned from all engines and reach them through the
// others. An engine in need answers a machine 503 with Retry-After.

const (
	// cutTime is how long the machines are partitioned; the need of the engine begins needAfter later.
	cutTime   = 5500 * time.Millisecond
	needAfter = time.Second
	// restTime is what the engine says in Retry-After.
	restTime = 4 * time.Second
	episodes = 3
	// pause is the time between two episodes.
	episodePause = 7 * time.Second
	// ratePerMachine is the number of requests a second that come to each machine.
	ratePerMachine = 2.4
)

// arrival is a request that has reached the engine in need.
type arrival struct {
	at      time.Time
	machine string
	id      string
	// refused is set if it was answered 503 with Retry-After.
	refused bool
}

type tunnelCase struct {
	*deployment
	needy atomic.Pointer[engine]

	mu       sync.Mutex
	arrivals []arrival
	statuses map[int]int
}

func runTunnel(b *bench) int {
	d := b.newDeployment("marousi", "piraeus", "glyfada")
	defer d.server.Close()
	t := &tunnelCase{deployment: d, statuses: map[int]int{}}
	for _, zone := range []string{"piraeus", "piraeus", "glyfada", "glyfada"} {
		e, err := d.addEngine("membership-ledger", zone, 6)
		if err != nil {
			return exitNotRun
		}
		e.handle = func(c net.Conn, r *call) bool { return t.serve(e, c, r) }
	}
	d.configure(
		[]platformtest.Route{{Name: "cancel-post", PathPrefix: "/cancel/", Kind: "idempotent", TimeoutMs: 2000, SloMs: 300, Service: "membership-ledger", MaxAttempts: 2}},
		[]map[string]any{{"Name": "membership-ledger", "HealthPath": "/health", "MaxConns": 96}},
	)
	var all []*links
	m := machine{0.4, 284}
	for i, zone := range []string{"marousi", "marousi", "marousi", "marousi", "marousi", "marousi", "piraeus", "glyfada"} {
		g := d.newGateway("front-"+zone+"-"+string(rune('1'+i)), zone)
		d.gateways = append(d.gateways, g)
		l := d.newLinks(g.name)
		if l == nil {
			return exitNotRun
		}
		defer l.server.Close()
		all = append(all, l)
	}
	seeds := []string{d.gateways[0].peers, d.gateways[6].peers, d.gateways[7].peers}
	for i, g := range d.gateways {
		if g.writeSettings(d.zones, m, seeds, all[i].storeView(), d.storeAddress()) != nil || g.start() != nil {
			return exitNotRun
		}
	}
	if !waitReady(d.gateways, 2*contact) {
		d.sayf("the processes are not ready")
		return exitNotRun
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range d.gateways {
		clients.Go(func() { t.sendAll(g, stop) })
	}
	time.Sleep(2 * contact)
	cut := func(cut bool) bool {
		if !b.trouble {
			return true
		}
		d.printf("the machines of marousi are partitioned from all engines: %v", cut)
		for _, l := range all[:6] {
			if l.setCut(cut) != nil {
				return false
			}
		}
		return true
	}
	for n := range episodes {
		if !cut(true) {
			return exitNotRun
		}
		time.Sleep(needAfter)
		e := d.engines[2+n%2]
		d.printf("engine %s in glyfada is in need", e.id)
		t.needy.Store(e)
		time.Sleep(cutTime - needAfter)
		t.needy.Store(nil)
		d.printf("engine %s is well", e.id)
		if !cut(false) {
			return exitNotRun
		}
		time.Sleep(episodePause)
	}
	close(stop)
	clients.Wait()
	return t.judge()
}

// sendAll sends requests to a machine, each on a new connection, at random times.
func (t *tunnelCase) sendAll(g *gateway, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / ratePerMachine * float64(time.Second))):
		}
		requests.Go(func() {
			q := request{id: newID(), method: http.MethodGet, path: "/cancel/it", wait: 4 * time.Second}
			status, whole := 0, false
			if c, err := dialClient(g.requests); err == nil {
				defer c.Close()
				if response, err := c.send(q); err == nil {
					status = response.StatusCode
					_, err := io.Copy(io.Discard, response.Body)
					whole = err == nil
				}
			}
			t.printf("client: request %s at %s: status %d, whole %v", q.id, g.name, status, whole)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.statuses[status]++
		})
	}
}

func (t *tunnelCase) serve(e *engine, c net.Conn, r *call) bool {
	machine := "?"
	if via, ok := c.(viaConn); ok {
		machine = via.machine
	}
	a := arrival{at: r.at, machine: machine, id: e.id, refused: t.needy.Load() == e}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
	t.mu.Unlock()
	t.printf("engine %s gets %s from %s, refuses it %v", e.id, r.id(), machine, a.refused)
	if a.refused {
		return writeAnswer(c, r, http.StatusServiceUnavailable, http.Header{"Cobaltcroft-Not-Run": {"1"}, "Retry-After": {"4"}, "Cobaltcroft-Engine-Load": {"6,24,6"}}, nil)
	}
	time.Sleep(60 * time.Millisecond)
	return writeAnswer(c, r, http.StatusOK, http.Header{"Cobaltcroft-Seal": {e.seal(r)}, "Cobaltcroft-Engine-Load": {"1,0,6"}}, []byte("cancelled"))
}

// judge applies the rule: more than two requests reach an engine from a machine between half a second after
// it has answered that machine 503 with Retry-After and the end of that time.
func (t *tunnelCase) judge() int {
	most := 0
	var worst arrival
	for _, answered := range t.arrivals {
		if !answered.refused {
			continue
		}
		n := 0
		for _, a := range t.arrivals {
			since := a.at.Sub(answered.at)
			if a.id == answered.id && a.machine == answered.machine && since > 500*time.Millisecond && since < restTime {
				n++
			}
		}
		if n > most {
			most, worst = n, answered
		}
	}
	t.sayf("clients' answers by status: %v", t.statuses)
	t.sayf("most requests that reached an engine from a machine that it had told to wait: %d (engine %s, machine %s)", most, worst.id, worst.machine)
	if len(t.arrivals) < 100 {
		t.sayf("too few requests to judge")
		return exitNotRun
	}
	if most > 2 {
		t.sayf("BUDGET is broken")
		return exitBroken
	}
	t.sayf("BUDGET holds")
	return exitHeld
}
