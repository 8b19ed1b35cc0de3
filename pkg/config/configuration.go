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

// Operation is one step of a change: exactly one of Put and Delete is set.
type Operation struct {
	Put    *Object `json:"put,omitempty"`
	Delete *Key    `json:"delete,omitempty"`
	// Base is the revision of the object that the change was made from; 0 says
	// that it did not exist; nil asks for no check.
	Base *uint64 `json:"base,omitempty"`
}

// Key returns the key of the object that the operation touches.
func (o Operation) Key() Key {
	if o.Put != nil {
		return o.Put.Key()
	}
	if o.Delete != nil {
		return *o.Delete
	}
	return Key{}
}

// Change is a set of operations that are accepted as a whole or not at all.
type Change struct {
	ID         string      `json:"id"`
	Author     string      `json:"author"`
	TimeMs     int64       `json:"time_ms"`
	Revision   uint64      `json:"revision"`
	Operations []Operation `json:"operations,omitempty"`
}

// Accepted is what is kept of a change for the history and for repeats.
type Accepted struct {
	ID       string   `json:"id"`
	Author   string   `json:"author"`
	TimeMs   int64    `json:"time_ms"`
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
}

// Stored is an object and the revision that last wrote it.
type Stored struct {
	Object   Object `json:"object"`
	Revision uint64 `json:"revision"`
}

// Configuration is one immutable state of all objects. Use Apply to derive the next.
type Configuration struct {
	revision uint64
	// digest chains the hashes of all changes, so that two instances can tell
	// whether they mean the same by one revision.
	digest uint64
	// objects by kind and name. A kind's map is shared with the configuration
	// before if the change did not touch it.
	objects map[Kind]map[string]Stored
	// accepted are the newest changes, oldest first, at most HistoryLength.
	accepted []Accepted
}

// HistoryLength is how many changes are remembered for History and for repeats:
// two days at the 9,600 changes a day of the users' plan.
const HistoryLength = 20_000

// Empty returns the configuration of revision 0.
func Empty() *Configuration { return &Configuration{objects: map[Kind]map[string]Stored{}} }

// Revision returns how many changes led to c.
func (c *Configuration) Revision() uint64 { return c.revision }

// Digest returns the chained hash of the changes that led to c.
func (c *Configuration) Digest() uint64 { return c.digest }

// Len returns the number of objects.
func (c *Configuration) Len() int {
	n := 0
	for _, objects := range c.objects {
		n += len(objects)
	}
	return n
}

