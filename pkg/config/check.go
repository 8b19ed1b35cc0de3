package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"
)

// The limits on objects.
const (
	maxDeadlineMs  = 10 * 60 * 1000
	maxStages      = 16
	maxConcurrency = 4096
	maxWeight      = 1_000_000
	maxReason      = 256
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]{0,126}[a-zA-Z0-9])?$`)
	stageKinds  = []StageKind{Encoding, Retrieval, Reranking, Generation, Plain}
)

// faultsAfter returns all faults that a change introduced into a previously valid
// configuration, each with the object, the field and the value. Only objects that
// the change modifies or that may refer to them are checked.
func (c *Configuration) faultsAfter(change Change) []string {
	k := &checker{configuration: c}
	affected := map[Key]bool{}
	for _, op := range change.Operations {
		affected[op.Key()] = true
	}
	for _, kind := range []Kind{KindPipeline, KindPlacement} {
		for name := range c.objects[kind] {
			affected[Key{kind, name}] = true
		}
	}
	for key := range affected {
		if stored, ok := c.Get(key); ok {
			k.key = key
			k.object(stored.Object)
		}
	}
	slices.Sort(k.faults)
	return k.faults
}

// checker collects the faults of one configuration.
type checker struct {
	configuration *Configuration
	key           Key
	faults        []string
}

func (k *checker) add(format string, args ...any) {
	k.faults = append(k.faults, k.key.String()+": "+fmt.Sprintf(format, args...))
}

func (k *checker) object(o Object) {
	if !namePattern.MatchString(k.key.Name) {
		k.add("name %q: use 1 to 128 letters, digits, '.', '_' or '-'", k.key.Name)
	}
	switch {
	case o.Pipeline != nil:
		k.pipeline(o.Pipeline)
	case o.Service != nil:
		k.service(o.Service)
	case o.Organisation != nil:
		k.organisation(o.Organisation)
	case o.Placement != nil:
		k.placement(o.Placement)
	case o.Evacuation != nil:
		k.evacuation(o.Evacuation)
	}
}

func (k *checker) evacuation(e *Evacuation) {
	if len(e.Reason) > maxReason {
		k.add("reason of %d bytes: use %d at most", len(e.Reason), maxReason)
	}
}

func (k *checker) pipeline(p *Pipeline) {
	if p.Objective != Attainment && p.Objective != Cost {
		k.add("objective %q: use attainment or cost", p.Objective)
	}
	if p.DeadlineMs == 0 || p.DeadlineMs > maxDeadlineMs {
		k.add("deadline_ms %d: use 1 to %d", p.DeadlineMs, maxDeadlineMs)
	}
	if len(p.Stages) == 0 || len(p.Stages) > maxStages {
		k.add("has %d stages: use 1 to %d", len(p.Stages), maxStages)
	}
	names := map[string]bool{}
	for i := range p.Stages {
		k.stage(p, &p.Stages[i], names)
	}
	if p.cyclic() {
		k.add("stages form a cycle through 'after': remove one of its edges")
	}
}

func (k *checker) stage(p *Pipeline, s *Stage, names map[string]bool) {
	if !namePattern.MatchString(s.Name) {
		k.add("stage name %q: use letters, digits, '.', '_' or '-'", s.Name)
	}
	if names[s.Name] {
		k.add("duplicate stage name %q: use a unique name for each stage", s.Name)
	}
	names[s.Name] = true
	service := k.configuration.Service(s.Service)
	switch {
	case service == nil:
		k.add("stage %q names service %q, which does not exist: create it or correct the name", s.Name, s.Service)
	case service.Kind != s.Kind:
		k.add("stage %q is of kind %q, its service %q of kind %q: make them agree", s.Name, s.Kind, s.Service, service.Kind)
	}
	for _, after := range s.After {
		if p.stageIndex(after) < 0 {
			k.add("stage %q comes after %q, which does not exist: correct the name", s.Name, after)
		}
	}
}

func (k *checker) service(s *Service) {
	if !slices.Contains(stageKinds, s.Kind) {
		k.add("kind %q: use one of %v", s.Kind, stageKinds)
	}
	if s.Concurrency == 0 || s.Concurrency > maxConcurrency {
		k.add("concurrency %d: use 1 to %d", s.Concurrency, maxConcurrency)
	}
}

func (k *checker) organisation(o *Organisation) {
	if o.Weight == 0 || o.Weight > maxWeight {
		k.add("weight %d: use 1 to %d", o.Weight, maxWeight)
	}
	if o.RequestsPerSecond < 0 || math.IsNaN(o.RequestsPerSecond) || math.IsInf(o.RequestsPerSecond, 0) {
		k.add("requests_per_second %v: use 0 for no bound, or a positive number", o.RequestsPerSecond)
	}
}

func (k *checker) placement(p *Placement) {
	if k.configuration.Service(p.Service) == nil {
		k.add("names service %q, which does not exist: create it or correct the name", p.Service)
	}
	if p.Model == "" {
		k.add("model is empty: name one")
	}
}

// cyclic reports whether the stages' inputs form a cycle.
func (p *Pipeline) cyclic() bool {
	done := make([]bool, len(p.Stages))
	for range p.Stages {
		if !p.markReady(done) {
			break
		}
	}
	return slices.Contains(done, false)
}

// markReady marks each stage whose inputs are all marked, and reports whether it
// marked any.
func (p *Pipeline) markReady(done []bool) bool {
	progress := false
	for i := range p.Stages {
		if done[i] {
			continue
		}
		ready := !slices.ContainsFunc(p.Inputs(i), func(j int) bool { return !done[j] })
		if ready {
			done[i] = true
			progress = true
		}
	}
	return progress
}
