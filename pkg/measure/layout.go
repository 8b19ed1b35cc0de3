// Package measure replays traces against running processes and counts what became of
// each request and what it cost.
package measure

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
)

// Layout says which processes a measurement needs: for each policy its own stand-ins
// and instances, one in each failure domain.
type Layout struct {
	Fleet string  `json:"fleet"`
	Sets  []Setup `json:"sets"`
}

// Setup is the processes of one policy.
type Setup struct {
	Policy string `json:"policy"`
	// Site is the settings file of the stand-ins, Instances those of the instances.
	Site      string   `json:"site"`
	Instances []string `json:"instances"`
	// Control is the address of the stand-ins' switches.
	Control string `json:"control"`
	// Callers and Operators are the instances' addresses.
	Callers   []string `json:"callers"`
	Operators []string `json:"operators"`
}

// Policies in the order in which they are measured.
var Policies = []string{
	settings.PolicyCobaltcroft, settings.PolicyRandom, settings.PolicyRoundRobin, settings.PolicyLeastInFlight, settings.PolicyStrictLocal,
}

// The tokens of the measured instances.
const (
	operatorsToken = "measure-operators"
	peersToken     = "measure-peers"
)

// layoutFile is the name of the layout in its folder.
const layoutFile = "layout.json"

// firstPort and lastPort bound the ports given: below those that the system chooses
// by itself, so that no endpoint that starts meanwhile takes one.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// ports finds free ports, each once.
type ports struct{ last int }

func (p *ports) next() (string, error) {
	for p.last = max(p.last, firstPort) + 1; p.last < lastPort; p.last++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.last)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", problem.New(problem.Unavailable, "end other programs on this machine", "no free port from %d to %d", firstPort, lastPort)
}

// Prepare writes the settings of all processes, and the layout, to dir.
func Prepare(dir string, fleet trace.Fleet, policies []string) (*Layout, error) {
	p := &ports{}
	layout := &Layout{Fleet: fleet.Name}
	for _, policy := range policies {
		setup, err := prepare(dir, fleet, policy, p)
		if err != nil {
			return nil, err
		}
		layout.Sets = append(layout.Sets, *setup)
	}
	return layout, writeFile(filepath.Join(dir, layoutFile), layout)
}

func prepare(dir string, fleet trace.Fleet, policy string, p *ports) (*Setup, error) {
	setup := &Setup{Policy: policy, Site: filepath.Join(dir, policy+"-site.json")}
	site := fleet.Site()
	for _, address := range []*string{&site.KeyValue, &site.InstanceList, &site.Control} {
		var err error
		if *address, err = p.next(); err != nil {
			return nil, err
		}
	}
	setup.Control = site.Control
	if err := writeFile(setup.Site, site); err != nil {
		return nil, err
	}
	var peers []string
	for i, domain := range fleet.Domains {
		s := settings.Defaults()
		s.Instance = fmt.Sprintf("%s-%d", domain, i)
		s.FailureDomain = domain
		s.Policy = policy
		s.Tokens = settings.Tokens{Operators: []string{operatorsToken}, Peers: peersToken}
		s.Platform.KeyValue = "http://" + site.KeyValue
		s.Platform.InstanceList = "http://" + site.InstanceList
		s.Timings.InstanceListPoll = settings.Duration(250 * time.Millisecond)
		s.Log = map[string]string{"default": "warn"}
		s.Peers = append([]string{}, peers...)
		for _, address := range []*string{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers, &s.Listen.Metrics} {
			var err error
			if *address, err = p.next(); err != nil {
				return nil, err
			}
		}
		peers = append(peers, s.Listen.Peers)
		path := filepath.Join(dir, policy+"-"+s.Instance+".json")
		setup.Instances = append(setup.Instances, path)
		setup.Callers = append(setup.Callers, s.Listen.Callers)
		setup.Operators = append(setup.Operators, s.Listen.Operators)
		if err := writeFile(path, s); err != nil {
			return nil, err
		}
	}
	return setup, nil
}

// ReadLayout reads the layout in dir.
func ReadLayout(dir string) (*Layout, error) {
	data, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, err
	}
	var layout Layout
	return &layout, json.Unmarshal(data, &layout)
}

func writeFile(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
