package throttle_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

const (
	// tick is the step of the model's time, lookPeriod the time between two looks and heartbeats of an instance, and
	// suspectAfter how long it takes to miss another one.
	tick         = 10 * time.Millisecond
	lookPeriod   = time.Second
	suspectAfter = 3 * time.Second
	// window is over how long the users count, contact how long after the first word they begin to.
	window  = 4 * time.Second
	contact = 3 * time.Second
)

// model has instances that send to one endpoint which names a limit: no sleep, one goroutine, repeated by its seed.
type model struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	began     time.Time
	instances []*modelInstance
	// demand is how many requests a second each instance would send.
	demand float64
	// limit is what the endpoint names, in requests a second; negative: nothing.
	limit float64
	named time.Time
	// pending are asks under way, and when they arrive.
	pending  []pendingAsk
	arrivals []time.Time
}

type pendingAsk struct {
	at  time.Time
	run func()
}

// modelInstance is an instance, on one side of a cut.
type modelInstance struct {
	model *model
	throttle.Peer
	table  *throttle.Table
	keeper *throttle.Keeper
	side   int
	dead   bool
	// leaves says that it has told the others so; it serves on.
	leaves bool
	// excused is until when its requests do not count, since it has started anew.
	excused time.Time
	// heard has when each other instance was heard last.
	heard map[string]time.Time
}

func newModel(seed uint64, n, domains int, limit, demand float64) *model {
	m := &model{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), limit: limit, demand: demand}
	m.began = m.clock.Now()
	for i := range n {
		m.instances = append(m.instances, &modelInstance{model: m, Peer: throttle.Peer{Name: fmt.Sprintf("instance-%d", i), FailureDomain: fmt.Sprint(i % domains)}})
		m.restart(i)
	}
	return m
}

// restart has an instance begin anew, that knows nothing.
func (m *model) restart(i int) {
	instance := m.instances[i]
	instance.heard, instance.dead, instance.leaves = map[string]time.Time{}, false, false
	instance.Incarnation++
	instance.excused = m.clock.Now().Add(contact)
	instance.table = throttle.NewTable(m.clock, logging.Discard().For("throttle"))
	instance.keeper = throttle.NewKeeper(instance.table, instance, func(string) string { return "0" }, m.clock, logging.Discard().For("throttle"))
	instance.keeper.Start(func(ask func()) {
		late := time.Duration(m.random.IntN(40)) * time.Millisecond
		m.pending = append(m.pending, pendingAsk{at: m.clock.Now().Add(late), run: ask})
	}, m.random.Float64)
}

// Self implements throttle.Peers.
func (i *modelInstance) Self() throttle.Peer { return i.Peer }

// Leaves implements throttle.Peers.
func (i *modelInstance) Leaves() bool { return i.leaves }

// Live implements throttle.Peers.
func (i *modelInstance) Live() []throttle.Peer {
	return i.seen(false)
}

// Leaving implements throttle.Peers.
func (i *modelInstance) Leaving() []throttle.Peer { return i.seen(true) }

// seen are the others that live as far as this one knows, those that leave or those that don't.
func (i *modelInstance) seen(leaving bool) []throttle.Peer {
	var seen []throttle.Peer
	for _, other := range i.model.instances {
		if at, heard := i.heard[other.Name]; heard && i.model.clock.Since(at) < suspectAfter && other.leaves == leaving {
			seen = append(seen, other.Peer)
		}
	}
	return seen
}

// Ask implements throttle.Peers.
func (i *modelInstance) Ask(_ context.Context, to throttle.Peer, ask throttle.Ask) (throttle.Grant, error) {
	for _, other := range i.model.instances {
		if other.Name == to.Name && !other.dead && other.side == i.side {
			return other.keeper.Answer(ask), nil
		}
	}
	return throttle.Grant{}, errors.New("cut off")
}

// cut puts each failure domain on one of so many sides; 1: all see each other.
func (m *model) cut(sides int) {
	for n, i := range m.instances {
		i.side = n % 3 % sides
	}
}

// run lets time pass.
func (m *model) run(span time.Duration) {
	for until := m.clock.Now().Add(span); m.clock.Now().Before(until); {
		m.step()
	}
}

func (m *model) step() {
	m.clock.Advance(tick)
	now := m.clock.Now()
	pending := m.pending
	m.pending = nil
	for _, p := range pending {
		if now.Before(p.at) {
			m.pending = append(m.pending, p)
			continue
		}
		p.run()
	}
	ticks := int(now.Sub(m.began) / tick)
	for n, i := range m.instances {
		if i.dead {
			continue
		}
		if (ticks+7*n)%int(lookPeriod/tick) == 0 {
			m.tell(i)
		}
		for range m.wishes() {
			m.send(i)
		}
	}
}

