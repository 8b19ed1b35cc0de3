package cases

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// contact is ContactMs of the deployments.
const contact = 3 * time.Second

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to standard output.
func (r *record) sayf(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// bench is what all cases have: the record, a temporary folder and whether the disruption is played.
type bench struct {
	*record
	program string
	dir     string
	trouble bool

	mu       sync.Mutex
	gateways []*gateway
	port     int
}

// address returns a loopback address whose port is free for TCP and UDP. The ports are below those of
// outgoing connections, so that none takes the port of a process while that is down.
func (b *bench) address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.port == 0 {
		b.port = 12_000 + rand.IntN(15_000)
	}
	for {
		b.port++
		address := fmt.Sprintf("127.0.0.1:%d", b.port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", address)
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return address
	}
}

// gateway is one process of the system.
type gateway struct {
	*bench
	name, zone                        string
	requests, readiness, peers, extra string
	settings                          string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	started time.Time
}

// machine is the size of a machine, as the settings of a process tell it.
type machine struct {
	share    float64
	memoryMB int
}

// newGateway returns a process that is not started yet.
func (b *bench) newGateway(name, zone string) *gateway {
	g := &gateway{bench: b, name: name, zone: zone}
	g.requests, g.readiness, g.peers, g.extra = b.address(), b.address(), b.address(), b.address()
	g.settings = filepath.Join(b.dir, name+".json")
	b.mu.Lock()
	b.gateways = append(b.gateways, g)
	b.mu.Unlock()
	return g
}

// writeSettings writes what the template of the deploy file makes of the settings of a small deployment.
func (g *gateway) writeSettings(zones map[string]string, m machine, seeds []string, store, platform string) error {
	settings := map[string]any{
		"instance": g.name, "failure_domain": g.zone, "regions": zones,
		"listen":     map[string]any{"requests": g.requests, "readiness": g.readiness, "peers": g.peers, "metrics": g.extra},
		"peers":      seeds,
		"peer_token": "deployment-at-" + platform,
		"store":      store,
		"machine":    map[string]any{"processor_share": m.share, "processor_speed": 1, "link_mbps": 1000},
		"memory_mb":  m.memoryMB, "stop_grace_seconds": 8, "start_wait_ms": 600,
		"retries": map[string]any{"ratio": 0.2, "slack": 54, "window_seconds": 10},
		"log":     map[string]any{"default": "info"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o600)
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(g.program, "gateway", g.settings)
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended, g.started = command, ended, time.Now()
	g.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	g.printf("process %s starts (pid %d)", g.name, command.Process.Pid)
	return nil
}

func (g *gateway) kill() {
	g.mu.Lock()
	command, ended := g.command, g.ended
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-ended
}

// startedAt returns when the process was started last.
func (g *gateway) startedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.readiness + "/cobaltcroft/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitReady(gateways []*gateway, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, g := range gateways {
		for !g.ready() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// stopAll ends all processes that the case has started.
func (b *bench) stopAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.gateways {
		g.kill()
	}
}

// call is a request as an engine has received it.
type call struct {
	*http.Request
	body []byte
	at   time.Time
}

func (c *call) id() string { return c.Header.Get("Cobaltcroft-Request-Id") }

// engine is a stand-in of an engine. It answers health checks and reports itself; handle answers the rest
// and returns whether the connection stays open.
type engine struct {
	id, service, zone, version string
	slots                      int
	bornMs                     int64
	handle                     func(c net.Conn, r *call) bool

	mu       sync.Mutex
	listener net.Listener
	listen   string
	conns    map[net.Conn]bool
	busy     int
}

var nextEngine struct {
	sync.Mutex
	n int
}

func newEngine(service, zone string, slots int, address string) (*engine, error) {
	nextEngine.Lock()
	nextEngine.n++
	id := fmt.Sprintf("i-%s-%d", service, nextEngine.n)
	nextEngine.Unlock()
	e := &engine{id: id, service: service, zone: zone, version: "v1", slots: slots, bornMs: time.Now().UnixMilli(), listen: address, conns: map[net.Conn]bool{}}
	return e, e.open()
}

func (e *engine) open() error {
	listener, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.listen = listener, listener.Addr().String()
	e.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// crash closes the listener and all connections, as the end of the process does.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.conns = map[net.Conn]bool{}
}

func (e *engine) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !e.answer(c, &call{Request: request, body: body, at: time.Now()}) {
			return
		}
	}
}

func (e *engine) answer(c net.Conn, r *call) bool {
	if expect := r.Header.Get("Cobaltcroft-Expect-Instance"); expect != "" && expect != e.id {
		return writeAnswer(c, r, http.StatusMisdirectedRequest, nil, nil)
	}
	if r.URL.Path == "/cobaltcroft/report" {
		e.mu.Lock()
		busy := e.busy
		e.mu.Unlock()
		data, _ := json.Marshal(map[string]any{"Stage": "both", "Waiting": 0, "Running": busy, "BusySlots": busy > 0, "FreeMb": 10, "KvUsed": 0, "KvTotal": 500_000, "Handles": 0, "Seq": 1, "born": e.bornMs})
		return writeAnswer(c, r, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, data)
	}
	return e.handle(c, r)
}

// entry is what the engine writes of itself to the store.
func (e *engine) entry(state string) map[string]any {
	return map[string]any{"Service": e.service, "Address": e.listen, "Zone": e.zone, "Version": e.version, "Slots": e.slots, "State": state, "ColdLeftMs": 0, "Seq": 1, "born": e.bornMs}
}

// seal is the engine's signature of an answer.
func (e *engine) seal(r *call) string { return e.id + "." + r.id() }

// writeAnswer writes a whole answer.
func writeAnswer(c net.Conn, r *call, status int, h http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.id(); id != "" {
		fmt.Fprintf(&b, "Cobaltcroft-Request-Id: %s\r\n", id)
	}
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// request is what a client sends.
type request struct {
	id     string
	method string
	path   string
	header map[string]string
	body   string
	wait   time.Duration
}

const host = "desk.example"

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (q request) wire() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCobaltcroft-Request-Id: %s\r\nCobaltcroft-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.wait.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// send sends a request and returns the head of the answer.
func (c *clientConn) send(q request) (*http.Response, error) {
	_ = c.SetDeadline(time.Now().Add(q.wait))
	if _, err := io.WriteString(c, q.wire()); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: q.method})
}