// Get returns the object of a key.
func (c *Configuration) Get(key Key) (Stored, bool) {
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

// Pipeline returns the pipeline of a name, or nil.
func (c *Configuration) Pipeline(name string) *Pipeline {
	return c.objects[KindPipeline][name].Object.Pipeline
}

// Service returns the service of a name, or nil.
func (c *Configuration) Service(name string) *Service {
	return c.objects[KindService][name].Object.Service
}

// Organisation returns the organisation of a name, or nil.
func (c *Configuration) Organisation(name string) *Organisation {
	return c.objects[KindOrganisation][name].Object.Organisation
}

// Priority returns the priority of a name, or nil.
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

// Evacuated returns the failure domains whose endpoints get no new work, sorted.
func (c *Configuration) Evacuated() []string {
	return slices.Sorted(maps.Keys(c.objects[KindEvacuation]))
}

// Accepted returns the remembered changes, oldest first. Not to be changed.
func (c *Configuration) Accepted() []Accepted { return c.accepted }

// FindChange returns the remembered change of an id.
func (c *Configuration) FindChange(id string) (Accepted, bool) {
	for i := len(c.accepted) - 1; i >= 0; i-- {
		if c.accepted[i].ID == id {
			return c.accepted[i], true
		}
	}
	return Accepted{}, false
}

// Check returns a problem of kind Conflict or Invalid if the change cannot follow
// c, with every fault listed; and otherwise the configuration after it.
func (c *Configuration) Check(change Change) (*Configuration, error) {
	if len(change.Operations) == 0 {
		return nil, problem.New(problem.Invalid, "give at least one operation", "change %s has no operations", change.ID)
	}
	if err := c.conflicts(change); err != nil {
		return nil, err
	}
	next, err := c.Apply(change)
	if err != nil {
		return nil, err
	}
	if faults := next.faultsAfter(change); len(faults) > 0 {
		p := problem.New(problem.Invalid, "correct each fault; nothing was changed", "change %s is not valid", change.ID)
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
	p := problem.New(problem.Conflict, "get the objects again, merge and apply with their revisions; nothing was changed", "change %s was made from older objects", change.ID)
	p.Faults = faults
	return p
}

// conflictText shows both sides of a conflict.
func conflictText(op Operation, current Stored) string {
	yours, _ := json.Marshal(op.Put)
	theirs, _ := json.Marshal(current.Object)
	base, _ := json.Marshal(*op.Base)
	in, _ := json.Marshal(current.Revision)
	return op.Key().String() + " was made from revision " + string(base) + ", in force is revision " + string(in) +
		": yours " + string(yours) + ", in force " + string(theirs)
}

// Apply returns the configuration after an accepted change, whose revision must be
// the next one. It does not check the objects.
func (c *Configuration) Apply(change Change) (*Configuration, error) {
	if change.Revision != c.revision+1 {
		return nil, problem.New(problem.Internal, "read the head again", "change %s of revision %d does not follow revision %d", change.ID, change.Revision, c.revision)
	}
	next := &Configuration{
		revision: change.Revision,
		digest:   chain(c.digest, change),
		objects:  maps.Clone(c.objects),
		accepted: append(slices.Clip(c.accepted), summary(change)),
	}
	if excess := len(next.accepted) - HistoryLength; excess > 0 {
		next.accepted = slices.Clone(next.accepted[excess:])
	}
	next.ownTouched(change)
	for _, op := range change.Operations {
		if err := next.operate(op, change.Revision); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// ownTouched copies the maps of the kinds that the change touches.
func (c *Configuration) ownTouched(change Change) {
	owned := map[Kind]bool{}
	for _, op := range change.Operations {
		kind := op.Key().Kind
		if owned[kind] {
			continue
		}
		owned[kind] = true
		c.objects[kind] = maps.Clone(c.objects[kind])
		if c.objects[kind] == nil {
			c.objects[kind] = map[string]Stored{}
		}
	}
}

func (c *Configuration) operate(op Operation, revision uint64) error {
	key := op.Key()
	if key == (Key{}) {
		return problem.New(problem.Invalid, "set put with one object, or delete with a key", "an operation is empty")
	}
	objects := c.objects[key.Kind]
	if op.Put != nil {
		objects[key.Name] = Stored{Object: *op.Put, Revision: revision}
		return nil
	}
	if _, ok := objects[key.Name]; !ok {
		return problem.New(problem.NotFound, "name an object that exists; nothing was changed", "no object %s to delete", key)
	}
	delete(objects, key.Name)
	return nil
}

func summary(change Change) Accepted {
	a := Accepted{ID: change.ID, Author: change.Author, TimeMs: change.TimeMs, Revision: change.Revision}
	for _, op := range change.Operations {
		a.Keys = append(a.Keys, op.Key().String())
	}
	return a
}

// chain hashes the digest before a change together with the change.
func chain(digest uint64, change Change) uint64 {
	h := xxhash.New()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, digest))
	data, _ := json.Marshal(change)
	_, _ = h.Write(data)
	return h.Sum64()
}

// NewChange returns a change ready to be submitted. The revision is set on acceptance.
func NewChange(id, author string, now time.Time, operations ...Operation) Change {
	return Change{ID: id, Author: author, TimeMs: now.UnixMilli(), Operations: operations}
}
