package cases

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a model engine that writes streams. Its incarnations share an id and an address.
type engine struct {
	stage   *stage
	id      string
	service string
	zone    string
	events  int
	pause   time.Duration

	mu      sync.Mutex
	address string
	version string
	born    time.Time
	seq     int
	server  *http.Server
	running int
	// staged is set if the engine wants the results of stages.
	staged bool
}

// startEngine starts an engine and registers it in the store.
func (s *stage) startEngine(id, service, zone, version string, events int, pause time.Duration) (*engine, error) {
	e := &engine{stage: s, id: id, service: service, zone: zone, events: events, pause: pause, address: "127.0.0.1:0"}
	if err := e.start(version); err != nil {
		return nil, err
	}
	e.register()
	s.onClose(e.crash)
	return e, nil
}

// start starts an incarnation at the engine's address.
func (e *engine) start(version string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.address, e.version, e.born, e.seq, e.running = listener.Addr().String(), version, time.Now(), 0, 0
	e.server = &http.Server{Handler: e.handler(version), ReadHeaderTimeout: time.Minute}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the incarnation: its connections are reset or closed in the middle of what they carry.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.stage.store.Put("servers/"+e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": 64, "State": "ready",
		"ColdLeftMs": 0, "Seq": e.seq, "born": e.born.UnixMilli(), "Stage": "both", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}},
	})
}

// handler serves one incarnation.
func (e *engine) handler(version string) http.Handler {
	born := e.born
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/health":
			w.Header().Set("Cobaltcroft-Instance", e.id)
		case "/cobaltcroft/report":
			e.mu.Lock()
			running := e.running
			e.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "both", "BusySlots": false, "Seq": 0, "Waiting": 0, "Running": running, "KvUsed": 0, "KvTotal": 500000, "Handles": 0, "born": born.UnixMilli()})
		default:
			e.stream(w, r, version)
		}
	})
}

// stream answers a request with events, from the one after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, version string) {
	id := r.Header.Get("Cobaltcroft-Request-Id")
	h := w.Header()
	h.Set("Cobaltcroft-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expect := r.Header.Get("Cobaltcroft-Expect-Instance"); expect != "" && expect != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	inputs := r.Header.Get("Cobaltcroft-Inputs")
	if e.staged && inputs == "" {
		h.Set("Cobaltcroft-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.running++
	h.Set("Cobaltcroft-Engine-Load", fmt.Sprintf("%d,0,64", e.running))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h.Set("Cobaltcroft-Seal", e.id+"."+id)
	h.Set("Cobaltcroft-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.stage.notef("engine %s, software %s, runs %s from event %d on, inputs %q", e.id, version, id, last+1, inputs)
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s/%d\n\n", n, version, id, n); err != nil || flusher.Flush() != nil {
			return
		}
	}
}

// streamClient is one client with one stream, which it takes up again at other gateways.
type streamClient struct {
	stage *stage
	name  string
	// first is the id of the attempt that brought the first event, last the id of the last event.
	first    string
	last     int
	versions []string
	events   int
	complete bool
	statuses []string
}

// receive makes one attempt and reports whether the stream is complete. cut ends the client's connection.
func (c *streamClient) receive(to *gateway, attempt int, path string, deadline time.Duration, cut <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	id := fmt.Sprintf("%s.%d", c.name, attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.requests+path, http.NoBody)
	if err != nil {
		c.statuses = append(c.statuses, err.Error())
		return
	}
	request.Host = hostName
	request.Header.Set("Cobaltcroft-Request-Id", id)
	request.Header.Set("Cobaltcroft-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Cobaltcroft-Model", "m")
	request.Header.Set("Cobaltcroft-Token-Count", "300,100")
	request.Header.Set("Cobaltcroft-Prefix-Hash", fmt.Sprintf("aa01:100,%x:200", c.name))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if c.first != "" {
		request.Header.Set("Resumes", c.first)
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	c.stage.notef("client %s sends attempt %s to %s, after event %d", c.name, id, to.name, c.last)
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		c.statuses = append(c.statuses, "no answer")
		c.stage.notef("client %s gets no answer to %s: %v", c.name, id, err)
		return
	}
	defer response.Body.Close()
	c.statuses = append(c.statuses, strconv.Itoa(response.StatusCode))
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		c.stage.notef("client %s gets %d to %s: %.80s", c.name, response.StatusCode, id, text)
		return
	}
	begin := c.events
	reader := bufio.NewReader(response.Body)
	var number int
	var version string
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "":
			c.complete = true
			c.stage.notef("client %s has all of %s, %d events of it in this attempt", c.name, id, c.events-begin)
			return
		case err != nil:
			c.stage.notef("client %s: the answer to %s breaks off after event %d: %v", c.name, id, c.last, err)
			return
		case line == "\n":
			c.event(id, number, version)
		default:
			_, _ = fmt.Sscanf(line, "id: %d", &number)
			_, _ = fmt.Sscanf(line, "event: %s", &version)
		}
	}
}

func (c *streamClient) event(id string, number int, version string) {
	if c.first == "" {
		c.first = id
	}
	c.last = number
	c.events++
	if len(c.versions) == 0 || c.versions[len(c.versions)-1] != version {
		c.versions = append(c.versions, version)
		c.stage.notef("client %s gets event %d of software %s in the answer to %s", c.name, number, version, id)
	}
}
