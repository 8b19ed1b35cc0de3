package route

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

// Table answers lookups in one configuration. It is immutable and safe for concurrent use.
type Table struct {
	Version  uint64
	Revision revision.Revision
	Limits   Limits
	// hasOrganisations is set if the configuration has organisations, so that non-public routes
	// require an API key.
	hasOrganisations bool
	hosts            map[string][]*Route
	services         map[string]*Service
	keys             map[string]*Organisation
}

// Compile validates a configuration and returns its table. The error lists every fault.
func Compile(config Config) (*Table, error) {
	t := &Table{
		Version:          config.Version,
		Revision:         config.Revision,
		Limits:           config.Limits,
		hasOrganisations: len(config.Organisations) > 0,
		hosts:            map[string][]*Route{},
		services:         map[string]*Service{},
		keys:             map[string]*Organisation{},
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	var faults []string
	for i := range config.Services {
		faults = append(faults, validateService(&config.Services[i])...)
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		faults = append(faults, t.validateRoute(r)...)
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for i := range config.Organisations {
		for _, key := range config.Organisations[i].Keys {
			t.keys[key] = &config.Organisations[i]
		}
	}
	if len(faults) > 0 {
		p := problem.New(problem.Invalid, "correct the listed fields; the last valid version remains in force", "configuration version %d is not valid", config.Version)
		p.Faults = faults
		return nil, p
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func validateService(s *Service) []string {
	if s.Engine == nil {
		return nil
	}
	var faults []string
	check := func(name string, value float64) {
		if value < 0 {
			faults = append(faults, fmt.Sprintf("service %q: engine %s %v is negative", s.Name, name, value))
		}
	}
	check("bytes per KV-cache token", s.Engine.TokenBytes)
	check("link rate", s.Engine.LinkMbps)
	return faults
}

func (t *Table) validateRoute(r *Route) []string {
	var faults []string
	add := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		add("names no service")
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			add("service %q is not in the configuration", target.Service)
		}
	}
	for i, stage := range r.Stages {
		service := t.services[stage.Service]
		if service == nil || service.Batching == nil {
			add("stage %d: service %q does not process pieces", i, stage.Service)
		}
		for _, before := range stage.After {
			if before < 0 || before >= i {
				add("stage %d reads the results of stage %d, which does not come before it", i, before)
			}
		}
	}
	return faults
}

// Route returns the route of the host with the longest prefix matching the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Organisation returns the organisation that an API key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// NeedsKey reports whether requests of a route require an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.hasOrganisations && !r.Public }

// Target picks a service by weight. The number may be any hash of the request.
func (r *Route) Target(number uint64) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	left := int(number % uint64(total))
	for _, target := range r.Targets {
		left -= max(0, target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
