package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// The case "restart": all processes are killed at once while clients read resumable streams. The clients
// take their streams up again, also once the processes have been in touch for ContactMs.

const (
	// streamEvents and streamPause make a stream last for ten seconds.
	streamEvents = 50
	streamPause  = 200 * time.Millisecond
	// downTime is how long the processes are away.
	downTime = 1400 * time.Millisecond
	// clientDeadline is the time that a client waits, from its first attempt.
	clientDeadline = 20 * time.Second
	restartReaders = 30
)

// resumeAfter are the pauses after a broken connection and after each failed attempt. All are below the
// eight seconds without an event (four times the objective) after which a client gives a stream up.
var resumeAfter = []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond}

// attempt is one attempt to begin a stream or to take one up.
type attempt struct {
	at      time.Time
	gateway *gateway
	resumed bool
	status  int
	events  int
}

type streamReader struct {
	*deployment
	mu       sync.Mutex
	attempts []attempt
	wrong    int
	// broken is closed when the clients' connections break, where the processes are not killed.
	broken chan struct{}
}

func runRestart(b *bench) int {
	d := b.newDeployment("marousi", "piraeus", "glyfada")
	defer d.server.Close()
	for _, zone := range []string{"marousi", "marousi", "piraeus", "piraeus", "glyfada"} {
		e, err := d.addEngine("cobalt-llm", zone, 64)
		if err != nil {
			return exitNotRun
		}
		e.handle = func(c net.Conn, r *call) bool { return d.serveStream(e, c, r) }
	}
	d.configure(
		[]platformtest.Route{{Name: "desk-assist", PathPrefix: "/desk/", Kind: "stream", TimeoutMs: 20000, SloMs: 2000, Service: "cobalt-llm", MaxAttempts: 2, StreamResume: true}},
		[]map[string]any{{"Name": "cobalt-llm", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{"Slots": 64, "KvCapacity": 500000}}},
	)
	if !d.startGateways(machine{0.4, 284}, "marousi", "piraeus", "glyfada") {
		d.sayf("the processes are not ready")
		return exitNotRun
	}
	s := &streamReader{deployment: d, broken: make(chan struct{})}
	time.Sleep(10 * time.Second)
	var readers sync.WaitGroup
	for n := range restartReaders {
		readers.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			s.read(n)
		})
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		d.printf("all processes are killed")
		var killed sync.WaitGroup
		for _, g := range d.gateways {
			killed.Go(g.kill)
		}
		killed.Wait()
		time.Sleep(downTime)
		for _, g := range d.gateways {
			if g.start() != nil {
				return exitNotRun
			}
		}
	} else {
		d.printf("the clients' connections break")
		close(s.broken)
		time.Sleep(downTime)
	}
	back := time.Now()
	// New streams begin while the clients take up theirs.
	for n := range restartReaders {
		readers.Go(func() {
			time.Sleep(contact + 500*time.Millisecond + time.Duration(n)*50*time.Millisecond)
			s.begin(restartReaders + n)
		})
	}
	readers.Wait()
	return s.judge(back)
}

// serveStream runs a request as a model engine does: events with rising ids, from Last-Event-Id on.
func (d *deployment) serveStream(e *engine, c net.Conn, r *call) bool {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	d.printf("engine %s (%s) runs %s from event %d on", e.id, e.version, r.id(), first)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nCobaltcroft-Request-Id: %s\r\nCobaltcroft-Seal: %s\r\nCobaltcroft-Engine-Load: 1,0,64\r\n\r\n", r.id(), e.seal(r)); err != nil {
		return false
	}
	for n := first; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(streamPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// try makes one attempt on a new connection and reads events until the stream ends or breaks. It returns
// the last event's id.
func (s *streamReader) try(g *gateway, id string, last int, resumes string, wait time.Duration, most int) (reached int, complete bool) {
	q := request{id: id, method: http.MethodPost, path: "/desk/chat", body: "a question", wait: wait, header: map[string]string{
		"Cobaltcroft-Model": "m", "Cobaltcroft-Token-Count": "628,300", "Cobaltcroft-Prefix-Hash": "5c1e07a2:119," + id[:8] + ":509",
	}}
	if resumes != "" {
		q.header["Resumes"], q.header["Last-Event-Id"] = resumes, strconv.Itoa(last)
	}
	a := attempt{at: time.Now(), gateway: g, resumed: resumes != ""}
	reached = last
	c, err := dialClient(g.requests)
	if err == nil {
		defer c.Close()
		if resumes == "" && most == 0 {
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				select {
				case <-s.broken:
					_ = c.Close()
				case <-stop:
				}
			}()
		}
		var response *http.Response
		if response, err = c.send(q); err == nil {
			a.status = response.StatusCode
			if a.status == http.StatusOK {
				reached, complete = s.events(response.Body, last, most)
				a.events = reached - last
			}
		}
	}
	s.printf("client: request %s at %s, taken up again %v from event %d: status %d, %d events, whole %v (%v)", id, g.name, a.resumed, last, a.status, a.events, complete, err)
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	return reached, complete
}

// events reads events and checks that none is missing or comes twice.
func (s *streamReader) events(body io.Reader, last, most int) (reached int, complete bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n != last+1 {
			s.mu.Lock()
			s.wrong++
			s.mu.Unlock()
		}
		if last = n; most > 0 && last >= most {
			return last, false
		}
	}
	return last, lines.Err() == nil && last == streamEvents
}

// read begins a stream and takes it up again each time that its connection breaks, until its deadline.
func (s *streamReader) read(n int) {
	begun := time.Now()
	first := newID()
	last, complete := s.try(s.gateways[n%len(s.gateways)], first, 0, "", clientDeadline, 0)
	if last == 0 {
		return
	}
	for k, pause := range resumeAfter {
		left := clientDeadline - time.Since(begun) - pause
		if complete || left <= 0 {
			return
		}
		time.Sleep(pause)
		last, complete = s.try(s.gateways[(n+k+1)%len(s.gateways)], newID(), last, first, left, 0)
	}
}

// begin begins a stream and leaves it after some events.
func (s *streamReader) begin(n int) {
	s.try(s.gateways[n%len(s.gateways)], newID(), 0, "", clientDeadline, 3)
}

// judge applies the rule: of 12 or more streams that clients take up again at machines in touch, while two
// engines of their software version serve, the share that goes on is under half of the share of new
// streams that begin.
func (s *streamReader) judge(back time.Time) int {
	var resumed, goneOn, begun, new int
	for _, a := range s.attempts {
		if a.at.Before(back) || s.trouble && a.at.Before(a.gateway.startedAt().Add(contact)) {
			continue
		}
		switch {
		case a.resumed:
			resumed++
			goneOn += min(1, a.events)
		default:
			new++
			begun += min(1, a.events)
		}
	}
	if !s.trouble {
		// Most streams have gone on before the processes would have been back.
		resumed, goneOn = 0, 0
		for _, a := range s.attempts {
			if a.resumed {
				resumed++
				goneOn += min(1, a.events)
			}
		}
	}
	s.sayf("taken up again at machines in touch: %d, gone on: %d; new streams: %d, begun: %d; events out of order: %d", resumed, goneOn, new, begun, s.wrong)
	switch {
	case resumed < 12 || begun < 12:
		s.sayf("too few streams to judge")
		return exitNotRun
	case float64(goneOn)/float64(resumed) < 0.5*float64(begun)/float64(new):
		s.sayf("LOST is broken")
		return exitBroken
	}
	s.sayf("LOST holds")
	return exitHeld
}
