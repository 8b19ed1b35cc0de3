package cases

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	at time.Time
	id string
	// ended is set if the server has run it to its end.
	ended bool
}

// server is an engine of a simple service: it works for some time and answers with a body.
type server struct {
	stage   *stage
	id      string
	service string
	zone    string
	work    time.Duration
	address string
	born    time.Time
	http    *http.Server

	mu       sync.Mutex
	leaving  bool
	limit    int
	running  int
	arrivals []*arrival
}

// startServer starts a server and registers it in the store.
func (s *stage) startServer(id, service, zone string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &server{stage: s, id: id, service: service, zone: zone, work: work, address: listener.Addr().String(), born: time.Now()}
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(listener) }()
	s.onClose(e.end)
	s.store.Put("servers/"+id, map[string]any{
		"Service": service, "Address": e.address, "Zone": zone, "Version": "4.1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": e.born.UnixMilli(),
	})
	return e, nil
}

// leave makes the server say in all its answers that it leaves, and takes its entry from the store.
func (e *server) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.stage.store.Remove("servers/" + e.id)
}

// setLimit makes the server name how many requests a second it takes from all machines together.
func (e *server) setLimit(perSecond int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

// end ends the server with all its connections.
func (e *server) end() { _ = e.http.Close() }

func (e *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	e.mu.Lock()
	if e.leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if e.limit > 0 {
		h.Set("Server-Limit", strconv.Itoa(e.limit))
	}
	e.mu.Unlock()
	id := r.Header.Get("Cobaltcroft-Request-Id")
	switch r.URL.Path {
	case "/health":
		h.Set("Cobaltcroft-Instance", e.id)
		return
	case "/cobaltcroft/report":
		_, _ = fmt.Fprintf(w, `{"Waiting":0,"BusySlots":false,"Seq":0,"born":%d}`, e.born.UnixMilli())
		return
	}
	if expect := r.Header.Get("Cobaltcroft-Expect-Instance"); expect != "" && expect != e.id {
		h.Set("Cobaltcroft-Instance", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a := &arrival{at: time.Now(), id: id}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.running++
	h.Set("Cobaltcroft-Engine-Load", fmt.Sprintf("%d,0,6", e.running))
	e.mu.Unlock()
	e.stage.notef("server %s runs %s", e.id, id)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.running--
	a.ended = r.Context().Err() == nil
	e.mu.Unlock()
	if r.Context().Err() != nil {
		e.stage.notef("server %s breaks off %s", e.id, id)
		return
	}
	h.Set("Cobaltcroft-Request-Id", id)
	h.Set("Cobaltcroft-Seal", e.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// post sends one request and returns the status, or 0 without an answer.
func (s *stage) post(to *gateway, path, id string, deadline time.Duration) int {
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+to.requests+path, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("Cobaltcroft-Request-Id", id)
	request.Header.Set("Cobaltcroft-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	s.notef("a client sends %s to %s", id, to.name)
	response, err := client.Do(request)
	if err != nil {
		s.notef("the client gets no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.notef("the client gets half an answer to %s: %v", id, err)
		return 0
	}
	s.notef("the client gets %d to %s: %.60q", response.StatusCode, id, body)
	return response.StatusCode
}
