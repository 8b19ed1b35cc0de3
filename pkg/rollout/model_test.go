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
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// The model plays instances that move a service's traffic: their keepers are real, and the clock, the network, the
// store and the endpoints are the model's, so that a seed repeats. What the endpoints get is checked.

const (
	share        = 0.1
	slack        = 50
	rollback     = 5 * time.Second
	toleratedBad = 50
	tick         = 20 * time.Millisecond
	over         = 12 * time.Second
	orderAt      = uint64(5)
)

var errCut = errors.New("no answer")

// model is a group of instances before endpoints of two versions.
type model struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	begun     time.Time
	instances []*node
	// cut has the group of each instance that is cut off with others from the rest.
	cut map[string]int
	// silent says that the store answers nobody, silentTo whom it does not answer.
	silent   bool
	silentTo map[string]bool
	// losing has writings be done some time later, and their answers lost; late are those.
	losing   bool
	late     []lateWrite
	record   rollout.Record
	revision uint64
	ordered  fleet.Rollouts
	// bad is how the new version behaves.
	bad behaviour

	all, arrived, wrong int
	// wrongAt is when the fiftieth bad answer came, lastAt when the last request reached the new version.
	wrongAt, lastAt, completedAt time.Time
	// oldAfter counts the requests that came to the old version after it was completed, from instances that were not
	// cut off.
	oldAfter int
	// cutOff counts the requests under way at the old version when it was completed, of those that can't go on elsewhere.
	cutOff int
}

// lateWrite is a writing that is done later, if its condition still holds.
type lateWrite struct {
	at     time.Time
	after  uint64
	record rollout.Record
}

// write does a writing.
func (m *model) write(after uint64, record rollout.Record) error {
	if m.record.Revision != after {
		return rollout.ErrOvertaken
	}
	m.revision++
	record.Revision = m.revision
	m.record = record
	if record.State == rollout.Completed {
		m.completedAt = m.clock.Now()
		m.countCutOff()
	}
	return nil
}

// node is one instance.
type node struct {
	*model
	name        string
	incarnation uint64
	keeper      *rollout.Keeper
	snapshot    *fleet.Snapshot
	underWay    []underWay
	// frozen instances do nothing.
	frozen bool
}

type underWay struct {
	call   *rollout.Call
	sample rollout.Sample
	end    time.Time
	// fixed says that it is at the old version and can't go on elsewhere.
	fixed bool
}

func newModel(seed uint64, n int) *model {
	m := &model{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 2)), cut: map[string]int{}, silentTo: map[string]bool{}, revision: orderAt}
	m.begun = m.clock.Now()
	for i := range n {
		m.instances = append(m.instances, m.start(fmt.Sprint("instance-", i), 1))
	}
	return m
}

func (m *model) start(name string, incarnation uint64) *node {
	i := &node{model: m, name: name, incarnation: incarnation}
	i.snapshot = fleet.New(1, endpoints("v1", 6)).WithRollouts(fleet.Rollouts{Revision: 4})
	i.keeper = rollout.NewKeeper(i, i, i, share, m.clock, logging.Discard().For("rollout"))
	i.keeper.AtOnce()
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

func (m *model) reaches(a, b string) bool { return m.cut[a] == m.cut[b] }

// The node is what its keeper knows of the others, the store and the endpoints.

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
			return other.keeper.Answer(r), nil
		}
	}
	return rollout.Instruction{}, errCut
}

func (i *node) Read(context.Context, string) (rollout.Record, error) {
	if i.silent || i.silentTo[i.name] {
		return rollout.Record{}, errCut
	}
	return i.record, nil
}

func (i *node) Write(_ context.Context, _ string, after uint64, state rollout.State, version string) (uint64, error) {
	switch {
	case i.silent || i.silentTo[i.name]:
		return 0, errCut
	case i.losing:
		at := i.clock.Now().Add(time.Second + time.Duration(i.random.Int64N(int64(5*time.Second))))
		i.model.late = append(i.late, lateWrite{at, after, rollout.Record{State: state, Version: version}})
		return 0, errCut
	}
	err := i.write(after, rollout.Record{State: state, Version: version})
	return i.model.revision, err
}

func (i *node) Rollouts() fleet.Rollouts { return i.snapshot.Rollouts() }

func (i *node) Versions(order fleet.Rollout) (of, others int) { return i.snapshot.CountVersions(order) }

func (i *node) Stand(_ context.Context, standings fleet.RolloutStates) {
	i.snapshot = i.snapshot.WithRolloutStates(standings)
}

