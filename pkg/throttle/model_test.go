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
	"github.com/cobaltcroft/cobaltcroft/pkg/peer"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
)

const (
	// tick is the simulation step, updatePeriod the period of membership updates and heartbeats,
	// and suspectAfter the failure detection time.
	tick         = 10 * time.Millisecond
	updatePeriod = time.Second
	suspectAfter = 3 * time.Second
	// window is the interval over which arrivals are counted, and grace how long after the first
	// reported limit counting starts.
	window = 4 * time.Second
	grace  = 3 * time.Second
)

// model simulates instances that send requests to one rate-limited endpoint. It runs in a single
// goroutine on a fake clock and is deterministic for a given seed.
type model struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	began     time.Time
	instances []*modelInstance
	// demand is the request rate offered to each instance, per second.
	demand float64
	// limit is the reported limit in requests per second; negative for none.
	limit           float64
	limitReportedAt time.Time
	// pending holds permit requests in transit.
	pending  []pendingRequest
	arrivals []time.Time
}

type pendingRequest struct {
	at  time.Time
	run func()
}

// modelInstance is one simulated instance.
type modelInstance struct {
	model *model
	peer.Peer
	table   *throttle.Table
	limiter *throttle.Limiter
	side    int
	dead    bool
	// leaving reports that the instance announced its departure. It still sends requests.
	leaving bool
	// excused is until when requests are not counted after a restart.
	excused time.Time
	// lastHeard is when a heartbeat of each other instance last arrived.
	lastHeard map[string]time.Time
}

func newModel(seed uint64, n, domains int, limit, demand float64) *model {
	m := &model{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), limit: limit, demand: demand}
	m.began = m.clock.Now()
	for i := range n {
		m.instances = append(m.instances, &modelInstance{model: m, Peer: peer.Peer{Name: fmt.Sprintf("instance-%d", i), FailureDomain: fmt.Sprint(i % domains)}})
		m.restart(i)
	}
	return m
}

// restart replaces an instance by a new incarnation without state.
func (m *model) restart(i int) {
	instance := m.instances[i]
	instance.lastHeard, instance.dead, instance.leaving = map[string]time.Time{}, false, false
	instance.Incarnation++
	instance.excused = m.clock.Now().Add(grace)
	instance.table = throttle.NewTable(m.clock, logging.Discard().For("throttle"))
	instance.limiter = throttle.NewLimiter(instance.table, instance, func(string) string { return "0" }, m.clock, logging.Discard().For("throttle"))
	instance.limiter.SetHooks(func(ask func()) {
		late := time.Duration(m.random.IntN(40)) * time.Millisecond
		m.pending = append(m.pending, pendingRequest{at: m.clock.Now().Add(late), run: ask})
	}, m.random.Float64)
}

// Self implements throttle.Peers.
func (i *modelInstance) Self() peer.Peer { return i.Peer }

// SelfLeaving implements throttle.Peers.
func (i *modelInstance) SelfLeaving() bool { return i.leaving }

// Live implements throttle.Peers.
func (i *modelInstance) Live() []peer.Peer {
	return i.visible(false)
}

// Leaving implements throttle.Peers.
func (i *modelInstance) Leaving() []peer.Peer { return i.visible(true) }

// visible returns the other instances that appear live to this one, by whether they are leaving.
func (i *modelInstance) visible(leaving bool) []peer.Peer {
	var visible []peer.Peer
	for _, other := range i.model.instances {
		if at, heard := i.lastHeard[other.Name]; heard && i.model.clock.Since(at) < suspectAfter && other.leaving == leaving {
			visible = append(visible, other.Peer)
		}
	}
	return visible
}

// RequestPermits implements throttle.Peers.
func (i *modelInstance) RequestPermits(_ context.Context, to peer.Peer, ask throttle.PermitRequest) (throttle.PermitGrant, error) {
	for _, other := range i.model.instances {
		if other.Name == to.Name && !other.dead && other.side == i.side {
			return other.limiter.HandleRequest(ask), nil
		}
	}
	return throttle.PermitGrant{}, errors.New("cut off")
}

// partition distributes the failure domains over the given number of sides; 1 heals the partition.
func (m *model) partition(sides int) {
	for n, i := range m.instances {
		i.side = n % 3 % sides
	}
}

// run advances the simulation.
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
		if (ticks+7*n)%int(updatePeriod/tick) == 0 {
			m.heartbeat(i)
		}
		for range m.offered() {
			m.send(i)
		}
	}
}

