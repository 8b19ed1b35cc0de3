// Package kernel is the micro-kernel of a process: a registry of named services
// that find each other by name, start in the order of their dependencies and stop
// in the reverse order. A service that dies stops the process with its cause.
package kernel

import (
	"sort"
	"sync"

	"gopkg.in/tomb.v2"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Service is a part of a process with a life of its own.
type Service interface {
	// Start begins the service's work; goroutines run under t. It returns when
	// the service can be used by those that depend on it.
	Start(k *Kernel, t *tomb.Tomb) error
	// Stop is called before t is killed, for an orderly end. It may block for as
	// long as the work in hand needs.
	Stop()
}

type entry struct {
	name    string
	needs   []string
	service Service
	tomb    *tomb.Tomb
}

// Kernel holds the services of one process. Its zero value is not usable; call New.
type Kernel struct {
	mu      sync.Mutex
	entries map[string]*entry
	started []*entry
	died    chan error
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{entries: map[string]*entry{}, died: make(chan error, 1)}
}

// Register adds a service under a name that must be new, and the names of the
// services that must be started before it.
func (k *Kernel) Register(name string, s Service, needs ...string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.entries[name]; ok {
		return problem.New(problem.Internal, "register each service once", "service %q is registered twice", name)
	}
	k.entries[name] = &entry{name: name, needs: needs, service: s}
	return nil
}

// Lookup returns the service of a name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	e, ok := k.entries[name]
	k.mu.Unlock()
	if !ok {
		return zero, problem.New(problem.Internal, "register the service before it is looked up", "no service %q", name)
	}
	s, ok := e.service.(T)
	if !ok {
		return zero, problem.New(problem.Internal, "look it up by its own type", "service %q is a %T", name, e.service)
	}
	return s, nil
}

// Find sets target to the service of a name, as Lookup returns it.
func Find[T any](k *Kernel, name string, target *T) error {
	found, err := Lookup[T](k, name)
	if err == nil {
		*target = found
	}
	return err
}

// Start starts all services in the order of their dependencies. If one fails,
// those already started are stopped and its error is returned.
func (k *Kernel) Start() error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, e := range order {
		if err := k.start(e); err != nil {
			k.Stop()
			return problem.Wrap(err, problem.KindOf(err), "", "service %q did not start", e.name)
		}
	}
	return nil
}

func (k *Kernel) start(e *entry) error {
	e.tomb = new(tomb.Tomb)
	// A tomb whose last goroutine has ended counts as dead; this one keeps it alive.
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
	case k.died <- problem.Wrap(err, problem.KindOf(err), "see the log lines of this service", "service %q died", e.name):
	default:
	}
}

// Died yields the cause when a service has died by itself.
func (k *Kernel) Died() <-chan error { return k.died }

// Stop stops all started services, the last started first.
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

// order sorts the services so that each comes after those it needs; services
// without an order between them go by name.
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

func (s *sorter) visit(name, neededBy string) error {
	e, ok := s.entries[name]
	if !ok {
		return problem.New(problem.Internal, "register it", "service %q needs %q, which is not registered", neededBy, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return problem.New(problem.Internal, "break the cycle", "services %q and %q need each other", neededBy, name)
	}
	s.state[name] = visiting
	for _, need := range e.needs {
		if err := s.visit(need, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.order = append(s.order, e)
	return nil
}
