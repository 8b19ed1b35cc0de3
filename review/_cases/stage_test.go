package cases

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// stage is what a case is played on: the store, the gateways and the record.
type stage struct {
	program string
	trouble bool
	dir     string
	store   *platformtest.Store
	address string
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	closing  []func()
	closed   bool
	nextPort int
}

func newStage(program, record string, trouble bool) (*stage, error) {
	dir, err := os.MkdirTemp("", "cobaltcroft-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{program: program, trouble: trouble, dir: dir, store: platformtest.NewStore(), began: time.Now(), record: file, nextPort: firstPort + os.Getpid()%1000*8}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.onClose(func() { _ = server.Close() })
	s.notef("trouble: %v; the store is at %s", trouble, s.address)
	return s, nil
}

// notef writes a line with the time since the beginning to the record.
func (s *stage) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) onClose(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = append(s.closing, do)
}

// close ends all processes and stand-ins, once.
func (s *stage) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	gateways, closing := s.gateways, s.closing
	s.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	for _, do := range closing {
		do()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

const (
	// firstPort and lastPort are below the range of ephemeral ports, so that no outgoing connection takes
	// the port of a gateway.
	firstPort = 12_000
	lastPort  = 30_000
)

// freePort returns an address whose port is free for TCP and UDP.
func (s *stage) freePort() (string, error) {
	for range lastPort - firstPort {
		s.nextPort++
		if s.nextPort > lastPort {
			s.nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", s.nextPort)
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
		return address, nil
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// gateway is one instance, a process of its own.
type gateway struct {
	stage    *stage
	name     string
	zone     string
	settings string
	requests string
	ready    string
	peers    string
	metrics  string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// addGateways starts gateways, one in each of the zones. The first three are the seeds of all.
func (s *stage) addGateways(zones ...string) ([]*gateway, error) {
	var list []*gateway
	var seeds []string
	for i, zone := range zones {
		g, err := s.newGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return nil, err
		}
		list = append(list, g)
		if i < maxSeeds {
			seeds = append(seeds, g.peers)
		}
	}
	for _, g := range list {
		if err := g.launch(seeds); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// maxSeeds is the number of machines that the settings name at most.
const maxSeeds = 3

// newGateway returns a gateway with free addresses, which is not started.
func (s *stage) newGateway(name, zone string) (*gateway, error) {
	g := &gateway{stage: s, name: name, zone: zone, settings: filepath.Join(s.dir, name+".json")}
	for _, address := range []*string{&g.requests, &g.ready, &g.peers, &g.metrics} {
		var err error
		if *address, err = s.freePort(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// launch writes the settings of a gateway and starts it for the first time.
func (g *gateway) launch(seeds []string) error {
	if err := g.writeSettings(seeds); err != nil {
		return err
	}
	g.stage.mu.Lock()
	g.stage.gateways = append(g.stage.gateways, g)
	g.stage.mu.Unlock()
	if err := g.start(); err != nil {
		return err
	}
	g.stage.notef("%s of zone %s takes requests at %s, process %d", g.name, g.zone, g.requests, g.command.Process.Pid)
	return nil
}

// writeSettings writes the settings that the template of the deploy file gives a machine of a small deployment.
func (g *gateway) writeSettings(seeds []string) error {
	store := g.stage.address
	data, err := json.Marshal(map[string]any{
		"instance": g.name, "failure_domain": g.zone, "regions": map[string]string{zoneA: "attica", zoneB: "attica", zoneC: "attica"},
		"listen": map[string]string{"requests": g.requests, "readiness": g.ready, "peers": g.peers, "metrics": g.metrics},
		"peers":  seeds, "peer_token": "deployment-at-" + store, "store": store,
		"machine":   map[string]any{"processor_share": 0.4, "processor_speed": 1, "link_mbps": 1000.0},
		"memory_mb": 284, "stop_grace_seconds": 8, "start_wait_ms": 600,
		"retries": map[string]any{"ratio": 0.2, "slack": 52, "window_seconds": 10},
		"log":     map[string]string{"default": "info"},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o600)
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.stage.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(g.stage.program, "gateway", g.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended = command, ended
	g.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(what syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(what)
	}
}

// descriptors returns the number of file descriptors that the process holds.
func (g *gateway) descriptors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	command, ended := g.command, g.ended
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-ended
}

// awaitReady waits until all gateways say that they are ready, and for some time after that, so that they
// are in touch.
func (s *stage) awaitReady(settle time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			response, err := client.Get("http://" + g.ready + "/cobaltcroft/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.gateways) {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d of %d gateways are ready", ready, len(s.gateways))
		}
	}
	time.Sleep(settle)
	s.notef("all %d gateways are ready, for %v", len(s.gateways), settle)
	return nil
}
