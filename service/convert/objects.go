package convert

import (
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
)

var objectives = map[pb.Objective]config.Objective{
	pb.Objective_OBJECTIVE_ATTAINMENT: config.Attainment,
	pb.Objective_OBJECTIVE_COST:       config.Cost,
}

var stageKinds = map[pb.StageKind]config.StageKind{
	pb.StageKind_STAGE_KIND_ENCODING:   config.Encoding,
	pb.StageKind_STAGE_KIND_RETRIEVAL:  config.Retrieval,
	pb.StageKind_STAGE_KIND_RERANKING:  config.Reranking,
	pb.StageKind_STAGE_KIND_GENERATION: config.Generation,
	pb.StageKind_STAGE_KIND_PLAIN:      config.Plain,
}

// keyOf returns the key of the given value, or the zero key.
func keyOf[K, V comparable](m map[K]V, v V) K {
	for key, value := range m {
		if value == v {
			return key
		}
	}
	var zero K
	return zero
}

// Operations converts the operations of a change from their wire form.
func Operations(wire []*pb.Operation) []config.Operation {
	operations := make([]config.Operation, 0, len(wire))
	for _, op := range wire {
		converted := config.Operation{Base: op.BaseRevision}
		if put := op.GetPut(); put != nil {
			object := objectFromWire(put)
			converted.Put = &object
		}
		if key := op.GetDelete(); key != nil {
			converted.Delete = &config.Key{Kind: config.Kind(key.Kind), Name: key.Name}
		}
		operations = append(operations, converted)
	}
	return operations
}

func objectFromWire(wire *pb.Object) config.Object {
	switch v := wire.Value.(type) {
	case *pb.Object_Pipeline:
		return config.Object{Pipeline: pipelineFromWire(v.Pipeline)}
	case *pb.Object_Service:
		return config.Object{Service: &config.Service{Name: v.Service.Name, Kind: stageKinds[v.Service.Kind], Concurrency: v.Service.Concurrency}}
	case *pb.Object_Organisation:
		o := v.Organisation
		return config.Object{Organisation: &config.Organisation{Name: o.Name, Weight: o.Weight, MaxConcurrent: o.MaxConcurrent, RequestsPerSecond: o.RequestsPerSecond}}
	case *pb.Object_Priority:
		return config.Object{Priority: &config.Priority{Name: v.Priority.Name, Rank: v.Priority.Rank}}
	case *pb.Object_Placement:
		p := v.Placement
		return config.Object{Placement: &config.Placement{Name: p.Name, Service: p.Service, Model: p.Model, Adapter: p.Adapter, Version: p.Version, Replicas: p.Replicas}}
	case *pb.Object_Evacuation:
		return config.Object{Evacuation: &config.Evacuation{Name: v.Evacuation.Name, Reason: v.Evacuation.Reason}}
	}
	return config.Object{}
}

func pipelineFromWire(wire *pb.Pipeline) *config.Pipeline {
	p := &config.Pipeline{Name: wire.Name, Objective: objectives[wire.Objective], DeadlineMs: wire.DeadlineMs}
	for _, s := range wire.Stages {
		p.Stages = append(p.Stages, config.Stage{Name: s.Name, Kind: stageKinds[s.Kind], Service: s.Service, Model: s.Model, Adapter: s.Adapter, Version: s.Version, After: s.After})
	}
	return p
}

// Object converts a stored object to its wire form.
func Object(stored config.StoredObject) *pb.Object {
	wire := &pb.Object{Revision: stored.Revision}
	switch o := stored.Object; {
	case o.Pipeline != nil:
		wire.Value = &pb.Object_Pipeline{Pipeline: pipelineToWire(o.Pipeline)}
	case o.Service != nil:
		wire.Value = &pb.Object_Service{Service: &pb.Service{Name: o.Service.Name, Kind: keyOf(stageKinds, o.Service.Kind), Concurrency: o.Service.Concurrency}}
	case o.Organisation != nil:
		wire.Value = &pb.Object_Organisation{Organisation: &pb.Organisation{Name: o.Organisation.Name, Weight: o.Organisation.Weight, MaxConcurrent: o.Organisation.MaxConcurrent, RequestsPerSecond: o.Organisation.RequestsPerSecond}}
	case o.Priority != nil:
		wire.Value = &pb.Object_Priority{Priority: &pb.Priority{Name: o.Priority.Name, Rank: o.Priority.Rank}}
	case o.Placement != nil:
		p := o.Placement
		wire.Value = &pb.Object_Placement{Placement: &pb.Placement{Name: p.Name, Service: p.Service, Model: p.Model, Adapter: p.Adapter, Version: p.Version, Replicas: p.Replicas}}
	case o.Evacuation != nil:
		wire.Value = &pb.Object_Evacuation{Evacuation: &pb.Evacuation{Name: o.Evacuation.Name, Reason: o.Evacuation.Reason}}
	}
	return wire
}

func pipelineToWire(p *config.Pipeline) *pb.Pipeline {
	wire := &pb.Pipeline{Name: p.Name, Objective: keyOf(objectives, p.Objective), DeadlineMs: p.DeadlineMs}
	for _, s := range p.Stages {
		wire.Stages = append(wire.Stages, &pb.Stage{Name: s.Name, Kind: keyOf(stageKinds, s.Kind), Service: s.Service, Model: s.Model, Adapter: s.Adapter, Version: s.Version, After: s.After})
	}
	return wire
}

// Change converts an accepted change to its wire form.
func Change(a config.AcceptedChange) *pb.Change {
	return &pb.Change{ChangeId: a.ID, Revision: a.Revision, Author: a.Author, TimeUnixMs: a.TimeMs, Keys: a.Keys}
}

// ObjectKey returns the kind and name of a wire object.
func ObjectKey(wire *pb.Object) config.Key {
	return objectFromWire(wire).Key()
}

// EventProto converts a timeline event to the wire form of the operators' API.
func EventProto(e timeline.Event) *pb.Event {
	return &pb.Event{
		WallMs:    e.Stamp.WallMs,
		Logical:   e.Stamp.Logical,
		Instance:  e.Instance,
		Kind:      string(e.Kind),
		RequestId: e.Request,
		ChangeId:  e.Change,
		Endpoint:  e.Endpoint,
		Stage:     e.Stage,
		AttemptId: e.Attempt,
		Detail:    e.Detail,
	}
}
