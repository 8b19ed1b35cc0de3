// Package config implements the operators' configuration: its objects, their
// validation, the change history, and the store that persists them in the platform's
// key-value service.
package config

import (
	"time"
)

// Kind is the type of a configuration object.
type Kind string

// The object kinds.
const (
	KindPipeline     Kind = "pipeline"
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
	KindPriority     Kind = "priority"
	KindPlacement    Kind = "placement"
	KindEvacuation   Kind = "evacuation"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Objective is the measure that scheduling optimises first for a pipeline.
type Objective string

// The objectives.
const (
	// Attainment maximises the share of complete responses within the deadline.
	Attainment Objective = "attainment"
	// Cost minimises endpoint time per complete response.
	Cost Objective = "cost"
)

// StageKind is the type of work a stage performs.
type StageKind string

// The stage kinds.
const (
	Encoding   StageKind = "encoding"
	Retrieval  StageKind = "retrieval"
	Reranking  StageKind = "reranking"
	Generation StageKind = "generation"
	// Plain is a service that does not serve a model.
	Plain StageKind = "plain"
)

// Stage is one step of a pipeline.
type Stage struct {
	Name    string    `json:"name"`
	Kind    StageKind `json:"kind"`
	Service string    `json:"service"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	// After names the stages whose results this stage reads. If empty, it reads
	// the previous stage in the list; the first stage reads the request's input.
	After []string `json:"after,omitempty"`
}

// Pipeline is a directed acyclic graph of stages under one deadline.
type Pipeline struct {
	Name      string    `json:"name"`
	Objective Objective `json:"objective"`
	// DeadlineMs is the maximum duration of a request, in milliseconds.
	DeadlineMs uint32  `json:"deadline_ms"`
	Stages     []Stage `json:"stages"`
}

// Deadline returns the maximum duration of a request.
func (p *Pipeline) Deadline() time.Duration { return time.Duration(p.DeadlineMs) * time.Millisecond }

// Inputs returns the indices of the stages whose results stage i reads. It is
// empty if the stage reads the request's input.
func (p *Pipeline) Inputs(i int) []int {
	after := p.Stages[i].After
	if len(after) == 0 {
		if i == 0 {
			return nil
		}
		return []int{i - 1}
	}
	var inputs []int
	for _, name := range after {
		if j := p.stageIndex(name); j >= 0 {
			inputs = append(inputs, j)
		}
	}
	return inputs
}

func (p *Pipeline) stageIndex(name string) int {
	for i := range p.Stages {
		if p.Stages[i].Name == name {
			return i
		}
	}
	return -1
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string    `json:"name"`
	Kind StageKind `json:"kind"`
	// Concurrency is the number of concurrent calls per endpoint.
	Concurrency uint32 `json:"concurrency"`
}

// Organisation is a caller's account.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the organisation's relative share of capacity; at least 1.
	Weight uint32 `json:"weight"`
	// MaxConcurrent limits the requests in flight per instance; 0 means no limit.
	MaxConcurrent uint32 `json:"max_concurrent,omitempty"`
	// RequestsPerSecond limits the rate across all instances; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// Priority is a class of requests; higher ranks are served first.
type Priority struct {
	Name string `json:"name"`
	Rank uint32 `json:"rank"`
}

// Placement sets the number of endpoints of a service that load a model.
type Placement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Replicas is the desired number of endpoints in each failure domain.
	Replicas uint32 `json:"replicas"`
}

// Evacuation stops new work from being sent to the endpoints of a failure domain until it is deleted.
// It is a configuration object so that it is validated, replicated and persisted like any other change.
type Evacuation struct {
	// Name is the name of the failure domain.
	Name string `json:"name"`
	// Reason is an optional explanation for operators.
	Reason string `json:"reason,omitempty"`
}

// Object is a named configuration object; exactly one field is set.
type Object struct {
	Pipeline     *Pipeline     `json:"pipeline,omitempty"`
	Service      *Service      `json:"service,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
	Priority     *Priority     `json:"priority,omitempty"`
	Placement    *Placement    `json:"placement,omitempty"`
	Evacuation   *Evacuation   `json:"evacuation,omitempty"`
}

// Key returns the object's key, or the zero Key if no field is set.
func (o Object) Key() Key {
	switch {
	case o.Pipeline != nil:
		return Key{KindPipeline, o.Pipeline.Name}
	case o.Service != nil:
		return Key{KindService, o.Service.Name}
	case o.Organisation != nil:
		return Key{KindOrganisation, o.Organisation.Name}
	case o.Priority != nil:
		return Key{KindPriority, o.Priority.Name}
	case o.Placement != nil:
		return Key{KindPlacement, o.Placement.Name}
	case o.Evacuation != nil:
		return Key{KindEvacuation, o.Evacuation.Name}
	}
	return Key{}
}