// serve has the instance serve a request.
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
		if !i.completedAt.IsZero() && i.cut[i.name] == 0 {
			i.oldAfter++
		}
	}
	sample := sampleOf(i.random, route, b, i.arrived)
	if e.Version == "v2" && (sample.Failed || sample.Took > 3*time.Duration(routes[route].median)*time.Millisecond) && b != (behaviour{only: -1}) {
		if i.wrong++; i.wrong == toleratedBad {
			i.wrongAt = now
		}
	}
	if i.random.IntN(100) == 0 {
		// Whichever version runs it, it is a long one.
		sample.Took += 1500 * time.Millisecond
	}
	i.underWay = append(i.underWay, underWay{call: i.keeper.Begin(e, route == 2), sample: sample, end: now.Add(sample.Took), fixed: e.Version == "v1" && route != 2})
}

// countCutOff counts what stops with the old endpoints.
func (m *model) countCutOff() {
	for _, i := range m.instances {
		for _, u := range i.underWay {
			if u.fixed && u.end.After(m.clock.Now()) {
				m.cutOff++
			}
		}
	}
}

// step plays one tick in which each instance gets requests.
func (m *model) step(perSecond float64) {
	m.clock.Advance(tick)
	m.late = slices.DeleteFunc(m.late, func(w lateWrite) bool {
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
		i.underWay = slices.DeleteFunc(i.underWay, func(u underWay) bool {
			if u.end.After(m.clock.Now()) {
				return false
			}
			u.call.End(&u.sample)
			return true
		})
		if m.clock.Since(m.begun)%(5*tick) == 0 {
			i.keeper.Look(context.Background())
		}
	}
}

func (m *model) play(length time.Duration, perSecond float64) {
	for begin := m.clock.Now(); m.clock.Since(begin) < length; {
		m.step(perSecond)
	}
}

// check holds what the new version got against its bounds, if it is bad.
func (m *model) check() {
	GinkgoHelper()
	Expect(float64(m.arrived)).To(BeNumerically("<=", share*float64(m.all)+slack), "of %d requests", m.all)
	if !m.wrongAt.IsZero() {
		Expect(m.lastAt.Sub(m.wrongAt)).To(BeNumerically("<=", rollback))
	}
}

var badVersions = []behaviour{
	{fails: 0.4, only: -1},
	{fails: 1, only: -1},
	{fails: 0.4, only: -1, after: 60},
	{fails: 0.7, only: 0},
	{slows: 1, times: 5, only: -1},
	{slows: 1, times: 30, only: -1},
	{slows: 0.5, times: 8, only: -1, after: 40},
	{slows: 1, times: 6, only: 1},
}

var _ = Describe("instances that move traffic", func() {
	const instances, perSecond = 30, 9.0

	DescribeTable("complete a good version in time, with nothing left at the old one",
		func(n int, each float64) {
			late := 0
			for seed := range uint64(10) {
				m := newModel(seed, n)
				m.bad = behaviour{only: -1}
				m.play(time.Second, each)
				m.order()
				m.play(over+time.Second, each)
				if m.record.State != rollout.Completed || m.completedAt.Sub(m.begun) > over {
					late++
				}
				Expect(m.oldAfter).To(BeZero())
				Expect(m.cutOff).To(BeZero())
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
				m.play(time.Second, perSecond)
				m.order()
				m.play(over, perSecond)
				m.check()
				Expect(m.record.State).To(Equal(rollout.Reverted), "bad version %d, seed %d", i, seed)
			}
		}
	})

	It("give a bad version no more than its share in cuts, outages, kills and freezes", func() {
		for seed := range uint64(40) {
			m := newModel(seed, 12)
			m.bad = badVersions[m.random.IntN(len(badVersions))]
			m.play(time.Second, 20)
			m.order()
			for begin := m.clock.Now(); m.clock.Since(begin) < over; {
				m.disturb()
				m.play(time.Duration(200+m.random.IntN(1500))*time.Millisecond, 20)
			}
			Expect(float64(m.arrived)).To(BeNumerically("<=", share*float64(m.all)+slack), "seed %d: of %d requests", seed, m.all)
			m.heal()
			m.play(over, 20)
			Expect(m.record.State).To(Equal(rollout.Reverted), "seed %d", seed)
			m.play(rollback, 20)
			before := m.arrived
			m.play(3*time.Second, 20)
			Expect(m.arrived).To(Equal(before), "seed %d", seed)
		}
	})

	It("complete a good version after cuts, outages, kills and freezes have ended", func() {
		for seed := range uint64(20) {
			m := newModel(seed, 12)
			m.bad = behaviour{only: -1}
			m.play(time.Second, 20)
			m.order()
			for range 6 {
				m.disturb()
				m.play(time.Duration(200+m.random.IntN(1500))*time.Millisecond, 20)
			}
			m.heal()
			m.play(over+10*time.Second, 20)
			Expect(m.record.State).To(Equal(rollout.Completed), "seed %d", seed)
		}
	})

	DescribeTable("complete a good version only when nothing goes to the old one, though the store fails just then",
		func(fail func(*model)) {
			for seed := range uint64(8) {
				m := newModel(seed, 6)
				m.bad = behaviour{only: -1}
				m.play(time.Second, 20)
				m.order()
				proven := func() bool { return m.instances[3].snapshot.RolloutState(orderAt).Exposure == fleet.Proven }
				for begin := m.clock.Now(); !proven() && m.clock.Since(begin) < over; {
					m.step(20)
				}
				Expect(proven()).To(BeTrue())
				m.play(time.Duration(seed)*150*time.Millisecond, 20)
				fail(m)
				m.play(time.Duration(1+seed)*1500*time.Millisecond, 20)
				m.silent, m.losing = false, false
				m.play(over+10*time.Second, 20)
				Expect(m.record.State).To(Equal(rollout.Completed), "seed %d", seed)
				Expect(m.cutOff).To(BeZero(), "seed %d", seed)
				Expect(m.oldAfter).To(BeZero(), "seed %d", seed)
			}
		},
		Entry("is silent", func(m *model) { m.silent = true }),
		Entry("loses answers, and does what was asked later", func(m *model) { m.losing = true }),
		Entry("does both", func(m *model) { m.losing = true; m.play(time.Second, 20); m.silent = true }),
	)

	It("give a version on trial nothing while the record can't be read, which another may have written", func() {
		m := newModel(3, 6)
		m.bad = behaviour{only: -1}
		m.order()
		m.play(2*time.Second, 20)
		Expect(m.arrived).NotTo(BeZero())
		m.silent = true
		m.play(3500*time.Millisecond, 20)
		before := m.arrived
		m.play(3*time.Second, 20)
		Expect(m.arrived).To(Equal(before))
	})

	It("complete an order for the version that has all of the traffic, and serve on meanwhile", func() {
		m := newModel(1, 4)
		m.bad = behaviour{only: -1}
		for _, i := range m.instances {
			i.snapshot = fleet.New(1, endpoints("v2", 6)).WithRollouts(fleet.Rollouts{Revision: 4})
		}
		m.ordered = fleet.Rollouts{Revision: orderAt, Orders: []fleet.Rollout{{Service: "s", Version: "v2", OverMs: over.Milliseconds(), Revision: orderAt}}}
		for _, i := range m.instances {
			i.snapshot = i.snapshot.WithRollouts(m.ordered)
		}
		m.play(5*time.Second, 20)
		Expect(m.record.State).To(Equal(rollout.Completed))
		Expect(m.arrived).To(Equal(m.all))
	})

	It("send nothing to a version that is on trial when they have just started", func() {
		m := newModel(1, 6)
		m.bad = badVersions[0]
		m.order()
		m.play(over, 20)
		Expect(m.record.State).To(Equal(rollout.Reverted))
		arrived := m.arrived
		for n := range m.instances {
			m.instances[n] = m.start(m.instances[n].name, 2)
		}
		m.silent = true
		m.play(3*time.Second, 20)
		m.silent = false
		m.play(3*time.Second, 20)
		Expect(m.arrived).To(Equal(arrived))
	})
})

// disturb has something fail, or end to.
func (m *model) disturb() {
	i := m.instances[m.random.IntN(len(m.instances))]
	switch m.random.IntN(7) {
	case 0:
		for _, other := range m.instances {
			m.cut[other.name] = m.random.IntN(2)
		}
	case 1:
		clear(m.cut)
	case 2:
		m.silent = !m.silent
	case 3:
		m.silentTo[i.name] = !m.silentTo[i.name]
	case 4:
		n := slices.Index(m.instances, i)
		m.instances[n] = m.start(i.name, i.incarnation+1)
	case 5:
		i.frozen = !i.frozen
	}
}

// heal has everything well again.
func (m *model) heal() {
	clear(m.cut)
	clear(m.silentTo)
	m.silent = false
	for _, i := range m.instances {
		i.frozen = false
	}
}
