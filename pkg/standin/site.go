package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// SiteSettings are the settings of a site, which runs all fakes in one process.
type SiteSettings struct {
	KeyValue     string             `json:"key_value"`
	InstanceList string             `json:"instance_list"`
	Control      string             `json:"control"`
	ListLagMs    int                `json:"list_lag_ms"`
	Endpoints    []EndpointSettings `json:"endpoints"`
	// Records are entries of the list without an endpoint.
	Records []Instance `json:"records,omitempty"`
}

// ReadSite reads the settings of a site from a file.
func ReadSite(path string) (SiteSettings, error) {
	var s SiteSettings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, problem.Wrap(err, problem.Invalid, "name a readable file", "site settings %s cannot be read", path)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, problem.Wrap(err, problem.Invalid, "correct the JSON", "site settings %s do not parse", path)
	}
	return s, nil
}

// Site is a running set of fakes.
type Site struct {
	KeyValue  *KeyValue
	List      *InstanceList
	Endpoints map[string]*Endpoint
	// Addresses of the services.
	KeyValueAddress, ListAddress, ControlAddress string
	servers                                      []*http.Server
}

// StartSite starts the fakes.
func StartSite(s SiteSettings) (*Site, error) {
	site := &Site{KeyValue: NewKeyValue(), List: NewInstanceList(time.Duration(s.ListLagMs) * time.Millisecond), Endpoints: map[string]*Endpoint{}}
	var err error
	if site.KeyValueAddress, err = site.serve(s.KeyValue, site.KeyValue); err != nil {
		return nil, err
	}
	if site.ListAddress, err = site.serve(s.InstanceList, site.List); err != nil {
		return nil, err
	}
	if site.ControlAddress, err = site.serve(s.Control, site.controlRouter()); err != nil {
		return nil, err
	}
	site.List.SetAll(s.Records)
	for _, settings := range s.Endpoints {
		e := NewEndpoint(settings, site.List)
		if err := e.Start(); err != nil {
			return nil, err
		}
		site.Endpoints[settings.Name] = e
	}
	return site, nil
}

func (s *Site) serve(address string, handler http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", problem.Wrap(err, problem.Invalid, "use a free address", "listen on %s", address)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Runs returns the calls that all endpoints have processed.
func (s *Site) Runs() []Run {
	var runs []Run
	for _, e := range s.Endpoints {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// Close stops all fakes.
func (s *Site) Close() {
	for _, e := range s.Endpoints {
		e.Kill()
		e.reserved.release()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// EndpointState is the body of PUT /endpoints/{name}.
type EndpointState struct {
	Faults EndpointFaults `json:"faults"`
	// Leaving marks the endpoint as leaving in the list. Refuses makes it reject new calls.
	Leaving bool `json:"leaving"`
	Refuses bool `json:"refuses"`
	// Dead stops the endpoint; false restarts it.
	Dead bool `json:"dead"`
}

// controlRouter serves the control API: PUT /key-value, PUT /endpoints/{name}, GET /runs
// and GET /counts.
func (s *Site) controlRouter() http.Handler {
	router := bunrouter.New()
	router.PUT("/key-value", func(_ http.ResponseWriter, r bunrouter.Request) error {
		var f KeyValueFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			return err
		}
		s.KeyValue.SetFaults(f)
		return nil
	})
	router.PUT("/endpoints/:name", func(w http.ResponseWriter, r bunrouter.Request) error {
		e := s.Endpoints[r.Param("name")]
		if e == nil {
			w.WriteHeader(http.StatusNotFound)
			return nil
		}
		var state EndpointState
		if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
			return err
		}
		return e.set(state)
	})
	router.GET("/runs", func(w http.ResponseWriter, r bunrouter.Request) error {
		prefix := r.URL.Query().Get("prefix")
		runs := slices.DeleteFunc(s.Runs(), func(run Run) bool { return !strings.HasPrefix(run.Request, prefix) })
		return json.NewEncoder(w).Encode(runs)
	})
	router.GET("/counts", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return json.NewEncoder(w).Encode(s.KeyValue.Counts())
	})
	return router
}

func (e *Endpoint) set(state EndpointState) error {
	e.SetFaults(state.Faults)
	if state.Dead {
		e.Kill()
		return nil
	}
	if _, err := net.DialTimeout("tcp", e.Address(), time.Second); err != nil {
		if err := e.Start(); err != nil {
			return fmt.Errorf("start again: %w", err)
		}
	}
	e.SetLeaving(state.Leaving, state.Refuses)
	return nil
}
