// Package config holds the operators' configuration: its objects, their checks,
// the accepted changes, and the store that keeps them in the platform's key-value
// service.
package config

import (
	"time"
)

// Kind of an object.
type Kind string

// The kinds of object.
const (
	KindPipeline     Kind = "pipeline"
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
	KindPriority     Kind = "priority"
	KindPlacement    Kind = "placement"
	KindEvacuation   Kind = "evacuation"
)

// Key names one object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String gives kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Objective says which measure a pipeline's decisions put first.
type Objective string

// The objectives.
const (
	// Attainment puts whole answers within the deadline first.
	Attainment Objective = "attainment"
	// Cost puts endpoint time per whole answer first.
	Cost Objective = "cost"
)

// StageKind is the kind of work a stage does.
type StageKind string

// The kinds of stage.
const (
	Encoding   StageKind = "encoding"
	Retrieval  StageKind = "retrieval"
	Reranking  StageKind = "reranking"
	Generation StageKind = "generation"
	// Plain is a service that is not a model.
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
	// After names the stages whose results this one reads. Empty: the stage
	// before it in the list; the first reads the request's input.
	After []string `json:"after,omitempty"`
}

// Pipeline is a directed acyclic graph of stages under one deadline.
type Pipeline struct {
	Name      string    `json:"name"`
	Objective Objective `json:"objective"`
	// DeadlineMs is the longest time a request may take, in milliseconds.
	DeadlineMs uint32  `json:"deadline_ms"`
	Stages     []Stage `json:"stages"`
}

// Deadline returns the longest time a request may take.
func (p *Pipeline) Deadline() time.Duration { return time.Duration(p.DeadlineMs) * time.Millisecond }

// Inputs returns for the stage at index i the indices of the stages whose results
// it reads; empty if it reads the request's input.
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

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string    `json:"name"`
	Kind StageKind `json:"kind"`
	// Concurrency is how many calls one endpoint runs at once.
	Concurrency uint32 `json:"concurrency"`
}

// Organisation is a caller's account.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the organisation's share relative to the others; at least 1.
	Weight uint32 `json:"weight"`
	// MaxConcurrent bounds the requests in flight per instance; 0 is no bound.
	MaxConcurrent uint32 `json:"max_concurrent,omitempty"`
	// RequestsPerSecond bounds the rate over all instances; 0 is no bound.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// Priority is a class of requests; a higher rank is served first.
type Priority struct {
	Name string `json:"name"`
	Rank uint32 `json:"rank"`
}

// Placement says how many endpoints of a service shall hold a model.
type Placement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Replicas is the wanted number of endpoints in each failure domain.
	Replicas uint32 `json:"replicas"`
}

// Evacuation is the order that the endpoints of a failure domain get no new work, until it is deleted.
// It is an object, so that it is accepted, spread, kept and taken back as reliably as any change.
type Evacuation struct {
	// Name is the failure domain's.
	Name string `json:"name"`
	// Reason is for those who read the order; may be empty.
	Reason string `json:"reason,omitempty"`
}

// Object is one named part of the configuration; exactly one field is set.
type Object struct {
	Pipeline     *Pipeline     `json:"pipeline,omitempty"`
	Service      *Service      `json:"service,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
	Priority     *Priority     `json:"priority,omitempty"`
	Placement    *Placement    `json:"placement,omitempty"`
	Evacuation   *Evacuation   `json:"evacuation,omitempty"`
}

// Key returns the object's key; the zero Key if no field is set.
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
