package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// snapshotEdit applies changes of entries to a copy of a snapshot. It copies only the affected
// buckets and the lists of the affected services, so that the cost of a change is not proportional
// to the size of the fleet.
type snapshotEdit struct {
	after     *Snapshot
	endpoints *cowEditor[Endpoint]
	names     *cowEditor[string]
	// lists contains the pending list changes by service.
	lists map[string]*listEdit
}

// listEdit contains the IDs removed from a service's list and the endpoints added to it.
type listEdit struct {
	removed map[string]bool
	added   []Endpoint
}

func newSnapshotEdit(after *Snapshot) *snapshotEdit {
	return &snapshotEdit{
		after:     after,
		endpoints: after.endpoints.edit(),
		names:     after.namesByID.edit(),
		lists:     map[string]*listEdit{},
	}
}

// list returns the pending list change of a service.
func (e *snapshotEdit) list(service string) *listEdit {
	if e.lists[service] == nil {
		e.lists[service] = &listEdit{removed: map[string]bool{}}
	}
	return e.lists[service]
}

func (e *snapshotEdit) apply(c Change) {
	name := c.Endpoint.Name()
	if before, known := e.endpoints.get(name); known {
		e.remove(name, before)
	}
	if c.Gone {
		e.endpoints.remove(name)
		return
	}
	e.insert(name, c.Endpoint)
}

func (e *snapshotEdit) remove(name string, before Endpoint) {
	if owner, _ := e.names.get(before.ID); owner == name {
		e.names.remove(before.ID)
	}
	list := e.list(before.Service)
	list.removed[before.ID] = true
	list.added = slices.DeleteFunc(list.added, func(a Endpoint) bool { return a.ID == before.ID })
}

func (e *snapshotEdit) insert(name string, now Endpoint) {
	e.endpoints.set(name, now)
	e.names.set(now.ID, name)
	e.after.versions = e.after.versions.with(e.after.Revision, now)
	if marked := e.after.withDeparture(now); e.after.isAvailable(marked) {
		marked.Returned = e.after.returnedAt[now.FailureDomain]
		list := e.list(now.Service)
		list.added = append(list.added, marked)
	}
}

// finish updates the snapshot with all changes.
func (e *snapshotEdit) finish() {
	s := e.after
	s.endpoints, s.namesByID = e.endpoints.freeze(), e.names.freeze()
	s.available, s.ready, s.trials, s.barred = maps.Clone(s.available), maps.Clone(s.ready), maps.Clone(s.trials), maps.Clone(s.barred)
	for service, change := range e.lists {
		e.rebuildLists(service, change)
	}
}

// rebuildLists rebuilds the lists of a service.
func (e *snapshotEdit) rebuildLists(service string, change *listEdit) {
	s := e.after
	list := mergeSorted(s.available[service], change.removed, change.added)
	if len(list) == 0 {
		delete(s.available, service)
		delete(s.ready, service)
		delete(s.trials, service)
		delete(s.barred, service)
		return
	}
	s.available[service] = list
	s.classify(service, list)
}

// mergeSorted returns a list sorted by ID with some endpoints removed and others added.
func mergeSorted(list []Endpoint, removed map[string]bool, added []Endpoint) []Endpoint {
	slices.SortFunc(added, byID)
	all := make([]Endpoint, 0, len(list)+len(added))
	next := 0
	// copyUpTo copies the elements before an ID and reports whether the next element has that ID.
	copyUpTo := func(id string) bool {
		at, found := slices.BinarySearchFunc(list[next:], id, func(e Endpoint, id string) int { return cmp.Compare(e.ID, id) })
		all, next = append(all, list[next:next+at]...), next+at
		return found
	}
	gone := slices.Sorted(maps.Keys(removed))
	for len(gone) > 0 || len(added) > 0 {
		if len(gone) > 0 && (len(added) == 0 || gone[0] <= added[0].ID) {
			if copyUpTo(gone[0]) {
				next++
			}
			gone = gone[1:]
			continue
		}
		copyUpTo(added[0].ID)
		all, added = append(all, added[0]), added[1:]
	}
	return append(all, list[next:]...)
}
