// Package kernel is a service registry and lifecycle manager. Services look each other
// up by name, start in dependency order and stop in reverse order. A service that
// fails is reported on Died.
package kernel

import (
	"sort"
	"sync"

	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Service is a component of a process with its own lifecycle.
type Service interface {
	// Start starts the service, with its goroutines under t. It returns when the
	// service is ready for use by its dependents.
	Start(k *Kernel, t *tomb.Tomb) error
	// Stop shuts the service down gracefully before t is killed. It may block until
	// work in progress is finished.
	Stop()
}

type entry struct {
	name    string
	deps    []string
	service Service
	tomb    *tomb.Tomb
}

// Kernel manages the services of a process. The zero value is not usable; call New.
type Kernel struct {
	mu      sync.Mutex
	entries map[string]*entry
	started []*entry
	died    chan error
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{entries: map[string]*entry{}, died: make(chan error, 1)}
}

// Register adds a service under a unique name. deps are the names of the services that
// must be started before it.
func (k *Kernel) Register(name string, s Service, deps ...string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.entries[name]; ok {
		return problem.New(problem.Internal, "register each service once", "service %q is registered twice", name)
	}
	k.entries[name] = &entry{name: name, deps: deps, service: s}
	return nil
}

// Lookup returns the named service as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	e, ok := k.entries[name]
	k.mu.Unlock()
	if !ok {
		return zero, problem.New(problem.Internal, "register the service before looking it up", "no service %q", name)
	}
	s, ok := e.service.(T)
	if !ok {
		return zero, problem.New(problem.Internal, "look it up by its actual type", "service %q is a %T", name, e.service)
	}
	return s, nil
}

// Find sets target to the result of Lookup.
func Find[T any](k *Kernel, name string, target *T) error {
	found, err := Lookup[T](k, name)
	if err == nil {
		*target = found
	}
	return err
}

// Start starts all services in dependency order. If a service fails to start, the
// services already started are stopped and its error is returned.
func (k *Kernel) Start() error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, e := range order {
		if err := k.start(e); err != nil {
			k.Stop()
			return problem.Wrap(err, problem.KindOf(err), "", "service %q failed to start", e.name)
		}
	}
	return nil
}

func (k *Kernel) start(e *entry) error {
	e.tomb = new(tomb.Tomb)
	// A tomb is dead once its last goroutine has returned; this goroutine keeps it alive.
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return nil
	})
	if err := e.service.Start(k, e.tomb); err != nil {
		e.tomb.Kill(nil)
		_ = e.tomb.Wait()
		return err
	}
	k.mu.Lock()
	k.started = append(k.started, e)
	k.mu.Unlock()
	go k.watch(e)
	return nil
}

func (k *Kernel) watch(e *entry) {
	<-e.tomb.Dying()
	err := e.tomb.Err()
	if err == nil || err == tomb.ErrStillAlive {
		return
	}
	select {
	case k.died <- problem.Wrap(err, problem.KindOf(err), "see the log of this service", "service %q failed", e.name):
	default:
	}
}

// Died returns a channel that receives the error of the first service that fails.
func (k *Kernel) Died() <-chan error { return k.died }

// Stop stops all started services in reverse order.
func (k *Kernel) Stop() {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	for i := len(started) - 1; i >= 0; i-- {
		started[i].service.Stop()
		started[i].tomb.Kill(nil)
		_ = started[i].tomb.Wait()
	}
}

// order returns the services in dependency order. Independent services are ordered by
// name.
func (k *Kernel) order() ([]*entry, error) {
	names := make([]string, 0, len(k.entries))
	for name := range k.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	sorter := &sorter{entries: k.entries, state: map[string]visit{}}
	for _, name := range names {
		if err := sorter.visit(name, name); err != nil {
			return nil, err
		}
	}
	return sorter.order, nil
}

type visit int

const (
	unvisited visit = iota
	visiting
	visited
)

type sorter struct {
	entries map[string]*entry
	state   map[string]visit
	order   []*entry
}

func (s *sorter) visit(name, dependent string) error {
	e, ok := s.entries[name]
	if !ok {
		return problem.New(problem.Internal, "register it", "service %q depends on %q, which is not registered", dependent, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return problem.New(problem.Internal, "remove the cycle", "circular dependency between services %q and %q", dependent, name)
	}
	s.state[name] = visiting
	for _, dep := range e.deps {
		if err := s.visit(dep, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.order = append(s.order, e)
	return nil
}
