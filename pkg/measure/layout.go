// Package measure replays traces against running processes and counts what became of
// each request and what it cost.
package measure

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
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
	// Callers, Operators and Metrics are the instances' addresses.
	Callers   []string `json:"callers"`
	Operators []string `json:"operators"`
	Metrics   []string `json:"metrics"`
	// Endpoints is the number of endpoint records.
	Endpoints int `json:"endpoints"`
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

// fill gives each address a free port.
func (p *ports) fill(addresses ...*string) error {
	for _, address := range addresses {
		var err error
		if *address, err = p.next(); err != nil {
			return err
		}
	}
	return nil
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
	domains := fleet.Domains
	return writeSetup(dir, policy, fleet.Site(), domains, len(domains), p)
}

// scaleServices is the number of services over which scale's records are spread.
const scaleServices = 5

// PrepareScale writes the settings of instances before endpoint records, spread over
// failure domains, and the layout, to dir.
func PrepareScale(dir string, instances, domains, endpoints int) (*Layout, error) {
	var names []string
	for i := range domains {
		names = append(names, fmt.Sprintf("domain-%d", i))
	}
	site := standin.SiteSettings{}
	for i := range endpoints {
		site.Records = append(site.Records, standin.Instance{
			Name:          fmt.Sprintf("engine-%05d", i),
			Address:       fmt.Sprintf("127.1.%d.%d:9", i/250, i%250),
			Service:       fmt.Sprintf("service-%d", i%scaleServices),
			FailureDomain: names[i%domains],
			Incarnation:   1,
		})
	}
	setup, err := writeSetup(dir, settings.PolicyCobaltcroft, site, names, instances, &ports{})
	if err != nil {
		return nil, err
	}
	setup.Endpoints = endpoints
	layout := &Layout{Sets: []Setup{*setup}}
	return layout, writeFile(filepath.Join(dir, layoutFile), layout)
}

// writeSetup writes the settings of a site, and of instances spread over domains.
func writeSetup(dir, policy string, site standin.SiteSettings, domains []string, instances int, p *ports) (*Setup, error) {
	setup := &Setup{Policy: policy, Site: filepath.Join(dir, policy+"-site.json")}
	if err := p.fill(&site.KeyValue, &site.InstanceList, &site.Control); err != nil {
		return nil, err
	}
	setup.Control = site.Control
	if err := writeFile(setup.Site, site); err != nil {
		return nil, err
	}
	var peers []string
	for i := range instances {
		s := instanceSettings(site, domains[i%len(domains)], i, policy)
		if err := p.fill(&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers, &s.Listen.Metrics); err != nil {
			return nil, err
		}
		s.Peers = append([]string{}, peers...)
		if len(peers) < maxContacts {
			peers = append(peers, s.Listen.Peers)
		}
		path := filepath.Join(dir, policy+"-"+s.Instance+".json")
		setup.Instances = append(setup.Instances, path)
		setup.Callers = append(setup.Callers, s.Listen.Callers)
		setup.Operators = append(setup.Operators, s.Listen.Operators)
		setup.Metrics = append(setup.Metrics, s.Listen.Metrics)
		if err := writeFile(path, s); err != nil {
			return nil, err
		}
	}
	return setup, nil
}

// maxContacts bounds the peers that an instance's settings name.
const maxContacts = 3

func instanceSettings(site standin.SiteSettings, domain string, i int, policy string) settings.Settings {
	s := settings.Defaults()
	s.Instance = fmt.Sprintf("%s-%d", domain, i)
	s.FailureDomain = domain
	s.Policy = policy
	s.Tokens = settings.Tokens{Operators: []string{operatorsToken}, Peers: peersToken}
	s.Platform.KeyValue = "http://" + site.KeyValue
	s.Platform.InstanceList = "http://" + site.InstanceList
	s.Log = map[string]string{"default": "warn"}
	return s
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
