package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// editing applies changes of entries to a copy of a snapshot. Of a fleet of many only a few endpoints change at a
// time: what is looked up by name or ID is copied in small pieces, and of the lists those of the services that have
// changed. Were all sorted anew, each change would cost in proportion to all endpoints, and the changes grow with
// them too.
type editing struct {
	after     *Snapshot
	endpoints *editor[Endpoint]
	names     *editor[string]
	// lists are the changes of the lists, by service.
	lists map[string]*listEdit
}

// listEdit is a change of a service's list: the IDs of the endpoints that are taken from it, and those that are put there.
type listEdit struct {
	removed map[string]bool
	added   []Endpoint
}

func newEditing(after *Snapshot) *editing {
	return &editing{
		after:     after,
		endpoints: after.endpoints.edit(),
		names:     after.names.edit(),
		lists:     map[string]*listEdit{},
	}
}

// list is the change of a service's list.
func (e *editing) list(service string) *listEdit {
	if e.lists[service] == nil {
		e.lists[service] = &listEdit{removed: map[string]bool{}}
	}
	return e.lists[service]
}

// apply applies a change.
func (e *editing) apply(c Change) {
	name := c.Endpoint.Name()
	if before, known := e.endpoints.get(name); known {
		e.takeOut(name, before)
	}
	if c.Gone {
		e.endpoints.remove(name)
		return
	}
	e.putIn(name, c.Endpoint)
}

func (e *editing) takeOut(name string, before Endpoint) {
	if of, _ := e.names.get(before.ID); of == name {
		e.names.remove(before.ID)
	}
	list := e.list(before.Service)
	list.removed[before.ID] = true
	list.added = slices.DeleteFunc(list.added, func(a Endpoint) bool { return a.ID == before.ID })
}

func (e *editing) putIn(name string, now Endpoint) {
	e.endpoints.set(name, now)
	e.names.set(now.ID, name)
	e.after.versions = e.after.versions.with(e.after.Revision, now)
	if marked := e.after.marked(now); e.after.stays(marked) {
		marked.Returned = e.after.returned[now.FailureDomain]
		list := e.list(now.Service)
		list.added = append(list.added, marked)
	}
}

// done has the snapshot after all changes.
func (e *editing) done() {
	s := e.after
	s.endpoints, s.names = e.endpoints.table(), e.names.table()
	s.staying, s.ready, s.trials, s.barred = maps.Clone(s.staying), maps.Clone(s.ready), maps.Clone(s.trials), maps.Clone(s.barred)
	for service, change := range e.lists {
		e.renew(service, change)
	}
}

// renew makes the lists of a service anew.
func (e *editing) renew(service string, change *listEdit) {
	s := e.after
	list := merged(s.staying[service], change.removed, change.added)
	if len(list) == 0 {
		delete(s.staying, service)
		delete(s.ready, service)
		delete(s.trials, service)
		delete(s.barred, service)
		return
	}
	s.staying[service] = list
	s.admit(service, list)
}

// merged returns a list, sorted by ID, without some endpoints and with others.
func merged(list []Endpoint, removed map[string]bool, added []Endpoint) []Endpoint {
	slices.SortFunc(added, byID)
	all := make([]Endpoint, 0, len(list)+len(added))
	next := 0
	// copyUpTo copies what stands before an ID, and tells whether that stands there.
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
