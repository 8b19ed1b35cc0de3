package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/fleet"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/notice"
	"github.com/cobaltcroft/cobaltcroft/pkg/room"
)

// roomGroup implements room.Group.
type roomGroup struct {
	self   string
	others []string
}

func (g roomGroup) Self() string     { return g.self }
func (g roomGroup) Others() []string { return g.others }
func (g roomGroup) Settled() bool    { return true }

// roomInstance is one instance of the model.
type roomInstance struct {
	balancer *balance.Balancer
	backoffs *notice.Backoffs
	table    *room.Table
	// waiting are the times until which its requests wait for room.
	waiting []time.Time
}

// roomModel simulates instances before brittle endpoints that let no request wait.
type roomModel struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	instances []*roomInstance
	endpoints []fleet.Endpoint
	duration  time.Duration
	// running is the number of calls at each endpoint; ends are the calls in progress.
	running    map[string]int
	ends       []roomCall
	rejections map[string][]time.Time
	served     int
}

type roomCall struct {
	call *balance.Call
	at   time.Time
}

const (
	modelStep = time.Millisecond
	// modelBears is the number of rejections per second that an endpoint of the model bears.
	modelBears = 6
	// modelWait is how long a request waits for room.
	modelWait = 250 * time.Millisecond
)

func newRoomModel(instances, endpoints, slots int, duration time.Duration) *roomModel {
	m := &roomModel{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, uint64(instances*1000+endpoints))), duration: duration, running: map[string]int{}, rejections: map[string][]time.Time{}}
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprintf("instance-%d", n))
	}
	for n := range endpoints {
		m.endpoints = append(m.endpoints, fleet.Endpoint{ID: fmt.Sprintf("e%d", n), Service: "simple", Slots: slots})
	}
	for _, name := range names {
		log := logging.Discard().For("room")
		i := &roomInstance{table: room.NewTable(roomGroup{name, names}, m.clock, log), backoffs: notice.NewBackoffs(m.clock, notice.Unlimited{}, log)}
		i.table.Sweep(func(string) bool { return true })
		i.table.SetBrittle("simple", "e0", modelBears)
		i.balancer = balance.New(m.clock, i.backoffs)
		i.balancer.UseRoom(i.table)
		m.instances = append(m.instances, i)
	}
	return m
}

// run offers requests at a rate per second for a time.
func (m *roomModel) run(perSecond float64, span time.Duration) {
	for until := m.clock.Now().Add(span); m.clock.Now().Before(until); m.clock.Advance(modelStep) {
		m.endCalls()
		for arrivals := perSecond * modelStep.Seconds(); arrivals > 0; arrivals-- {
			if m.random.Float64() < arrivals {
				i := m.instances[m.random.IntN(len(m.instances))]
				i.waiting = append(i.waiting, m.clock.Now().Add(modelWait))
			}
		}
		for _, i := range m.instances {
			m.sendWaiting(i)
		}
	}
}

func (m *roomModel) endCalls() {
	now := m.clock.Now()
	var left []roomCall
	for _, c := range m.ends {
		if now.Before(c.at) {
			left = append(left, c)
			continue
		}
		m.running[c.call.Endpoint.ID]--
		m.served++
		c.call.ResponseStarted()
		c.call.End(balance.Succeeded, nil)
	}
	m.ends = left
}

// sendWaiting sends the requests of an instance for which there is room.
func (m *roomModel) sendWaiting(i *roomInstance) {
	now := m.clock.Now()
	for len(i.waiting) > 0 {
		if now.After(i.waiting[0]) {
			i.waiting = i.waiting[1:]
			continue
		}
		call := i.balancer.Pick(m.endpoints, balance.CallSpec{})
		if call == nil {
			return
		}
		i.waiting = i.waiting[1:]
		m.arrive(i, call)
	}
}

func (m *roomModel) arrive(i *roomInstance, call *balance.Call) {
	e, now := call.Endpoint, m.clock.Now()
	if m.running[e.ID] >= e.Slots {
		m.rejections[e.ID] = append(m.rejections[e.ID], now)
		call.End(balance.Refused, nil)
		i.backoffs.Start(e.ID, i.table.Rest(e.Service, e.ID))
		return
	}
	m.running[e.ID]++
	took := time.Duration(float64(m.duration) * (0.5 + m.random.Float64()))
	m.ends = append(m.ends, roomCall{call, now.Add(took)})
}

// falls returns in how many seconds since a time an endpoint had to reject more than it bears.
func (m *roomModel) falls(since time.Time) int {
	falls := 0
	for _, at := range m.rejections {
		at = slices.DeleteFunc(at, func(t time.Time) bool { return t.Before(since) })
		for first, last := 0, 0; last < len(at); last++ {
			for at[last].Sub(at[first]) >= time.Second {
				first++
			}
			if last-first+1 > modelBears {
				falls++
				first = last
			}
		}
	}
	return falls
}

var _ = Describe("brittle endpoints under 1.3 times the load that they can run", func() {
	const (
		// grace is how long after they have first said so endpoints may fall over.
		grace = 3 * time.Second
		span  = 5 * time.Second
	)

	DescribeTable("seldom have to reject more than they bear, and are used", func(instances, endpoints, slots int, duration time.Duration, used float64) {
		m := newRoomModel(instances, endpoints, slots, duration)
		capacity := float64(endpoints*slots) / duration.Seconds()
		m.run(1.3*capacity, grace)
		began := m.clock.Now()
		m.served = 0
		m.run(1.3*capacity, span)
		GinkgoWriter.Println("instances", instances, "endpoints", endpoints, "slots", slots, "falls", m.falls(began), "used", float64(m.served)/capacity/span.Seconds())
		Expect(m.falls(began)).To(BeNumerically("<=", 2+endpoints/10))
		Expect(float64(m.served)).To(BeNumerically(">=", used*capacity*span.Seconds()))
	},
		Entry("3 instances before 6 endpoints", 3, 6, 4, 200*time.Millisecond, 0.8),
		Entry("6 instances before 18 endpoints", 6, 18, 64, 2*time.Second, 0.8),
		Entry("7 instances before 3 endpoints with fewer slots", 7, 3, 6, 60*time.Millisecond, 0.8),
		Entry("74 instances before 60 endpoints", 74, 60, 16, 2*time.Second, 0.6),
		Entry("74 instances before 3 endpoints", 74, 3, 6, 30*time.Millisecond, 0.2),
	)
})