// wishes is how many requests come to an instance in a tick.
func (m *model) wishes() int {
	mean := m.demand * tick.Seconds()
	whole := int(mean)
	if m.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// tell has an instance look at the others and send them its heartbeat.
func (m *model) tell(i *modelInstance) {
	i.keeper.Look()
	limits := i.table.Tell(8)
	for _, other := range m.instances {
		if other != i && !other.dead && other.side == i.side && m.random.Float64() > 0.02 {
			other.heard[i.Name] = m.clock.Now()
			other.table.Hear(limits)
		}
	}
}

// send sends a request, if it may be, and takes in the answer.
func (m *model) send(i *modelInstance) {
	if i.keeper.Left("e") > 0 || !i.keeper.Spend("e") {
		return
	}
	if now := m.clock.Now(); !now.Before(i.excused) {
		m.arrivals = append(m.arrivals, now)
	}
	if m.limit < 0 {
		i.table.Lift("e")
		return
	}
	if m.named.IsZero() {
		m.named = m.clock.Now()
	}
	i.table.Name("e", m.limit)
}

// most is the greatest number of arrivals in a window, of those that count.
func (m *model) most() int {
	most, first := 0, 0
	for n, at := range m.arrivals {
		for m.arrivals[first].Before(m.named.Add(contact)) && first < n || at.Sub(m.arrivals[first]) > window {
			first++
		}
		if !at.Before(m.named.Add(contact)) {
			most = max(most, n-first+1)
		}
	}
	return most
}

// since counts the arrivals after a time.
func (m *model) since(at time.Time) int {
	n := 0
	for _, a := range m.arrivals {
		if a.After(at) {
			n++
		}
	}
	return n
}

// allowed is what the users allow in a window.
func (m *model) allowed() int {
	return int(1.5*max(throttle.LeastPerSecond, m.limit)*window.Seconds()) + 5
}

var _ = Describe("all instances together", func() {
	entries := []TableEntry{}
	for _, size := range []struct {
		n     int
		limit float64
	}{{3, 1}, {6, 1}, {6, 0}, {6, 0.3}, {6, 4}, {6, 20}, {60, 1}, {60, 5}, {60, 40}, {200, 2}} {
		for seed := range uint64(2) {
			entries = append(entries, Entry(fmt.Sprintf("%d instances, %v a second, seed %d", size.n, size.limit, seed), size.n, size.limit, seed))
		}
	}

	// settled is a model whose instances know each other and the limit.
	settled := func(n int, limit float64, seed uint64) *model {
		m := newModel(seed, n, 3, -1, 30)
		m.run(5 * time.Second)
		m.limit = limit
		m.run(contact)
		return m
	}

	DescribeTable("send what a limit allows and not much less", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		from := m.clock.Now().Add(5 * time.Second)
		m.run(25 * time.Second)
		Expect(m.most()).To(BeNumerically("<=", m.allowed()))
		Expect(m.since(from)).To(BeNumerically(">=", 0.8*max(throttle.LeastPerSecond, limit)*20-1))
	}, entries)

	DescribeTable("keep to it while cuts come and go", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		m.run(3 * time.Second)
		for _, sides := range []int{2, 1, 3, 1, 3, 2, 1} {
			m.cut(sides)
			m.run(time.Duration(2000+m.random.IntN(8000)) * time.Millisecond)
		}
		Expect(m.most()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	DescribeTable("keep to it while instances crash and start again", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		for range 12 {
			victim := m.random.IntN(n)
			m.instances[victim].dead = true
			m.run(time.Duration(m.random.IntN(6000)) * time.Millisecond)
			m.restart(victim)
			m.run(time.Duration(m.random.IntN(3000)) * time.Millisecond)
		}
		Expect(m.most()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	DescribeTable("go on using a limit while an instance starts anew again and again", func(victim int) {
		m := settled(6, 4, 1)
		from := m.clock.Now()
		for range 8 {
			m.instances[victim].dead = true
			m.run(500 * time.Millisecond)
			m.restart(victim)
			m.run(4500 * time.Millisecond)
		}
		Expect(m.most()).To(BeNumerically("<=", m.allowed()))
		Expect(m.since(from)).To(BeNumerically(">", 4*40/2), "of 160")
	}, Entry("the first", 0), Entry("the second", 1), Entry("the third", 2), Entry("the fourth", 3), Entry("the fifth", 4), Entry("the sixth", 5))

	DescribeTable("keep to it while instances leave as planned, and serve on until they end", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		m.run(2 * time.Second)
		for leaver := range min(n, 6) {
			m.instances[leaver].leaves = true
			m.run(5 * time.Second)
			m.instances[leaver].dead = true
			m.run(2 * time.Second)
			m.restart(leaver)
			m.run(4 * time.Second)
		}
		Expect(m.most()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	It("send as before when an answer names no limit any more", func() {
		m := settled(6, 1, 1)
		m.limit = -1
		m.run(4 * time.Second)
		from := m.clock.Now()
		m.run(time.Second)
		Expect(m.since(from)).To(BeNumerically(">", 100), "of 180 that come")
	})
})
