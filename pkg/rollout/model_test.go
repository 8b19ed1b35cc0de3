package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// The model simulates instances with real managers and a simulated clock, network, store and
// endpoints, so that runs are reproducible by seed. It checks how many requests each version gets.

const (
	share        = 0.1
	slack        = 50
	rollback     = 5 * time.Second
	badTolerance = 50
	tick         = 20 * time.Millisecond
	over         = 12 * time.Second
	orderAt      = revision.Revision(5)
)

var errUnreachable = errors.New("unreachable")

// model is a group of instances with endpoints of two versions.
type model struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	begun     time.Time
	instances []*node
	// partition assigns each instance to one side of a network partition.
	partition map[string]int
	// storeDown makes the store unavailable to all instances, storeDownFor to some.
	storeDown    bool
	storeDownFor map[string]bool
	// delayWrites applies writes later and loses their replies; pendingWrites are these writes.
	delayWrites   bool
	pendingWrites []lateWrite
	record        rollout.Record
	revision      revision.Revision
	ordered       fleet.Rollouts
	// bad is the behaviour of the new version.
	bad behaviour

	all, arrived, badAnswers int
	// toleranceExceededAt is when the number of bad answers reached badTolerance; lastAt is the
	// last request to the new version.
	toleranceExceededAt, lastAt, completedAt time.Time
	// lateOldRequests counts requests to the old version after completion, except from partitioned
	// instances.
	lateOldRequests int
	// interrupted counts calls in flight at the old version at completion that cannot resume
	// elsewhere.
	interrupted int
}

// lateWrite is a delayed conditional write.
type lateWrite struct {
	at     time.Time
	after  revision.Revision
	record rollout.Record
}

func (m *model) write(after revision.Revision, record rollout.Record) error {
	if m.record.Revision != after {
		return rollout.ErrConflict
	}
	m.revision++
	record.Revision = m.revision
	m.record = record
	if record.State == rollout.Completed {
		m.completedAt = m.clock.Now()
		m.countInterrupted()
	}
	return nil
}

// node is one instance.
type node struct {
	*model
	name        string
	incarnation uint64
	manager     *rollout.Manager
	snapshot    *fleet.Snapshot
	underWay    []inFlightCall
	// frozen instances make no progress.
	frozen bool
}

type inFlightCall struct {
	call   *rollout.Call
	sample rollout.Sample
	end    time.Time
	// fixed is set for a call to the old version that cannot resume elsewhere.
	fixed bool
}

func newModel(seed uint64, n int) *model {
	m := &model{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 2)), partition: map[string]int{}, storeDownFor: map[string]bool{}, revision: orderAt}
	m.begun = m.clock.Now()
	for i := range n {
		m.instances = append(m.instances, m.start(fmt.Sprint("instance-", i), 1))
	}
	return m
}

func (m *model) start(name string, incarnation uint64) *node {
	i := &node{model: m, name: name, incarnation: incarnation}
	i.snapshot = fleet.New(1, endpoints("v1", 6)).WithRollouts(fleet.Rollouts{Revision: 4})
	i.manager = rollout.NewManager(i, i, i, share, m.clock, logging.Discard().For("rollout"))
	i.manager.RunSynchronously()
	if m.ordered.Known() {
		i.order()
	}
	return i
}

func endpoints(version string, n int) []fleet.Endpoint {
	var list []fleet.Endpoint
	for i := range n {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint(version, "-", i), Service: "s", Version: version})
	}
	return list
}

func (i *node) order() {
	i.snapshot = i.snapshot.WithRollouts(i.ordered).Replace(orderAt+1, append(endpoints("v1", 6), endpoints("v2", 6)...))
}

func (m *model) order() {
	m.ordered = fleet.Rollouts{Revision: orderAt, Orders: []fleet.Rollout{{Service: "s", Version: "v2", OverMs: over.Milliseconds(), Revision: orderAt}}}
	m.begun = m.clock.Now()
	for _, i := range m.instances {
		i.order()
	}
}

func (m *model) reaches(a, b string) bool { return m.partition[a] == m.partition[b] }

// node implements the interfaces that its manager uses.

func (i *node) Self() rollout.Peer  { return rollout.Peer{Name: i.name} }
func (i *node) Incarnation() uint64 { return i.incarnation }

