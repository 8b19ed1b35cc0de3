package config

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Operation is a single write within a change: exactly one of Put and Delete is set.
type Operation struct {
	Put    *Object `json:"put,omitempty"`
	Delete *Key    `json:"delete,omitempty"`
	// Base is the expected current revision of the object; 0 means that it must
	// not exist; nil disables the check.
	Base *uint64 `json:"base,omitempty"`
}

// Key returns the key of the object that the operation modifies.
func (o Operation) Key() Key {
	if o.Put != nil {
		return o.Put.Key()
	}
	if o.Delete != nil {
		return *o.Delete
	}
	return Key{}
}

// Change is a set of operations that are applied atomically.
type Change struct {
	ID         string      `json:"id"`
	Author     string      `json:"author"`
	TimeMs     int64       `json:"time_ms"`
	Revision   uint64      `json:"revision"`
	Operations []Operation `json:"operations,omitempty"`
}

// AcceptedChange is the record of an accepted change, kept for the history and for
// deduplication of retries.
type AcceptedChange struct {
	ID       string   `json:"id"`
	Author   string   `json:"author"`
	TimeMs   int64    `json:"time_ms"`
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
}

// StoredObject is an object with the revision of its last write.
type StoredObject struct {
	Object   Object `json:"object"`
	Revision uint64 `json:"revision"`
}

// Configuration is an immutable snapshot of all objects. Apply derives the next one.
type Configuration struct {
	revision uint64
	// digest is a hash chain over all changes. Instances compare it to detect
	// diverging histories at the same revision.
	digest uint64
	// objects is indexed by kind and name. The maps of kinds that a change does
	// not modify are shared with the previous configuration.
	objects map[Kind]map[string]StoredObject
	// accepted holds the last HistoryLength changes, oldest first.
	accepted []AcceptedChange
}

// HistoryLength is the number of changes kept for the history and for
// deduplication of retries.
const HistoryLength = 20_000

// Empty returns the configuration of revision 0.
func Empty() *Configuration { return &Configuration{objects: map[Kind]map[string]StoredObject{}} }

// Revision returns the number of changes applied up to c.
func (c *Configuration) Revision() uint64 { return c.revision }

// Digest returns the hash chain over the changes up to c.
func (c *Configuration) Digest() uint64 { return c.digest }

// Len returns the number of objects.
func (c *Configuration) Len() int {
	n := 0
	for _, objects := range c.objects {
		n += len(objects)
	}
	return n
}

// Get returns the object with the given key.
func (c *Configuration) Get(key Key) (StoredObject, bool) {
	s, ok := c.objects[key.Kind][key.Name]
	return s, ok
}

// Keys returns all keys, sorted.
func (c *Configuration) Keys() []Key {
	var keys []Key
	for _, kind := range slices.Sorted(maps.Keys(c.objects)) {
		for _, name := range slices.Sorted(maps.Keys(c.objects[kind])) {
			keys = append(keys, Key{kind, name})
		}
	}
	return keys
}

// Pipeline returns the named pipeline, or nil.
func (c *Configuration) Pipeline(name string) *Pipeline {
	return c.objects[KindPipeline][name].Object.Pipeline
}

// Service returns the named service, or nil.
func (c *Configuration) Service(name string) *Service {
	return c.objects[KindService][name].Object.Service
}

// Organisation returns the named organisation, or nil.
func (c *Configuration) Organisation(name string) *Organisation {
	return c.objects[KindOrganisation][name].Object.Organisation
}

// Priority returns the named priority, or nil.
func (c *Configuration) Priority(name string) *Priority {
	return c.objects[KindPriority][name].Object.Priority
}

// Services returns all services, sorted by name.
func (c *Configuration) Services() []*Service {
	var services []*Service
	for _, name := range slices.Sorted(maps.Keys(c.objects[KindService])) {
		services = append(services, c.Service(name))
	}
	return services
}

// Pipelines returns all pipelines, sorted by name.
func (c *Configuration) Pipelines() []*Pipeline {
	var pipelines []*Pipeline
	for _, name := range slices.Sorted(maps.Keys(c.objects[KindPipeline])) {
		pipelines = append(pipelines, c.Pipeline(name))
	}
	return pipelines
}

// Placements returns all placements, sorted by name.
func (c *Configuration) Placements() []*Placement {
	var placements []*Placement
	for _, name := range slices.Sorted(maps.Keys(c.objects[KindPlacement])) {
		placements = append(placements, c.objects[KindPlacement][name].Object.Placement)
	}
	return placements
}

// Evacuated returns the evacuated failure domains, sorted.
func (c *Configuration) Evacuated() []string {
	return slices.Sorted(maps.Keys(c.objects[KindEvacuation]))
}

// History returns the retained changes, oldest first. The caller must not modify the slice.
func (c *Configuration) History() []AcceptedChange { return c.accepted }

