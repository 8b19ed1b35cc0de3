package cases

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// The case "parts": one part of a prompt crashes each engine that begins to write an answer on it. The
// prompts have many parts, and the fatal one stands behind the others.

const (
	// defaultParts is the number of sound parts that all prompts share. PARTS in the environment sets
	// another number.
	defaultParts = 32
	fatalPart    = "dead0001:30"
	// backAfter is after how long a crashed engine is back.
	backAfter = 3 * time.Second
	// soundPerSecond and fatalPerSecond are the rates of the requests of all clients together.
	soundPerSecond = 6.0
	fatalPerSecond = 1.5
	partsLength    = 35 * time.Second
)

type partsCase struct {
	*deployment
	shared []string

	mu sync.Mutex
	// arrivals are the times at which requests with the fatal part have reached engines, crashes those at
	// which engines have crashed.
	arrivals []time.Time
	crashes  []time.Time
	sound    []soundRequest
}

// soundRequest is a request without the fatal part.
type soundRequest struct {
	at    time.Time
	begun bool
	whole bool
}

func runParts(b *bench) int {
	d := b.newDeployment("marousi", "piraeus", "glyfada")
	defer d.server.Close()
	p := &partsCase{deployment: d}
	number := defaultParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil && n > 0 {
		number = n
	}
	for n := range number {
		p.shared = append(p.shared, fmt.Sprintf("5c%06x:20", n))
	}
	for _, zone := range []string{"marousi", "marousi", "piraeus", "piraeus", "glyfada", "glyfada"} {
		e, err := d.addEngine("cobalt-llm", zone, 64)
		if err != nil {
			return exitNotRun
		}
		e.handle = func(c net.Conn, r *call) bool { return p.serve(e, c, r) }
	}
	d.configure(
		[]platformtest.Route{{Name: "desk-assist", PathPrefix: "/desk/", Kind: "stream", TimeoutMs: 15000, SloMs: 2000, Service: "cobalt-llm", MaxAttempts: 1, Affinity: true}},
		[]map[string]any{{"Name": "cobalt-llm", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{"Slots": 64, "KvCapacity": 500000}}},
	)
	if !d.startGateways(machine{0.4, 284}, "marousi", "piraeus", "glyfada") {
		d.sayf("the processes are not ready")
		return exitNotRun
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { p.sendAll(soundPerSecond, false, &clients, stop) })
	time.Sleep(2 * contact)
	clients.Go(func() { p.sendAll(fatalPerSecond, true, &clients, stop) })
	time.Sleep(partsLength)
	close(stop)
	clients.Wait()
	return p.judge()
}

// sendAll sends requests to machines at random, at random times.
func (p *partsCase) sendAll(perSecond float64, fatal bool, clients *sync.WaitGroup, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		clients.Go(func() { p.send(p.gateways[rand.IntN(len(p.gateways))], fatal) })
	}
}

// send sends one request on a new connection. No two are alike.
func (p *partsCase) send(g *gateway, fatal bool) {
	id := newID()
	parts := slices.Clone(p.shared)
	if fatal {
		parts = append(parts, fatalPart)
	}
	parts = append(parts, id[:8]+":200")
	q := request{id: id, method: http.MethodPost, path: "/desk/chat", body: "question " + id, wait: 15 * time.Second, header: map[string]string{
		"Cobaltcroft-Model": "m", "Cobaltcroft-Token-Count": "1030,100", "Cobaltcroft-Prefix-Hash": strings.Join(parts, ","),
	}}
	begun := time.Now()
	status, bytes := 0, int64(0)
	c, err := dialClient(g.requests)
	if err == nil {
		defer c.Close()
		var response *http.Response
		if response, err = c.send(q); err == nil {
			status = response.StatusCode
			bytes, err = io.Copy(io.Discard, response.Body)
		}
	}
	p.printf("client: request %s at %s, with the fatal part %v: status %d, %d bytes (%v)", id, g.name, fatal, status, bytes, err)
	if !fatal {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sound = append(p.sound, soundRequest{begun, status == http.StatusOK && bytes > 0, status == http.StatusOK && err == nil})
	}
}

func (p *partsCase) serve(e *engine, c net.Conn, r *call) bool {
	fields := strings.Split(r.Header.Get("Cobaltcroft-Prefix-Hash"), ",")
	fatal := slices.Contains(fields[:len(fields)-1], fatalPart)
	p.printf("engine %s runs %s, with the fatal part %v", e.id, r.id(), fatal)
	if fatal {
		p.mu.Lock()
		p.arrivals = append(p.arrivals, r.at)
		p.mu.Unlock()
	}
	time.Sleep(30 * time.Millisecond)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nCobaltcroft-Request-Id: %s\r\nCobaltcroft-Seal: %s\r\nCobaltcroft-Engine-Load: 1,0,64\r\n\r\n", r.id(), e.seal(r)); err != nil {
		return false
	}
	for n := 1; n <= 10; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if fatal && p.trouble {
			time.Sleep(20 * time.Millisecond)
			p.crash(e)
			return false
		}
		time.Sleep(60 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// crash ends an engine. It starts again under its id after some seconds, and writes its entry.
func (p *partsCase) crash(e *engine) {
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.printf("engine %s crashes (crash %d)", e.id, n)
	e.crash()
	time.AfterFunc(backAfter, func() {
		e.mu.Lock()
		e.bornMs = time.Now().UnixMilli()
		e.mu.Unlock()
		if err := e.open(); err != nil {
			p.printf("engine %s cannot start: %v", e.id, err)
			return
		}
		p.store.Put("servers/"+e.id, e.entry("ready"))
		p.printf("engine %s is back", e.id)
	})
}

// judge applies the rule: more than three requests with a part that crashes engines reach engines, sent by
// machines in touch later than ContactMs after the fifth crash.
func (p *partsCase) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	var before, beforeBegun, after, afterBegun, cut int
	for _, at := range p.arrivals {
		if len(p.crashes) >= 5 && at.After(p.crashes[4].Add(contact)) {
			late++
		}
	}
	for _, s := range p.sound {
		begun := 0
		if s.begun {
			begun = 1
		}
		switch {
		case len(p.crashes) == 0 || s.at.Before(p.crashes[0]):
			before++
			beforeBegun += begun
		case len(p.crashes) >= 5 && s.at.After(p.crashes[4].Add(2*contact)):
			after++
			afterBegun += begun
		}
		if s.begun && !s.whole {
			cut++
		}
	}
	p.sayf("crashes: %d; requests with the fatal part that reached engines: %d, of these later than ContactMs after the fifth crash: %d", len(p.crashes), len(p.arrivals), late)
	p.sayf("sound requests begun at the first attempt: %d of %d before the first crash, %d of %d from 2 x ContactMs after the fifth; sound streams that began and were lost midway: %d", beforeBegun, before, afterBegun, after, cut)
	if len(p.sound) < 50 || !p.trouble && len(p.arrivals) < 10 || p.trouble && len(p.crashes) == 0 {
		p.sayf("too few requests to judge")
		return exitNotRun
	}
	if late > 3 {
		p.sayf("BUDGET is broken")
		return exitBroken
	}
	p.sayf("BUDGET holds")
	return exitHeld
}