func (i *node) Conductors(string) []rollout.Peer {
	var all []rollout.Peer
	for _, other := range i.instances {
		all = append(all, rollout.Peer{Name: other.name})
	}
	return all
}

func (i *node) Report(_ context.Context, to rollout.Peer, r rollout.Report) (rollout.Instruction, error) {
	for _, other := range i.instances {
		if other.name == to.Name && i.reaches(i.name, to.Name) && !other.frozen {
			return other.manager.Answer(r), nil
		}
	}
	return rollout.Instruction{}, errUnreachable
}

func (i *node) Read(context.Context, string) (rollout.Record, error) {
	if i.storeDown || i.storeDownFor[i.name] {
		return rollout.Record{}, errUnreachable
	}
	return i.record, nil
}

func (i *node) Write(_ context.Context, _ string, after revision.Revision, state rollout.State, version string) (revision.Revision, error) {
	switch {
	case i.storeDown || i.storeDownFor[i.name]:
		return 0, errUnreachable
	case i.delayWrites:
		at := i.clock.Now().Add(time.Second + time.Duration(i.random.Int64N(int64(5*time.Second))))
		i.model.pendingWrites = append(i.pendingWrites, lateWrite{at, after, rollout.Record{State: state, Version: version}})
		return 0, errUnreachable
	}
	err := i.write(after, rollout.Record{State: state, Version: version})
	return i.model.revision, err
}

func (i *node) Rollouts() fleet.Rollouts { return i.snapshot.Rollouts() }

func (i *node) Versions(order fleet.Rollout) (of, others int) { return i.snapshot.CountVersions(order) }

func (i *node) SetStandings(_ context.Context, standings fleet.RolloutStates) {
	i.snapshot = i.snapshot.WithRolloutStates(standings)
}

// serve serves one request.
func (i *node) serve(id string) {
	now := i.clock.Now()
	e := fleet.Endpoint{Version: "none"}
	if trial := i.snapshot.Trial("s"); trial.Includes(id) {
		e = trial.Endpoints[0]
	} else if ready := i.snapshot.Ready("s"); len(ready) > 0 {
		e = ready[i.random.IntN(len(ready))]
	}
	i.all++
	route := i.random.IntN(len(routes))
	b := behaviour{}
	switch e.Version {
	case "none":
		return
	case "v2":
		b = i.bad
		i.arrived++
		i.lastAt = now
	default:
		if !i.completedAt.IsZero() && i.partition[i.name] == 0 {
			i.lateOldRequests++
		}
	}
	sample := sampleOf(i.random, route, b, i.arrived)
	if e.Version == "v2" && (sample.Failed || sample.Duration > 3*time.Duration(routes[route].median)*time.Millisecond) && b != (behaviour{route: -1}) {
		if i.badAnswers++; i.badAnswers == badTolerance {
			i.toleranceExceededAt = now
		}
	}
	if i.random.IntN(100) == 0 {
		// One request in a hundred is long on any version.
		sample.Duration += 1500 * time.Millisecond
	}
	i.underWay = append(i.underWay, inFlightCall{call: i.manager.Begin(e, route == 2), sample: sample, end: now.Add(sample.Duration), fixed: e.Version == "v1" && route != 2})
}

// countInterrupted counts the calls interrupted when the old endpoints stop.
func (m *model) countInterrupted() {
	for _, i := range m.instances {
		for _, u := range i.underWay {
			if u.fixed && u.end.After(m.clock.Now()) {
				m.interrupted++
			}
		}
	}
}

// step simulates one tick.
func (m *model) step(perSecond float64) {
	m.clock.Advance(tick)
	m.pendingWrites = slices.DeleteFunc(m.pendingWrites, func(w lateWrite) bool {
		if w.at.After(m.clock.Now()) {
			return false
		}
		_ = m.write(w.after, w.record)
		return true
	})
	for _, i := range m.instances {
		if i.frozen {
			continue
		}
		if m.random.Float64() < perSecond*tick.Seconds() {
			i.serve(fmt.Sprint("request-", m.random.Uint64()))
		}
		i.underWay = slices.DeleteFunc(i.underWay, func(u inFlightCall) bool {
			if u.end.After(m.clock.Now()) {
				return false
			}
			u.call.End(&u.sample)
			return true
		})
		if m.clock.Since(m.begun)%(5*tick) == 0 {
			i.manager.Poll(context.Background())
		}
	}
}

