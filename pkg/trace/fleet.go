package trace

import (
	"fmt"

	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

// ServiceSize is a service of a fleet and its size.
type ServiceSize struct {
	Name      string
	Kind      config.StageKind
	Endpoints int
	// Concurrency is the number of concurrent calls per endpoint.
	Concurrency int
	// MeanMs is the mean service time of a call, in milliseconds.
	MeanMs float64
}

// Fleet is a sample fleet.
type Fleet struct {
	Name     string
	Domains  []string
	Services []ServiceSize
	// Pipelines holds the fleet's main pipeline first.
	Pipelines     []config.Pipeline
	Organisations []config.Organisation
}

// The names of the fleets.
const (
	Andina     = "pronostica-andina"
	Federation = "federation"
)

// mainDeadlineMs is the deadline of the fleets' pipelines, in milliseconds.
const mainDeadlineMs = 600

func stage(name string, kind config.StageKind, service string) config.Stage {
	return config.Stage{Name: name, Kind: kind, Service: service}
}

// Fleets returns the sample fleets.
func Fleets() []Fleet {
	return []Fleet{
		{
			Name:    Andina,
			Domains: []string{"sala-a", "sala-b", "chapinero", "fontibon"},
			Services: []ServiceSize{
				{"bulletin-engine", config.Generation, 10, 2, 120},
				{"alert-dispatch", config.Plain, 5, 2, 10},
				{"grid-ingestion", config.Encoding, 5, 2, 20},
				{"portal", config.Reranking, 5, 2, 20},
				{"archive", config.Retrieval, 5, 2, 24},
			},
			Pipelines: []config.Pipeline{
				{Name: "bulletin", Objective: config.Attainment, DeadlineMs: mainDeadlineMs, Stages: []config.Stage{
					stage("encode", config.Encoding, "grid-ingestion"), stage("retrieve", config.Retrieval, "archive"),
					stage("rerank", config.Reranking, "portal"), stage("generate", config.Generation, "bulletin-engine"),
				}},
				{Name: "warning-lookup", Objective: config.Attainment, DeadlineMs: mainDeadlineMs / 2, Stages: []config.Stage{
					stage("encode", config.Encoding, "grid-ingestion"), stage("rerank", config.Reranking, "portal"),
				}},
			},
			Organisations: organisations("cooperativa-huila", "river-authority", "aeropuerto-pasto", "municipio-neiva", "cooperativa-narino"),
		},
		{
			Name:    Federation,
			Domains: []string{"marousi", "piraeus", "glyfada"},
			Services: []ServiceSize{
				{"language-engine", config.Generation, 20, 1, 120},
				{"ledger", config.Plain, 3, 2, 10},
				{"club-portal", config.Encoding, 7, 2, 28},
				{"mediation", config.Reranking, 6, 2, 24},
				{"member-app", config.Retrieval, 7, 2, 28},
			},
			Pipelines: []config.Pipeline{
				{Name: "contract-review", Objective: config.Cost, DeadlineMs: mainDeadlineMs, Stages: []config.Stage{
					stage("encode", config.Encoding, "club-portal"), stage("retrieve", config.Retrieval, "member-app"),
					stage("rerank", config.Reranking, "mediation"), stage("generate", config.Generation, "language-engine"),
				}},
				{Name: "complaint-classification", Objective: config.Cost, DeadlineMs: mainDeadlineMs / 2, Stages: []config.Stage{
					stage("encode", config.Encoding, "club-portal"), stage("rerank", config.Reranking, "mediation"),
				}},
			},
			Organisations: organisations("gym-kallithea", "gym-rafina", "gym-marousi", "gym-piraeus", "gym-glyfada"),
		},
	}
}

// organisations returns the named organisations, the first two with a higher weight.
func organisations(names ...string) []config.Organisation {
	var list []config.Organisation
	for i, name := range names {
		weight := uint32(1)
		if i < 2 {
			weight = 3
		}
		list = append(list, config.Organisation{Name: name, Weight: weight})
	}
	return list
}

// Objects returns the fleet's configuration.
func (f Fleet) Objects() []config.Object {
	var objects []config.Object
	for _, s := range f.Services {
		objects = append(objects, config.Object{Service: &config.Service{Name: s.Name, Kind: s.Kind, Concurrency: uint32(s.Concurrency)}})
	}
	for i := range f.Pipelines {
		objects = append(objects, config.Object{Pipeline: &f.Pipelines[i]})
	}
	for i := range f.Organisations {
		objects = append(objects, config.Object{Organisation: &f.Organisations[i]})
	}
	return objects
}

// EndpointName returns the name of the i-th endpoint of a service, from 0.
func EndpointName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }

// Site returns the settings of stand-ins for the fleet.
func (f Fleet) Site() standin.SiteSettings {
	s := standin.SiteSettings{ListLagMs: 500}
	for _, service := range f.Services {
		for i := range service.Endpoints {
			s.Endpoints = append(s.Endpoints, standin.EndpointSettings{
				Name:          EndpointName(service.Name, i),
				Service:       service.Name,
				FailureDomain: f.Domains[i%len(f.Domains)],
				Listen:        "127.0.0.1:0",
				Concurrency:   service.Concurrency,
				ServiceMs:     service.MeanMs,
			})
		}
	}
	return s
}

// service returns the service that runs a stage kind.
func (f Fleet) service(kind config.StageKind) ServiceSize {
	for _, s := range f.Services {
		if s.Kind == kind {
			return s
		}
	}
	return ServiceSize{}
}

// capacity returns the throughput of a pipeline's bottleneck service, in requests per second.
func (f Fleet) capacity(p config.Pipeline) float64 {
	least := 0.0
	for _, stage := range p.Stages {
		s := f.service(stage.Kind)
		rate := float64(s.Endpoints*s.Concurrency) / s.MeanMs * 1000
		if least == 0 || rate < least {
			least = rate
		}
	}
	return least
}