// FindChange returns the retained change with the given ID.
func (c *Configuration) FindChange(id string) (AcceptedChange, bool) {
	for i := len(c.accepted) - 1; i >= 0; i-- {
		if c.accepted[i].ID == id {
			return c.accepted[i], true
		}
	}
	return AcceptedChange{}, false
}

// Check validates a change against c and returns the resulting configuration. On
// failure it returns a problem of kind Conflict or Invalid that lists every fault.
func (c *Configuration) Check(change Change) (*Configuration, error) {
	if len(change.Operations) == 0 {
		return nil, problem.New(problem.Invalid, "include at least one operation", "change %s has no operations", change.ID)
	}
	if err := c.conflicts(change); err != nil {
		return nil, err
	}
	next, err := c.Apply(change)
	if err != nil {
		return nil, err
	}
	if faults := next.faultsAfter(change); len(faults) > 0 {
		p := problem.New(problem.Invalid, "correct the listed faults; nothing was changed", "change %s is invalid", change.ID)
		p.Faults = faults
		return nil, p
	}
	return next, nil
}

func (c *Configuration) conflicts(change Change) error {
	var faults []string
	for _, op := range change.Operations {
		current, _ := c.Get(op.Key())
		if op.Base == nil || *op.Base == current.Revision {
			continue
		}
		faults = append(faults, conflictText(op, current))
	}
	if len(faults) == 0 {
		return nil
	}
	p := problem.New(problem.Conflict, "fetch the objects again, merge and reapply with their current revisions; nothing was changed", "change %s is based on outdated revisions", change.ID)
	p.Faults = faults
	return p
}

// conflictText formats both versions of a conflicting object.
func conflictText(op Operation, current StoredObject) string {
	yours, _ := json.Marshal(op.Put)
	theirs, _ := json.Marshal(current.Object)
	base, _ := json.Marshal(*op.Base)
	revision, _ := json.Marshal(current.Revision)
	return op.Key().String() + " is based on revision " + string(base) + ", in force is revision " + string(revision) +
		": yours " + string(yours) + ", in force " + string(theirs)
}

// Apply returns the configuration that results from an accepted change, which must
// have the next revision. It does not validate the objects.
func (c *Configuration) Apply(change Change) (*Configuration, error) {
	if change.Revision != c.revision+1 {
		return nil, problem.New(problem.Internal, "read the head again", "change %s has revision %d, which does not follow revision %d", change.ID, change.Revision, c.revision)
	}
	next := &Configuration{
		revision: change.Revision,
		digest:   chainDigest(c.digest, change),
		objects:  maps.Clone(c.objects),
		accepted: append(slices.Clip(c.accepted), summary(change)),
	}
	if excess := len(next.accepted) - HistoryLength; excess > 0 {
		next.accepted = slices.Clone(next.accepted[excess:])
	}
	next.cloneModified(change)
	for _, op := range change.Operations {
		if err := next.applyOperation(op, change.Revision); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// cloneModified copies the object maps that the change modifies.
func (c *Configuration) cloneModified(change Change) {
	cloned := map[Kind]bool{}
	for _, op := range change.Operations {
		kind := op.Key().Kind
		if cloned[kind] {
			continue
		}
		cloned[kind] = true
		c.objects[kind] = maps.Clone(c.objects[kind])
		if c.objects[kind] == nil {
			c.objects[kind] = map[string]StoredObject{}
		}
	}
}

func (c *Configuration) applyOperation(op Operation, revision uint64) error {
	key := op.Key()
	if key == (Key{}) {
		return problem.New(problem.Invalid, "set put with one object, or delete with a key", "empty operation")
	}
	objects := c.objects[key.Kind]
	if op.Put != nil {
		objects[key.Name] = StoredObject{Object: *op.Put, Revision: revision}
		return nil
	}
	if _, ok := objects[key.Name]; !ok {
		return problem.New(problem.NotFound, "specify an existing object; nothing was changed", "object %s does not exist", key)
	}
	delete(objects, key.Name)
	return nil
}

func summary(change Change) AcceptedChange {
	a := AcceptedChange{ID: change.ID, Author: change.Author, TimeMs: change.TimeMs, Revision: change.Revision}
	for _, op := range change.Operations {
		a.Keys = append(a.Keys, op.Key().String())
	}
	return a
}

// chainDigest hashes the previous digest together with a change.
func chainDigest(digest uint64, change Change) uint64 {
	h := xxhash.New()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, digest))
	data, _ := json.Marshal(change)
	_, _ = h.Write(data)
	return h.Sum64()
}

// NewChange returns a change for Submitter.Submit. Its revision is assigned on acceptance.
func NewChange(id, author string, now time.Time, operations ...Operation) Change {
	return Change{ID: id, Author: author, TimeMs: now.UnixMilli(), Operations: operations}
}