func (m *model) run(length time.Duration, perSecond float64) {
	for begin := m.clock.Now(); m.clock.Since(begin) < length; {
		m.step(perSecond)
	}
}

// check verifies the limits on requests to a bad version.
func (m *model) check() {
	GinkgoHelper()
	Expect(float64(m.arrived)).To(BeNumerically("<=", share*float64(m.all)+slack), "of %d requests", m.all)
	if !m.toleranceExceededAt.IsZero() {
		Expect(m.lastAt.Sub(m.toleranceExceededAt)).To(BeNumerically("<=", rollback))
	}
}

var badVersions = []behaviour{
	{failureRate: 0.4, route: -1},
	{failureRate: 1, route: -1},
	{failureRate: 0.4, route: -1, after: 60},
	{failureRate: 0.7, route: 0},
	{slowRate: 1, slowFactor: 5, route: -1},
	{slowRate: 1, slowFactor: 30, route: -1},
	{slowRate: 0.5, slowFactor: 8, route: -1, after: 40},
	{slowRate: 1, slowFactor: 6, route: 1},
}

var _ = Describe("instances that move traffic", func() {
	const instances, perSecond = 30, 9.0

	DescribeTable("complete a good version in time, with nothing in flight at the old one",
		func(n int, each float64) {
			late := 0
			for seed := range uint64(10) {
				m := newModel(seed, n)
				m.bad = behaviour{route: -1}
				m.run(time.Second, each)
				m.order()
				m.run(over+time.Second, each)
				if m.record.State != rollout.Completed || m.completedAt.Sub(m.begun) > over {
					late++
				}
				Expect(m.lateOldRequests).To(BeZero())
				Expect(m.interrupted).To(BeZero())
			}
			Expect(late).To(BeZero(), "of 10")
		},
		Entry("few instances", 3, 40.0),
		Entry("many instances", instances, perSecond),
	)

	It("give a bad version no more than its share, and stop in time", func() {
		for i, bad := range badVersions {
			for seed := range uint64(4) {
				m := newModel(seed+uint64(100*i), instances)
				m.bad = bad
				m.run(time.Second, perSecond)
				m.order()
				m.run(over, perSecond)
				m.check()
				Expect(m.record.State).To(Equal(rollout.Reverted), "bad version %d, seed %d", i, seed)
			}
		}
	})

	It("give a bad version no more than its share during partitions, outages, kills and freezes", func() {
		for seed := range uint64(40) {
			m := newModel(seed, 12)
			m.bad = badVersions[m.random.IntN(len(badVersions))]
			m.run(time.Second, 20)
			m.order()
			for begin := m.clock.Now(); m.clock.Since(begin) < over; {
				m.injectFault()
				m.run(time.Duration(200+m.random.IntN(1500))*time.Millisecond, 20)
			}
			Expect(float64(m.arrived)).To(BeNumerically("<=", share*float64(m.all)+slack), "seed %d: of %d requests", seed, m.all)
			m.clearFaults()
			m.run(over, 20)
			Expect(m.record.State).To(Equal(rollout.Reverted), "seed %d", seed)
			m.run(rollback, 20)
			before := m.arrived
			m.run(3*time.Second, 20)
			Expect(m.arrived).To(Equal(before), "seed %d", seed)
		}
	})

	It("complete a good version after partitions, outages, kills and freezes have ended", func() {
		for seed := range uint64(20) {
			m := newModel(seed, 12)
			m.bad = behaviour{route: -1}
			m.run(time.Second, 20)
			m.order()
			for range 6 {
				m.injectFault()
				m.run(time.Duration(200+m.random.IntN(1500))*time.Millisecond, 20)
			}
			m.clearFaults()
			m.run(over+10*time.Second, 20)
			Expect(m.record.State).To(Equal(rollout.Completed), "seed %d", seed)
		}
	})

	DescribeTable("complete a good version only when the old one is idle, even if the store fails",
		func(fail func(*model)) {
			for seed := range uint64(8) {
				m := newModel(seed, 6)
				m.bad = behaviour{route: -1}
				m.run(time.Second, 20)
				m.order()
				proven := func() bool { return m.instances[3].snapshot.RolloutState(orderAt).Exposure == fleet.Proven }
				for begin := m.clock.Now(); !proven() && m.clock.Since(begin) < over; {
					m.step(20)
				}
				Expect(proven()).To(BeTrue())
				m.run(time.Duration(seed)*150*time.Millisecond, 20)
				fail(m)
				m.run(time.Duration(1+seed)*1500*time.Millisecond, 20)
				m.storeDown, m.delayWrites = false, false
				m.run(over+10*time.Second, 20)
				Expect(m.record.State).To(Equal(rollout.Completed), "seed %d", seed)
				Expect(m.interrupted).To(BeZero(), "seed %d", seed)
				Expect(m.lateOldRequests).To(BeZero(), "seed %d", seed)
			}
		},
		Entry("does not reply", func(m *model) { m.storeDown = true }),
		Entry("loses replies and applies writes later", func(m *model) { m.delayWrites = true }),
		Entry("does both", func(m *model) { m.delayWrites = true; m.run(time.Second, 20); m.storeDown = true }),
	)

	It("stop a trial while the record cannot be read", func() {
		m := newModel(3, 6)
		m.bad = behaviour{route: -1}
		m.order()
		m.run(2*time.Second, 20)
		Expect(m.arrived).NotTo(BeZero())
		m.storeDown = true
		m.run(3500*time.Millisecond, 20)
		before := m.arrived
		m.run(3*time.Second, 20)
		Expect(m.arrived).To(Equal(before))
	})

	It("complete an order for the current version, and keep serving", func() {
		m := newModel(1, 4)
		m.bad = behaviour{route: -1}
		for _, i := range m.instances {
			i.snapshot = fleet.New(1, endpoints("v2", 6)).WithRollouts(fleet.Rollouts{Revision: 4})
		}
		m.ordered = fleet.Rollouts{Revision: orderAt, Orders: []fleet.Rollout{{Service: "s", Version: "v2", OverMs: over.Milliseconds(), Revision: orderAt}}}
		for _, i := range m.instances {
			i.snapshot = i.snapshot.WithRollouts(m.ordered)
		}
		m.run(5*time.Second, 20)
		Expect(m.record.State).To(Equal(rollout.Completed))
		Expect(m.arrived).To(Equal(m.all))
	})

	It("do not complete a version that turns bad at full traffic while the evidence is against it", func() {
		for seed := range uint64(60) {
			m := newModel(seed, 4)
			m.bad = behaviour{failureRate: 0.5, route: -1, after: 20}
			m.run(time.Second, 10)
			m.order()
			m.run(over+2*time.Second, 10)
			Expect(m.record.State).NotTo(Equal(rollout.Completed), "seed %d", seed)
		}
	})

	It("send nothing to a reverted version after a restart", func() {
		m := newModel(1, 6)
		m.bad = badVersions[0]
		m.order()
		m.run(over, 20)
		Expect(m.record.State).To(Equal(rollout.Reverted))
		arrived := m.arrived
		for n := range m.instances {
			m.instances[n] = m.start(m.instances[n].name, 2)
		}
		m.storeDown = true
		m.run(3*time.Second, 20)
		m.storeDown = false
		m.run(3*time.Second, 20)
		Expect(m.arrived).To(Equal(arrived))
	})
})

// injectFault starts or ends a random fault.
func (m *model) injectFault() {
	i := m.instances[m.random.IntN(len(m.instances))]
	switch m.random.IntN(7) {
	case 0:
		for _, other := range m.instances {
			m.partition[other.name] = m.random.IntN(2)
		}
	case 1:
		clear(m.partition)
	case 2:
		m.storeDown = !m.storeDown
	case 3:
		m.storeDownFor[i.name] = !m.storeDownFor[i.name]
	case 4:
		n := slices.Index(m.instances, i)
		m.instances[n] = m.start(i.name, i.incarnation+1)
	case 5:
		i.frozen = !i.frozen
	}
}

// clearFaults ends all faults.
func (m *model) clearFaults() {
	clear(m.partition)
	clear(m.storeDownFor)
	m.storeDown = false
	for _, i := range m.instances {
		i.frozen = false
	}
}