// offered is the number of requests that arrive at an instance in one tick.
func (m *model) offered() int {
	mean := m.demand * tick.Seconds()
	whole := int(mean)
	if m.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// heartbeat updates the members of an instance and sends its limits to the others.
func (m *model) heartbeat(i *modelInstance) {
	i.limiter.UpdateMembers()
	limits := i.table.Gossip(8)
	for _, other := range m.instances {
		if other != i && !other.dead && other.side == i.side && m.random.Float64() > 0.02 {
			other.lastHeard[i.Name] = m.clock.Now()
			other.table.Merge(limits)
		}
	}
}

// send sends a request if permitted, and applies the reported limit.
func (m *model) send(i *modelInstance) {
	if i.limiter.Delay("e") > 0 || !i.limiter.Allow("e") {
		return
	}
	if now := m.clock.Now(); !now.Before(i.excused) {
		m.arrivals = append(m.arrivals, now)
	}
	if m.limit < 0 {
		i.table.Clear("e")
		return
	}
	if m.limitReportedAt.IsZero() {
		m.limitReportedAt = m.clock.Now()
	}
	i.table.Set("e", m.limit)
}

// peak is the highest number of counted arrivals within a window.
func (m *model) peak() int {
	peak, first := 0, 0
	for n, at := range m.arrivals {
		for m.arrivals[first].Before(m.limitReportedAt.Add(grace)) && first < n || at.Sub(m.arrivals[first]) > window {
			first++
		}
		if !at.Before(m.limitReportedAt.Add(grace)) {
			peak = max(peak, n-first+1)
		}
	}
	return peak
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

// allowed is the permitted number of arrivals within a window.
func (m *model) allowed() int {
	return int(1.5*max(throttle.MinPerSecond, m.limit)*window.Seconds()) + 5
}

var _ = Describe("all instances in total", func() {
	entries := []TableEntry{}
	for _, size := range []struct {
		n     int
		limit float64
	}{{3, 1}, {6, 1}, {6, 0}, {6, 0.3}, {6, 4}, {6, 20}, {60, 1}, {60, 5}, {60, 40}, {200, 2}} {
		for seed := range uint64(2) {
			entries = append(entries, Entry(fmt.Sprintf("%d instances, %v a second, seed %d", size.n, size.limit, seed), size.n, size.limit, seed))
		}
	}

	// settled returns a model whose instances know each other and the limit.
	settled := func(n int, limit float64, seed uint64) *model {
		m := newModel(seed, n, 3, -1, 30)
		m.run(5 * time.Second)
		m.limit = limit
		m.run(grace)
		return m
	}

	DescribeTable("use most of a limit without exceeding it", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		from := m.clock.Now().Add(5 * time.Second)
		m.run(25 * time.Second)
		Expect(m.peak()).To(BeNumerically("<=", m.allowed()))
		Expect(m.since(from)).To(BeNumerically(">=", 0.8*max(throttle.MinPerSecond, limit)*20-1))
	}, entries)

	DescribeTable("stay within it during partitions", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		m.run(3 * time.Second)
		for _, sides := range []int{2, 1, 3, 1, 3, 2, 1} {
			m.partition(sides)
			m.run(time.Duration(2000+m.random.IntN(8000)) * time.Millisecond)
		}
		Expect(m.peak()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	DescribeTable("stay within it while instances crash and restart", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		for range 12 {
			victim := m.random.IntN(n)
			m.instances[victim].dead = true
			m.run(time.Duration(m.random.IntN(6000)) * time.Millisecond)
			m.restart(victim)
			m.run(time.Duration(m.random.IntN(3000)) * time.Millisecond)
		}
		Expect(m.peak()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	DescribeTable("keep using a limit while an instance restarts again and again", func(victim int) {
		m := settled(6, 4, 1)
		from := m.clock.Now()
		for range 8 {
			m.instances[victim].dead = true
			m.run(500 * time.Millisecond)
			m.restart(victim)
			m.run(4500 * time.Millisecond)
		}
		Expect(m.peak()).To(BeNumerically("<=", m.allowed()))
		Expect(m.since(from)).To(BeNumerically(">", 4*40/2), "of 160")
	}, Entry("the first", 0), Entry("the second", 1), Entry("the third", 2), Entry("the fourth", 3), Entry("the fifth", 4), Entry("the sixth", 5))

	DescribeTable("stay within it while instances leave and still send requests", func(n int, limit float64, seed uint64) {
		m := settled(n, limit, seed)
		m.run(2 * time.Second)
		for leaver := range min(n, 6) {
			m.instances[leaver].leaving = true
			m.run(5 * time.Second)
			m.instances[leaver].dead = true
			m.run(2 * time.Second)
			m.restart(leaver)
			m.run(4 * time.Second)
		}
		Expect(m.peak()).To(BeNumerically("<=", m.allowed()))
	}, entries)

	It("send at the full rate after the limit was lifted", func() {
		m := settled(6, 1, 1)
		m.limit = -1
		m.run(4 * time.Second)
		from := m.clock.Now()
		m.run(time.Second)
		Expect(m.since(from)).To(BeNumerically(">", 100), "of 180 offered")
	})
})
