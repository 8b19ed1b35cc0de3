package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Gateway contains the settings of an instance that forwards to HTTP endpoints and reads its
// configuration and the endpoints from a metadata store. Unknown fields are ignored.
type Gateway struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	// Regions maps failure domains to regions. Requests that are restricted to some regions are not sent to failure domains
	// without a region.
	Regions map[string]string `json:"regions"`
	// Listen contains the address of each interface.
	Listen GatewayListen `json:"listen"`
	// Peers are the peer addresses (IP:port) of some instances, used to discover the others.
	Peers []string `json:"peers"`
	// PeerToken is shared by all instances of a deployment.
	PeerToken string `json:"peer_token"`
	// Store is the IP:port of the metadata store.
	Store string `json:"store"`
	// Machine is the share of the machine that the instance may use.
	Machine GatewayMachine `json:"machine"`
	// MemoryMB is the memory limit of the process in millions of bytes.
	MemoryMB int `json:"memory_mb"`
	// StopGraceSeconds is the maximum duration of a graceful shutdown.
	StopGraceSeconds float64 `json:"stop_grace_seconds"`
	// StartWaitMs is how long after the start of the instance, in milliseconds, requests wait for the
	// first view; 0 refuses them at once.
	StartWaitMs int `json:"start_wait_ms"`
	// MaxProcessorWaitMs is how long work may wait for a processor, in milliseconds in the mean. While it
	// waits longer, the instance closes some of the new connections unread; 0 closes none.
	MaxProcessorWaitMs float64 `json:"max_processor_wait_ms"`
	// MaxPieces is the maximum number of pieces of all stages of a request together.
	MaxPieces int             `json:"max_pieces"`
	Retries   GatewayRetries  `json:"retries"`
	Rollouts  GatewayRollouts `json:"rollouts"`
	// Log maps layers to log levels; "default" applies to all other layers.
	Log map[string]string `json:"log"`
}

// GatewayListen contains the address (IP:port) of each interface.
type GatewayListen struct {
	// Requests serves clients, Readiness the health check of the load balancer.
	Requests  string `json:"requests"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// GatewayMachine is the share of a machine that an instance may use. Instances with a larger share are
// preferred for work on behalf of others. 0 stands for unknown and ranks below any known value.
type GatewayMachine struct {
	// ProcessorShare is the number of processors, which may be a fraction, and ProcessorSpeed their speed
	// relative to the reference processor.
	ProcessorShare float64 `json:"processor_share"`
	ProcessorSpeed float64 `json:"processor_speed"`
	// LinkMbps is the bandwidth of the network link in megabits per second.
	LinkMbps float64 `json:"link_mbps"`
}

// Cores returns the processor share in processors of the reference speed.
func (m GatewayMachine) Cores() float64 { return m.ProcessorShare * m.ProcessorSpeed }

// GatewayRetries limits retries across all instances: in each window, a service may receive Slack plus
// Ratio times its number of requests.
type GatewayRetries struct {
	Ratio         float64 `json:"ratio"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// GatewayRollouts limits how traffic is moved between versions.
type GatewayRollouts struct {
	// Share is the maximum fraction of a service's requests that a bad version may get, greater than 0 and at most 1.
	Share float64 `json:"share"`
}

// Window returns the period over which retries are counted.
func (r GatewayRetries) Window() time.Duration { return seconds(r.WindowSeconds) }

// StopGrace returns the maximum duration of a graceful shutdown.
func (g Gateway) StopGrace() time.Duration { return seconds(g.StopGraceSeconds) }

// StartWait returns how long after the start of the instance requests wait for the first view.
func (g Gateway) StartWait() time.Duration { return time.Duration(g.StartWaitMs) * time.Millisecond }

// MaxProcessorWait returns how long work may wait for a processor; 0 for any time.
func (g Gateway) MaxProcessorWait() time.Duration { return seconds(g.MaxProcessorWaitMs / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// GatewayDefaults returns the values of fields that the file omits.
func GatewayDefaults() Gateway {
	return Gateway{
		Machine:          GatewayMachine{ProcessorSpeed: 1},
		MemoryMB:         256,
		StopGraceSeconds: 8,
		MaxPieces:        1000,
		Retries:          GatewayRetries{Ratio: 0.1, Slack: 10, WindowSeconds: 10},
		Rollouts:         GatewayRollouts{Share: 0.1},

		MaxProcessorWaitMs: 10,
	}
}

// ReadGateway reads and validates the settings file at path.
func ReadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, problem.Wrap(err, problem.Invalid, "name a readable file", "settings %s cannot be read", path)
	}
	return ParseGateway(data)
}

// ParseGateway parses settings from JSON and validates them. The error lists all invalid fields.
func ParseGateway(data []byte) (Gateway, error) {
	g := GatewayDefaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&g); err != nil {
		return Gateway{}, problem.Wrap(err, problem.Invalid, "correct the JSON; docs/SETTINGS.md lists the fields", "settings do not parse")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Gateway{}, problem.New(problem.Invalid, "keep one JSON object in the file", "settings go on after the first object")
	}
	if faults := g.Faults(); len(faults) > 0 {
		p := problem.New(problem.Invalid, "correct each field named", "settings are not valid")
		p.Faults = faults
		return Gateway{}, p
	}
	return g, nil
}

