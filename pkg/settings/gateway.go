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

// Gateway is the settings of an instance that stands before HTTP endpoints and finds
// configuration and endpoints in a metadata store. Unknown fields are ignored.
type Gateway struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	// Regions has the region of each failure domain. Requests that are limited to some regions go to no failure domain that
	// it lacks.
	Regions map[string]string `json:"regions"`
	// Listen has the address of each face.
	Listen GatewayListen `json:"listen"`
	// Peers are peer addresses (IP:port) of some instances, to begin with.
	Peers []string `json:"peers"`
	// PeerToken is shared by all instances of a deployment.
	PeerToken string `json:"peer_token"`
	// Store is the IP:port of the metadata store.
	Store string `json:"store"`
	// Machine is what the instance has of its machine.
	Machine GatewayMachine `json:"machine"`
	// MemoryMB is what the process may use, in units of a million bytes.
	MemoryMB int `json:"memory_mb"`
	// StopGraceSeconds bounds a planned stop.
	StopGraceSeconds float64         `json:"stop_grace_seconds"`
	Retries          GatewayRetries  `json:"retries"`
	Rollouts         GatewayRollouts `json:"rollouts"`
	// Log gives a level by layer; "default" applies to all others.
	Log map[string]string `json:"log"`
}

// GatewayListen has one address (IP:port) for each face.
type GatewayListen struct {
	// Requests takes the clients' requests, Readiness the balancer's question.
	Requests  string `json:"requests"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// GatewayMachine is the share of a machine that an instance has. By it instances choose those
// that work for others; 0 stands for not known, and is the least where others are known.
type GatewayMachine struct {
	// ProcessorShare is the part of one processor, and ProcessorSpeed how many times as fast as
	// usual that one is.
	ProcessorShare float64 `json:"processor_share"`
	ProcessorSpeed float64 `json:"processor_speed"`
	// LinkMbps is the rate of its link, in millions of bits a second.
	LinkMbps float64 `json:"link_mbps"`
}

// Cores is the processor time that it has, in processors of the usual speed.
func (m GatewayMachine) Cores() float64 { return m.ProcessorShare * m.ProcessorSpeed }

// GatewayRetries bounds repeats over all instances: in each window, a service may
// receive Ratio times its requests and Slack more.
type GatewayRetries struct {
	Ratio         float64 `json:"ratio"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// GatewayRollouts bounds how traffic is moved between versions.
type GatewayRollouts struct {
	// Share is the part of a service's requests that a version may get which turns out to be bad; over 0, up to 1.
	Share float64 `json:"share"`
}

// Window is the time over which repeats are counted.
func (r GatewayRetries) Window() time.Duration { return seconds(r.WindowSeconds) }

// StopGrace bounds a planned stop.
func (g Gateway) StopGrace() time.Duration { return seconds(g.StopGraceSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// GatewayDefaults apply where the file is silent.
func GatewayDefaults() Gateway {
	return Gateway{
		Machine:          GatewayMachine{ProcessorSpeed: 1},
		MemoryMB:         256,
		StopGraceSeconds: 8,
		Retries:          GatewayRetries{Ratio: 0.1, Slack: 10, WindowSeconds: 10},
		Rollouts:         GatewayRollouts{Share: 0.1},
	}
}

// ReadGateway reads and checks the settings file at path.
func ReadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, problem.Wrap(err, problem.Invalid, "name a readable file", "settings %s cannot be read", path)
	}
	return ParseGateway(data)
}

// ParseGateway reads settings from JSON and checks them. The error lists every fault.
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
	// maxProcessors and maxLinkMbps bound what a machine has: far above any, they catch figures
	// in other units.
	maxProcessors = 1024
	maxLinkMbps   = 1e6
	// minRolloutShare is the least share of a version that is tried by which it can be judged.
	minRolloutShare = 0.001
)

// Faults returns every fault, each with field, value and remedy.
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
	c.duration("retries.window_seconds", Duration(g.Retries.Window()), time.Second, maxGrace*time.Second)
	if g.Retries.Ratio < 0 || g.Retries.Slack < 0 {
		c.add("retries", fmt.Sprintf("ratio %g, slack %g", g.Retries.Ratio, g.Retries.Slack), "use numbers of 0 or more")
	}
	c.between("rollouts.share", g.Rollouts.Share, minRolloutShare, 1)
	return c.faults
}