const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
	maxGrace    = 600
	// maxStartWaitMs is the longest wait for the first view in milliseconds.
	maxStartWaitMs = 5000
	// maxProcessorWaitMs is the longest wait for a processor in milliseconds that can be set.
	maxProcessorWaitMs = 1000
	// maxPiecesLimit bounds the memory and time that the plan of one request takes.
	maxPiecesLimit = 20_000
	// maxProcessors and maxLinkMbps are far above those of any machine. They detect values in the wrong
	// unit.
	maxProcessors = 1024
	maxLinkMbps   = 1e6
	// minRolloutShare is the smallest share at which a version receives enough requests to be evaluated.
	minRolloutShare = 0.001
)

// Faults returns a message for each invalid field, with its value and a remedy.
func (g Gateway) Faults() []string {
	c := &checker{}
	c.name("instance", g.Instance)
	c.name("failure_domain", g.FailureDomain)
	c.address("listen.requests", g.Listen.Requests)
	c.address("listen.readiness", g.Listen.Readiness)
	c.address("listen.peers", g.Listen.Peers)
	if g.Listen.Metrics != "" {
		c.address("listen.metrics", g.Listen.Metrics)
	}
	for i, peer := range g.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.address("store", g.Store)
	c.token("peer_token", g.PeerToken)
	c.between("machine.processor_share", g.Machine.ProcessorShare, 0, maxProcessors)
	c.between("machine.processor_speed", g.Machine.ProcessorSpeed, 0, maxProcessors)
	c.between("machine.link_mbps", g.Machine.LinkMbps, 0, maxLinkMbps)
	c.count("memory_mb", int64(g.MemoryMB), minMemoryMB, maxMemoryMB)
	c.duration("stop_grace_seconds", Duration(g.StopGrace()), time.Second, maxGrace*time.Second)
	c.count("start_wait_ms", int64(g.StartWaitMs), 0, maxStartWaitMs)
	c.between("max_processor_wait_ms", g.MaxProcessorWaitMs, 0, maxProcessorWaitMs)
	c.count("max_pieces", int64(g.MaxPieces), 1, maxPiecesLimit)
	c.duration("retries.window_seconds", Duration(g.Retries.Window()), time.Second, maxGrace*time.Second)
	if g.Retries.Ratio < 0 || g.Retries.Slack < 0 {
		c.add("retries", fmt.Sprintf("ratio %g, slack %g", g.Retries.Ratio, g.Retries.Slack), "use numbers of 0 or more")
	}
	c.between("rollouts.share", g.Rollouts.Share, minRolloutShare, 1)
	return c.faults
}
